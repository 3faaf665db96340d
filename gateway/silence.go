package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

// Why a sending was ended while its upstream was silent.
var (
	errStalled = errors.New("upstream was silent for too long and another may go on")
	errDead    = errors.New("upstream is silent and can't be reached")
)

const (
	// stallGaps is after how many of a route's longest pauses a resumable
	// stream goes on elsewhere, at least minStall.
	stallGaps = 6
	minStall  = 1200 * time.Millisecond
	// firstEventObjectives is the same before the first event, in objectives:
	// a prompt may wait for others to be read.
	firstEventObjectives = 2
	// probeAfter is the silence after which an upstream is looked at whose work
	// may not go on elsewhere: its silence alone ends nothing.
	probeAfter = time.Second
	// probes is how often in a row it must be out of reach.
	probes = 2
	// answerLatencies is how many of its usual times an idempotent call may
	// take before another upstream is asked, at least minAnswerTime.
	answerLatencies = 10
	minAnswerTime   = 250 * time.Millisecond
)

// silence watches one sending and ends it when its upstream is silent for too
// long, or has gone dark.
type silence struct {
	gateway *Gateway
	chosen  instance.Status
	cancel  context.CancelCauseFunc
	ctx     context.Context
	// movable says that another upstream may go on.
	movable bool
	between time.Duration

	mu    sync.Mutex // guards timer and heard
	timer *time.Timer
	heard uint64
}

// watchSilence begins to watch a sending. first is the longest silence before
// the first sign of life, between the longest after it.
func (x *exchange) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, chosen instance.Status, movable bool, first, between time.Duration) *silence {
	w := &silence{gateway: x.Gateway, chosen: chosen, cancel: cancel, ctx: ctx, movable: movable, between: between}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, w.expired)
	return w
}

// sign notes a sign of life.
func (w *silence) sign() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard++
	w.timer.Reset(w.between)
}

func (w *silence) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// expired ends the sending, or looks at the upstream first.
func (w *silence) expired() {
	if w.movable {
		w.cancel(errStalled)
		return
	}
	w.mu.Lock()
	heard := w.heard
	w.mu.Unlock()
	for range probes {
		ctx, cancel := context.WithTimeout(w.ctx, crashTimeout)
		err := w.gateway.config.Transport.Reach(ctx, w.chosen.Addr)
		cancel()
		w.mu.Lock()
		alive := err == nil || w.heard != heard || w.ctx.Err() != nil
		if alive && w.ctx.Err() == nil && w.heard == heard {
			w.timer.Reset(w.between)
		}
		w.mu.Unlock()
		if alive {
			return
		}
	}
	w.cancel(errDead)
}

// streamSilences are the longest silences of a stream.
func (x *exchange) streamSilences() (first, between time.Duration) {
	if x.route.Resumable {
		return max(firstEventObjectives*x.route.Objective, minStall), max(stallGaps*x.route.EventGap, minStall)
	}
	return max(x.route.Objective, probeAfter), max(stallGaps*x.route.EventGap, probeAfter)
}

// plainSilence is the longest silence of a call that is answered whole.
func (x *exchange) plainSilence(chosen instance.Status) time.Duration {
	if x.route.Kind == routing.Idempotent {
		return max(answerLatencies*chosen.Latency, minAnswerTime)
	}
	return max(answerLatencies*chosen.Latency, probeAfter)
}

// movesOn says whether an idempotent call may still be sent elsewhere.
func (x *exchange) movesOn() bool {
	return x.route.Kind == routing.Idempotent && len(x.tries)+1 < x.route.MaxUpstreams &&
		len(x.config.Instances.Service(x.service, time.Now())) > len(x.tries)+1
}
