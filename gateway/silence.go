package gateway

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/routing"
)

// Why an attempt ended after a silence.
var (
	errStalled     = errors.New("upstream sent nothing for too long and another took over")
	errUnreachable = errors.New("upstream sends nothing and can't be reached")
)

const (
	// stallEventGaps is the silence between events, in multiples of the route's event
	// gap, after which a resumable stream's upstream is checked. The silence is at
	// least minStallTimeout.
	stallEventGaps  = 6
	minStallTimeout = 1200 * time.Millisecond
	// firstEventObjectives is the silence before the first event, in multiples of
	// the route's latency objective, after which another upstream is asked as well
	// for a resumable stream: a prompt may have to wait until the engine has read
	// other prompts. The silence is at least minStallTimeout.
	firstEventObjectives = 2
	// probeSilence is the shortest silence after which an upstream is probed if
	// no other may take over its work.
	probeSilence = time.Second
	// unreachableProbes is how many probes in a row must fail before an attempt
	// ends for which there is no replacement, and probePause the time between them.
	unreachableProbes = 2
	probePause        = 500 * time.Millisecond
	// answerLatencies is how long a call may take, in multiples of the
	// upstream's usual latency, before another upstream is asked as well or this one
	// is probed. For idempotent calls it is at least minAnswerTimeout.
	answerLatencies  = 10
	minAnswerTimeout = 250 * time.Millisecond
)

// silenceMonitor reports when the upstream of an attempt sends nothing for too long, in
// time in which this host ran. A silent upstream may be sound, so the monitor only reports.
type silenceMonitor struct {
	attempt      *upstreamAttempt
	addr         netip.AddrPort
	process      instance.Process
	firstTimeout time.Duration // the longest silence before the first activity
	idleTimeout  time.Duration // the longest silence after it

	probing atomic.Bool // a probe is under way

	mu        sync.Mutex // guards the fields below
	timer     *time.Timer
	countdown sleep.Countdown // to the next report
	activity  uint64
	paused    bool // this host is not ready to receive
	stopped   bool
}

// newSilenceMonitor returns a monitor for an attempt on an upstream.
func (s *upstreamAttempt) newSilenceMonitor(chosen instance.Status) *silenceMonitor {
	m := &silenceMonitor{attempt: s, addr: chosen.Addr, process: chosen.Process()}
	if s.route.Kind == routing.Stream {
		m.firstTimeout, m.idleTimeout = s.streamSilenceLimits()
	} else {
		m.firstTimeout = s.plainSilenceLimit(chosen)
		m.idleTimeout = max(m.firstTimeout, probeSilence)
	}
	return m
}

// start starts the first timeout.
func (m *silenceMonitor) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.countdown = sleep.NewCountdown(m.firstTimeout, now)
	m.timer = time.AfterFunc(m.countdown.Wait(now), func() { m.onTimer(time.Now()) })
}

// restart starts the timeout for a further silence. The caller holds mu.
func (m *silenceMonitor) restart(now time.Time) {
	m.countdown = sleep.NewCountdown(m.idleTimeout, now)
	m.setTimer(now)
}

// setTimer sets the timer unless the monitor was stopped. The caller holds mu.
func (m *silenceMonitor) setTimer(now time.Time) {
	if !m.stopped {
		m.timer.Reset(m.countdown.Wait(now))
	}
}

// recordActivity records that the upstream sent something.
func (m *silenceMonitor) recordActivity() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activity++
	m.restart(time.Now())
}

// pause makes the time until resume not count as a silence.
func (m *silenceMonitor) pause() { m.setPaused(true) }

// resume starts the timeout for a further silence.
func (m *silenceMonitor) resume() { m.setPaused(false) }

func (m *silenceMonitor) setPaused(paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused = paused
	m.restart(time.Now())
}

// activityCount returns how often the upstream has sent something.
func (m *silenceMonitor) activityCount() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.activity
}

func (m *silenceMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
}

// onTimer reports the silence if it is too long, and starts the next timeout.
func (m *silenceMonitor) onTimer(now time.Time) {
	activity, silent := m.isSilent(now)
	if !silent {
		return
	}
	m.attempt.report(report{kind: upstreamSilent, activity: activity})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.activity == activity {
		m.restart(time.Now())
	}
}

// isSilent reports whether the silence is too long, and sets the timer if not.
func (m *silenceMonitor) isSilent(now time.Time) (activity uint64, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused {
		m.restart(now)
		return m.activity, false
	}
	if !m.countdown.Next(now) {
		m.setTimer(now)
		return m.activity, false
	}
	return m.activity, true
}

// probe checks whether a silent upstream accepts connections in the way that the attempt's
// goes, and reports each probe that fails. It stops once a probe succeeds or the upstream sends something.
// A leaving upstream may refuse connections while it completes its work.
func (m *silenceMonitor) probe() {
	if !m.probing.CompareAndSwap(false, true) {
		return
	}
	defer m.probing.Store(false)
	activity := m.activityCount()
	for range unreachableProbes {
		ctx, cancel := context.WithTimeout(m.attempt.ctx, crashCheckTimeout)
		peer, err := m.attempt.config.Transport.Probe(ctx, m.addr)
		cancel()
		sound := err == nil && !m.attempt.hasLostPath(peer) || m.attempt.config.Instances.RefusesAsLeaving(m.process, err)
		if sound || m.attempt.ctx.Err() != nil || m.activityCount() != activity {
			return
		}
		m.attempt.report(report{kind: probeFailed, activity: activity})
		if sleep.For(m.attempt.ctx, probePause) != nil {
			return
		}
	}
}

// streamSilenceLimits returns the longest silences of a stream before the first
// event and between events.
func (x *exchange) streamSilenceLimits() (first, between time.Duration) {
	if x.route.Resumable {
		return max(firstEventObjectives*x.route.Objective, minStallTimeout), max(stallEventGaps*x.route.EventGap, minStallTimeout)
	}
	return max(x.route.Objective, probeSilence), max(stallEventGaps*x.route.EventGap, probeSilence)
}

// plainSilenceLimit returns how long a call that is not streamed may take before
// another upstream is asked as well or this one is probed.
func (x *exchange) plainSilenceLimit(chosen instance.Status) time.Duration {
	if x.route.Kind == routing.Idempotent {
		return max(answerLatencies*chosen.Latency, minAnswerTimeout)
	}
	return max(answerLatencies*chosen.Latency, probeSilence)
}
