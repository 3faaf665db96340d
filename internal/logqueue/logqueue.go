// Package logqueue writes log lines without ever blocking those who log.
package logqueue

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Bounds of a Queue.
const (
	// queueBytes is the memory for lines that wait to be written.
	queueBytes = 256 << 10
	// bytesPerSecond bounds the volume; a burst may take a whole second's.
	bytesPerSecond = 96 << 10
	// flushInterval is how long lines wait to be written together.
	flushInterval = 50 * time.Millisecond
)

// Queue is a writer that drops lines when the output is slow or the volume is
// over its bound. It is safe for concurrent use.
type Queue struct {
	out     io.Writer
	dropped prometheus.Counter
	written prometheus.Counter

	mu      sync.Mutex // guards what follows
	pending []byte
	tokens  float64
	filled  time.Time
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New makes a queue that writes to out until Close.
func New(out io.Writer, registerer prometheus.Registerer) *Queue {
	q := &Queue{
		out:     out,
		dropped: prometheus.NewCounter(prometheus.CounterOpts{Name: "seam_log_lines_dropped_total", Help: "Log lines that were over the bound."}),
		written: prometheus.NewCounter(prometheus.CounterOpts{Name: "seam_log_bytes_total", Help: "Bytes of log lines."}),
		tokens:  bytesPerSecond,
		filled:  time.Now(),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	if registerer != nil {
		registerer.MustRegister(q.dropped, q.written)
	}
	go q.run()
	return q
}

// Write takes one line, or drops it. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.tokens = min(q.tokens+now.Sub(q.filled).Seconds()*bytesPerSecond, bytesPerSecond)
	q.filled = now
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

// Close writes what waits and ends the queue.
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
		// A log that can't be written has no other place to say so.
		n, _ := q.out.Write(lines)
		q.written.Add(float64(n))
		if closed {
			return
		}
	}
}
