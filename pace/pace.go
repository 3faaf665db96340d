// Package pace tracks the recent response times of services as this host
// measured them.
package pace

import (
	"sync"
	"time"
)

const (
	// smoothing is the weight of the newest time in the moving average.
	smoothing = 0.1
	// defaultMean is returned for a service without measurements.
	defaultMean = 250 * time.Millisecond
)

// Table holds a moving average for each service. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// NewTable creates an empty table.
func NewTable() *Table { return &Table{means: make(map[string]time.Duration)} }

// Observe adds the response time of one request.
func (t *Table) Observe(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, known := t.means[service]
	if !known {
		mean = took
	}
	t.means[service] = mean + time.Duration(smoothing*float64(took-mean))
}

// Mean returns the average response time of a service, or a default if none was
// measured.
func (t *Table) Mean(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mean, known := t.means[service]; known {
		return mean
	}
	return defaultMean
}
