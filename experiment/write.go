package experiment

import (
	"os"
	"path/filepath"
)

// Write puts the tables and plots of a grid into a directory.
func Write(dir string, g *Grid, results []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "cells.csv"))
	if err != nil {
		return err
	}
	if err := WriteCSV(f, results); err != nil {
		return err
	}
	return f.Close()
}
