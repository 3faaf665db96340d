package harness

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Record is the list of what was sent, answered and run in a case. It is safe for
// concurrent use.
type Record struct {
	start time.Time

	mu  sync.Mutex // guards out
	out io.WriteCloser
}

// NewRecord creates the record, a file.
func NewRecord(path string) (*Record, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), out: out}, nil
}

// Printf writes one line, with the time since the start.
func (r *Record) Printf(format string, args ...any) { r.PrintfAt(time.Now(), format, args...) }

// PrintfAt writes one line about an earlier time.
func (r *Record) PrintfAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is only for the reader; the exit code tells the result.
	_, _ = fmt.Fprintf(r.out, "%9.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Case is one case: it returns every breach of the rule.
type Case func(record *Record, fleet *Fleet, trouble bool) (breaches []string, err error)

// Main runs a case and ends the process with its result. The only argument of the program is
// the path of the record. With TROUBLE=0 in the environment the case runs without its
// disruption.
func Main(run Case) {
	os.Exit(mainCode(run))
}

func mainCode(run Case) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		return exitNotRun
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.out.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("begin, with the disruption: %t", trouble)
	fleet, err := NewFleet(record)
	if err != nil {
		record.Printf("not run: %v", err)
		return exitNotRun
	}
	keepLogs := os.Getenv("KEEP_LOGS") != ""
	defer fleet.Close(keepLogs)
	breaches, err := run(record, fleet, trouble)
	if err != nil {
		record.Printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, breach := range breaches {
		record.Printf("BROKEN %s", breach)
	}
	if len(breaches) > 0 {
		record.Printf("result: the rule was broken %d times", len(breaches))
		return exitBroken
	}
	record.Printf("result: the rule held")
	return exitHeld
}
