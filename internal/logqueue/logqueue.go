// Package logqueue writes log lines in the background, so that logging never
// blocks its callers.
package logqueue

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Limits of a Queue.
const (
	// queueBytes limits the lines that wait to be written.
	queueBytes = 256 << 10
	// bytesPerSecond limits the log volume. A burst may use a whole second's
	// allowance at once.
	bytesPerSecond = 96 << 10
	// flushInterval is how long the queue collects lines before one write.
	flushInterval = 50 * time.Millisecond
)

// Queue is an io.Writer that drops lines when the output is slow or the volume
// exceeds its limit. It is safe for concurrent use.
type Queue struct {
	out     io.Writer
	dropped prometheus.Counter
	written prometheus.Counter

	mu         sync.Mutex // guards pending, tokens, refilledAt and closed
	pending    []byte
	tokens     float64
	refilledAt time.Time
	wake       chan struct{}
	closed     bool
	done       chan struct{}
}

// New starts a queue that writes to out until Close. A nil registerer leaves the
// metrics unregistered.
func New(out io.Writer, registerer prometheus.Registerer) *Queue {
	q := &Queue{
		out:        out,
		dropped:    prometheus.NewCounter(prometheus.CounterOpts{Name: "seam_log_lines_dropped_total", Help: "Log lines that were over the bound."}),
		written:    prometheus.NewCounter(prometheus.CounterOpts{Name: "seam_log_bytes_total", Help: "Bytes of log lines."}),
		tokens:     bytesPerSecond,
		refilledAt: time.Now(),
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	if registerer != nil {
		registerer.MustRegister(q.dropped, q.written)
	}
	go q.run()
	return q
}

// Write queues one line or drops it. It never waits for the output and never
// returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tokens = min(q.tokens+now.Sub(q.refilledAt).Seconds()*bytesPerSecond, bytesPerSecond)
	q.refilledAt = now
	if q.closed || len(q.pending)+len(line) > queueBytes || q.tokens < float64(len(line)) {
		q.dropped.Inc()
		return len(line), nil
	}
	q.tokens -= float64(len(line))
	q.pending = append(q.pending, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the queued lines and stops the queue. It waits until both are
// done.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	<-q.done
}

// run writes the pending lines each time wake is signalled, until Close.
func (q *Queue) run() {
	defer close(q.done)
	for range q.wake {
		q.mu.Lock()
		closed := q.closed
		q.mu.Unlock()
		if !closed {
			time.Sleep(flushInterval)
		}
		q.mu.Lock()
		lines := q.pending
		q.pending = nil
		q.mu.Unlock()
		// The error is ignored: there is nowhere else to report that the log
		// can't be written.
		n, _ := q.out.Write(lines)
		q.written.Add(float64(n))
		if closed {
			return
		}
	}
}
