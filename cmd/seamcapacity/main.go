// Command seamcapacity reads benchmark output from standard input, computes the
// capacity table from it and writes the table into docs/CAPACITY.md.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/galenaseam/galenaseam/internal/capacity"
)

func main() {
	path := flag.String("page", "docs/CAPACITY.md", "page to update")
	flag.Parse()
	if err := run(*path); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "seamcapacity: %s\n", err)
		os.Exit(1)
	}
}

// run writes the capacity table into the page at path.
func run(path string) error {
	measurements, err := capacity.Parse(os.Stdin)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	updated, err := capacity.Update(string(page), measurements)
	if err != nil {
		return err
	}
	const mode = 0o644
	return os.WriteFile(path, []byte(updated), mode)
}
