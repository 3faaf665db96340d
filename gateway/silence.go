package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

// The causes with which a silenceMonitor cancels an attempt.
var (
	errStalled     = errors.New("upstream sent nothing for too long and another may take over")
	errUnreachable = errors.New("upstream sends nothing and can't be reached")
)

const (
	// stallEventGaps is the silence, in multiples of the route's event gap,
	// after which another upstream continues a resumable stream. The silence is
	// at least minStallTimeout.
	stallEventGaps  = 6
	minStallTimeout = 1200 * time.Millisecond
	// firstEventObjectives is the silence before the first event, in multiples of
	// the route's latency objective, after which another upstream takes over a
	// resumable stream: a prompt may have to wait until the engine has read other
	// prompts. The silence is at least minStallTimeout.
	firstEventObjectives = 2
	// probeSilence is the shortest silence after which an upstream is probed if
	// no other may take over its work. Silence alone does not end such an
	// attempt.
	probeSilence = time.Second
	// unreachableProbes is how many probes in a row must fail before the
	// attempt ends.
	unreachableProbes = 2
	// answerLatencies is how long a call may take, in multiples of the
	// upstream's usual latency, before another upstream is tried or this one is
	// probed. For idempotent calls it is at least minAnswerTimeout.
	answerLatencies  = 10
	minAnswerTimeout = 250 * time.Millisecond
)

// silenceMonitor watches one attempt. It cancels the attempt when the upstream
// sends nothing for too long and another may take over, or when the upstream can
// no longer be reached.
type silenceMonitor struct {
	gateway *Gateway
	chosen  instance.Status
	cancel  context.CancelCauseFunc
	ctx     context.Context
	// canSwitch means that another upstream may take over.
	canSwitch   bool
	idleTimeout time.Duration

	mu       sync.Mutex // guards timer and activity
	timer    *time.Timer
	activity uint64
}

// monitorSilence starts to watch an attempt. firstTimeout is the longest silence
// before the upstream's first activity, idleTimeout the longest silence after it.
func (x *exchange) monitorSilence(ctx context.Context, cancel context.CancelCauseFunc, chosen instance.Status, canSwitch bool, firstTimeout, idleTimeout time.Duration) *silenceMonitor {
	m := &silenceMonitor{gateway: x.Gateway, chosen: chosen, cancel: cancel, ctx: ctx, canSwitch: canSwitch, idleTimeout: idleTimeout}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(firstTimeout, m.onTimeout)
	return m
}

// recordActivity records that the upstream sent something.
func (m *silenceMonitor) recordActivity() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activity++
	m.timer.Reset(m.idleTimeout)
}

func (m *silenceMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer.Stop()
}

// onTimeout cancels the attempt at once if another upstream may take over, and
// otherwise only if probes don't reach the upstream.
func (m *silenceMonitor) onTimeout() {
	if m.canSwitch {
		m.cancel(errStalled)
		return
	}
	m.mu.Lock()
	before := m.activity
	m.mu.Unlock()
	for range unreachableProbes {
		ctx, cancel := context.WithTimeout(m.ctx, crashCheckTimeout)
		err := m.gateway.config.Transport.Probe(ctx, m.chosen.Addr)
		cancel()
		m.mu.Lock()
		alive := err == nil || m.activity != before || m.ctx.Err() != nil
		if alive && m.ctx.Err() == nil && m.activity == before {
			m.timer.Reset(m.idleTimeout)
		}
		m.mu.Unlock()
		if alive {
			return
		}
	}
	m.cancel(errUnreachable)
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
// another upstream is tried or this one is probed.
func (x *exchange) plainSilenceLimit(chosen instance.Status) time.Duration {
	if x.route.Kind == routing.Idempotent {
		return max(answerLatencies*chosen.Latency, minAnswerTimeout)
	}
	return max(answerLatencies*chosen.Latency, probeSilence)
}

// canSwitchUpstream reports whether an idempotent call may still be sent to
// another upstream.
func (x *exchange) canSwitchUpstream() bool {
	return x.route.Kind == routing.Idempotent && len(x.attempts)+1 < x.route.MaxUpstreams &&
		len(x.config.Instances.Service(x.service, time.Now())) > len(x.attempts)+1
}
