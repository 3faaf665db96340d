// Package logfile reads the logs of processes that tests and drills start.
package logfile

import (
	"fmt"
	"os"
	"strings"
)

// LastLine returns the last line of a log that is not empty, or the reason why there
// is none.
func LastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if last := lines[len(lines)-1]; last != "" {
		return last
	}
	return fmt.Sprintf("%s is empty", path)
}
