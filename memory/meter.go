package memory

import (
	"context"
	"sync/atomic"
	"time"
)

// Meter records when bytes last moved. It is safe for concurrent use.
type Meter struct {
	moved   atomic.Int64 // bytes since movedAt
	movedAt atomic.Int64 // in Unix nanoseconds
}

// Start records that bytes are expected to move from now on.
func (m *Meter) Start(now time.Time) {
	m.moved.Store(0)
	m.movedAt.Store(now.UnixNano())
}

// Moved records that bytes have moved.
func (m *Meter) Moved(bytes int, now time.Time) {
	if m.moved.Add(int64(bytes)) >= progressBytes {
		m.Start(now)
	}
}

// idle returns the time since enough bytes moved to count as progress.
func (m *Meter) idle(now time.Time) time.Duration { return now.Sub(time.Unix(0, m.movedAt.Load())) }

type writeMeterKey struct{}

// WithWriteMeter returns a context with the meter of what is written to a caller.
func WithWriteMeter(ctx context.Context, m *Meter) context.Context {
	return context.WithValue(ctx, writeMeterKey{}, m)
}

// WriteMeterOf returns the meter of a request's context, or nil.
func WriteMeterOf(ctx context.Context) *Meter {
	m, _ := ctx.Value(writeMeterKey{}).(*Meter)
	return m
}
