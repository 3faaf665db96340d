package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex // guards file
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// note writes a line with the time since the beginning.
func (r *record) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *record) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time as it is written in the record.
func (r *record) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

func (r *record) close() { _ = r.file.Close() }
