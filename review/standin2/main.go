// Command standin2 plays the cases of the second review: it starts the product's processes beside
// stand-ins of the platform, of servers and of clients, and compares what clients and servers saw
// with one rule of the platform's pages.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, run and answered.
type record struct {
	start time.Time

	mu   sync.Mutex // guards file
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file}, err
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// environment is what a case works with.
type environment struct {
	*record
	command string // of the product
	dir     string // temporary
	trouble bool
}

// cases return how often the rule was broken.
var cases = map[string]func(*environment) (broken int, err error){}

func main() {
	os.Exit(play())
}

// play runs the case that the first argument names and returns the exit code. The second argument
// is the folder for record.txt.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	e := &environment{record: r, command: "target/seamedge", dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		defer func() { _ = os.RemoveAll(dir) }() // it is a temporary folder
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	broken, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		e.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		e.note("the rule was broken %d times", broken)
		return exitBroken
	}
	e.note("the rule held")
	return exitHeld
}
