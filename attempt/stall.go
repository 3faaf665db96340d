package attempt

import (
	"context"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
)

// stallMonitor ends a stream that stalls, if a replacement is reserved for it: a
// stalled engine may be sound and go on.
type stallMonitor struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	reserve func(context.Context) (cancel func(), reserved bool)
	timeout time.Duration
	timer   *time.Timer

	mu        sync.Mutex // guards the fields below
	countdown sleep.Countdown
	lines     int
	stopped   bool
}

// monitorStalls returns a monitor that starts with the first line.
func (c *Client) monitorStalls(ctx context.Context, cancel context.CancelCauseFunc, call Call) *stallMonitor {
	m := &stallMonitor{ctx: ctx, cancel: cancel, reserve: call.ReserveReplacement, timeout: c.stallTimeout}
	if m.reserve == nil {
		m.reserve = func(context.Context) (func(), bool) { return func() {}, true }
	}
	m.timer = time.AfterFunc(m.timeout, func() { m.onTimer(time.Now()) })
	m.timer.Stop()
	return m
}

// recordLine records that the stream goes on.
func (m *stallMonitor) recordLine() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines++
	m.restart(time.Now())
}

// restart starts the timeout. The caller holds mu.
func (m *stallMonitor) restart(now time.Time) {
	m.countdown = sleep.NewCountdown(m.timeout, now)
	m.timer.Reset(m.countdown.Wait(now))
}

func (m *stallMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
}

// onTimer handles a stall once the timeout has passed in time in which this host ran.
func (m *stallMonitor) onTimer(now time.Time) {
	m.mu.Lock()
	over := m.countdown.Next(now)
	if !over && !m.stopped {
		m.timer.Reset(m.countdown.Wait(now))
	}
	m.mu.Unlock()
	if over {
		m.onStall()
	}
}

// onStall reserves a replacement and then ends the stream, unless the stream continues in
// that time. Without a replacement, it waits for another timeout.
func (m *stallMonitor) onStall() {
	m.mu.Lock()
	lines := m.lines
	m.mu.Unlock()
	release, reserved := m.reserve(m.ctx)
	m.mu.Lock()
	stalled := !m.stopped && m.lines == lines
	switch {
	case stalled && reserved:
		m.cancel(errStalled)
	case stalled:
		m.restart(time.Now())
	}
	m.mu.Unlock()
	if reserved && !stalled {
		release()
	}
}
