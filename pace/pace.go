// Package pace keeps how long services take, as this host saw it of late.
package pace

import (
	"sync"
	"time"
)

const (
	// weight is the weight of the newest time in the mean.
	weight = 0.1
	// unknown stands for a service of which nothing has been seen.
	unknown = 250 * time.Millisecond
)

// Table holds a moving mean for each service. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// NewTable makes an empty table.
func NewTable() *Table { return &Table{means: make(map[string]time.Duration)} }

// Observe takes in the time that one request took.
func (t *Table) Observe(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, known := t.means[service]
	if !known {
		mean = took
	}
	t.means[service] = mean + time.Duration(weight*float64(took-mean))
}

// Of is the mean time of a service.
func (t *Table) Of(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mean, known := t.means[service]; known {
		return mean
	}
	return unknown
}
