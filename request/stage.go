package request

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/upstream"
)

// stageRun runs the attempts of one stage: one after another when they fail, and
// at most two at a time when the first is slow.
type stageRun struct {
	pipeline *pipelineRun
	index    int
	need     dispatch.StageNeed
	step     step
	attempts int
	winner   upstream.ID
	// lostUpstreams are the upstreams that died during the last runHedged.
	lostUpstreams []upstream.ID

	mu sync.Mutex // guards the fields below
	// avoid are the upstreams that the stage was sent to.
	avoid []upstream.ID
	// replacement is a slot for the next attempt; nil if none is reserved. reserving
	// is true while one is being acquired.
	replacement dispatch.Slot
	reserving   bool
}

// step makes one attempt at a stage; each kind of stage has its own.
type step interface {
	// attempt makes one call. It returns a function that applies the result;
	// it is called only for the attempt that won. The step must call commit,
	// and get true, before the attempt has any visible effect.
	attempt(ctx context.Context, call attempt.Call, commit func() bool) (apply func(), outcome dispatch.Outcome, err error)
}

// newStageRun prepares the attempts of one stage.
func newStageRun(run *pipelineRun, index int, need dispatch.StageNeed) *stageRun {
	return &stageRun{pipeline: run, index: index, need: need, step: newStep(run, need)}
}

// run makes attempts until one succeeds or no more are allowed.
func (t *stageRun) run(ctx context.Context) error {
	defer t.releaseReplacement()
	for {
		if err := t.pipeline.screenParts(ctx, t.promptParts()); err != nil {
			return err
		}
		slot, err := t.nextSlot(ctx)
		if err != nil {
			return err
		}
		wasSingleAttempt := t.pipeline.guarded.singleAttempt
		failed := t.runHedged(ctx, slot)
		mayContinue, err := t.reportLosses(ctx)
		if failed == nil {
			t.pipeline.runner.cfg.Guard.AnsweredParts(t.promptParts())
			return nil
		}
		if err != nil {
			return err
		}
		if t.hasReplacement() && mayContinue {
			continue
		}
		if wasSingleAttempt || !mayContinue || !t.mayRetry(ctx, failed) {
			return failed
		}
	}
}

// nextSlot returns the reserved slot, or acquires one.
func (t *stageRun) nextSlot(ctx context.Context) (dispatch.Slot, error) {
	t.mu.Lock()
	slot := t.replacement
	t.replacement = nil
	t.mu.Unlock()
	if slot != nil {
		return slot, nil
	}
	return t.pipeline.ticket.Acquire(ctx, t.index, t.avoided(), nil)
}

// avoided returns the upstreams that the stage was sent to.
func (t *stageRun) avoided() []upstream.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.avoid)
}

// reserveReplacement acquires a slot for another attempt, if the policy allows one,
// while a stalled attempt goes on. The returned function gives it back. There is one
// reservation at a time.
func (t *stageRun) reserveReplacement(ctx context.Context) (cancel func(), reserved bool) {
	if t.pipeline.guarded.singleAttempt || !t.beginReserving() {
		return nil, false
	}
	slot := t.acquireReplacement(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replacement, t.reserving = slot, false
	return func() { t.release(slot) }, slot != nil
}

// beginReserving returns false if a replacement is reserved or being acquired.
func (t *stageRun) beginReserving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reserving || t.replacement != nil {
		return false
	}
	t.reserving = true
	return true
}

// acquireReplacement returns a slot on another upstream, or nil.
func (t *stageRun) acquireReplacement(ctx context.Context) dispatch.Slot {
	if _, ok := t.pipeline.ticket.MayRetry(t.index, dispatch.TimedOut); !ok {
		return nil
	}
	slot, err := t.pipeline.ticket.Acquire(ctx, t.index, t.avoided(), nil)
	if err != nil {
		return nil // the stalled attempt goes on
	}
	return slot
}

// release gives a reserved slot back, unless an attempt has taken it.
func (t *stageRun) release(slot dispatch.Slot) {
	t.mu.Lock()
	taken := t.replacement != slot
	if !taken {
		t.replacement = nil
	}
	t.mu.Unlock()
	if !taken {
		slot.Done(dispatch.Outcome{Failure: dispatch.Cancelled})
	}
}

// hasReplacement reports whether a slot is reserved for the next attempt.
func (t *stageRun) hasReplacement() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replacement != nil
}

// releaseReplacement gives the reserved slot back, if there is one.
func (t *stageRun) releaseReplacement() {
	t.mu.Lock()
	slot := t.replacement
	t.mu.Unlock()
	if slot != nil {
		t.release(slot)
	}
}

// mayRetry asks the policy for another attempt and waits for the delay that it
// sets.
func (t *stageRun) mayRetry(ctx context.Context, failed *attempt.Failed) bool {
	wait, ok := t.pipeline.ticket.MayRetry(t.index, failed.Failure)
	return ok && sleep.For(ctx, wait) == nil
}

// reportLosses tells the guard which upstreams died during the last runHedged,
// and reports whether the request may continue.
func (t *stageRun) reportLosses(ctx context.Context) (bool, error) {
	if len(t.lostUpstreams) == 0 {
		return true, nil
	}
	for _, id := range t.lostUpstreams {
		t.pipeline.guarded.recordLoss(id)
	}
	t.lostUpstreams = nil
	return t.pipeline.guarded.mayContinue(ctx, t.pipeline.ran)
}

// attemptEnd describes an attempt that ended.
type attemptEnd struct {
	upstream     upstream.ID
	apply        func()
	committed    bool
	upstreamDied bool
	generated    bool // the engine had begun to generate
	failed       *attempt.Failed
}

// runHedged runs one attempt, and a hedge on another upstream when it is slow.
// The attempt that commits first wins; the other is cancelled. runHedged returns
// when both have ended.
func (t *stageRun) runHedged(ctx context.Context, slot dispatch.Slot) *attempt.Failed {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var committed atomic.Bool
	ends := make(chan attemptEnd, 2)
	running := 1
	t.startAttempt(ctx, slot, &committed, ends)
	hedge, stop := t.hedgeTimer()
	defer stop()
	var winner, other *attemptEnd
	for running > 0 {
		select {
		case end := <-ends:
			running--
			t.pipeline.ran = updateRan(t.pipeline.ran, end.failed)
			if end.upstreamDied {
				t.lostUpstreams = append(t.lostUpstreams, end.upstream)
				if !end.generated {
					t.pipeline.runner.cfg.Guard.LostParts(t.promptParts(), end.upstream)
				}
			}
			winner, other = recordEnd(winner, other, end)
			if end.committed {
				cancel()
			}
		case <-hedge:
			hedge = nil
			if !committed.Load() && t.startHedge(ctx, slot, &committed, ends) {
				running++
			}
		}
	}
	if winner != nil && winner.failed == nil {
		winner.apply()
		t.winner = winner.upstream
		return nil
	}
	if winner != nil {
		return winner.failed
	}
	return other.failed
}

// recordEnd keeps the attempt that committed and the last of the others.
func recordEnd(winner, other *attemptEnd, end attemptEnd) (*attemptEnd, *attemptEnd) {
	if end.committed {
		return &end, other
	}
	return winner, &end
}

// hedgeTimer returns a channel that fires when the attempt should be hedged, or
// never does, and a function that stops the timer.
func (t *stageRun) hedgeTimer() (<-chan time.Time, func()) {
	delay, ok := t.pipeline.ticket.HedgeDelay(t.index)
	if !ok || t.pipeline.guarded.singleAttempt {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// startHedge repeats a slow attempt on another upstream if the policy allows it.
func (t *stageRun) startHedge(ctx context.Context, slow dispatch.Slot, committed *atomic.Bool, ends chan<- attemptEnd) bool {
	avoid := append(t.avoided(), slow.Upstream().ID)
	slot, err := t.pipeline.ticket.Acquire(ctx, t.index, avoid, slow)
	if err != nil {
		return false
	}
	t.startAttempt(ctx, slot, committed, ends)
	return true
}

// startAttempt runs one attempt in the background.
func (t *stageRun) startAttempt(ctx context.Context, slot dispatch.Slot, committed *atomic.Bool, ends chan<- attemptEnd) {
	t.attempts++
	call := t.newCall(slot)
	go func() {
		ends <- t.attempt(ctx, slot, call, committed)
	}()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoid = append(t.avoid, slot.Upstream().ID)
}

// newCall prepares the parts of a call that all kinds of stage share.
func (t *stageRun) newCall(slot dispatch.Slot) attempt.Call {
	return attempt.Call{
		Identity: attempt.Identity{RequestID: t.pipeline.callID, Stage: t.need.Name, Attempt: t.attempts},
		Upstream: slot.Upstream(),
		Method:   "POST",
		Deadline: slot.Deadline(),
		NoEcho:   poolNoEcho(t.pipeline.job.Document, t.need.Pool),

		ReserveReplacement: t.reserveReplacement,
	}
}

// attempt makes one call and reports its outcome to the policy, the meter and the
// upstream table.
func (t *stageRun) attempt(ctx context.Context, slot dispatch.Slot, call attempt.Call, committed *atomic.Bool) attemptEnd {
	ctx, cancel := context.WithDeadline(ctx, slot.Deadline())
	defer cancel()
	won := false
	commit := func() bool {
		won = won || committed.CompareAndSwap(false, true)
		return won
	}
	r := t.pipeline.runner
	r.cfg.Guard.Started(t.pipeline.guarded.digest, call.Upstream.ID)
	r.cfg.Meter.Began(t.need.Model)
	apply, outcome, err := t.step.attempt(ctx, call, commit)
	end := attemptEnd{upstream: call.Upstream.ID, apply: apply, committed: won, generated: outcome.FirstToken > 0}
	if err != nil {
		end.failed = attempt.AsFailed(err)
		outcome.Failure = end.failed.Failure
	}
	slot.Done(outcome)
	r.cfg.Meter.Ended(t.need.Model, call.Upstream.ID, engineFailed(outcome.Failure))
	r.reportFailure(call.Upstream.ID, end.failed)
	end.upstreamDied = r.upstreamDied(outcome.Failure, call.Upstream)
	return end
}

// engineFailed reports whether a failure is the engine's own, so that it counts
// against the models that the engine has loaded.
func engineFailed(f dispatch.Failure) bool {
	return f == dispatch.UpstreamError || f == dispatch.ConnectionLost || f == dispatch.WrongAnswer
}

// updateRan returns whether an upstream ran the request, given what was known
// before and how an attempt ended.
func updateRan(before problem.Ran, failed *attempt.Failed) problem.Ran {
	switch {
	case failed == nil:
		return problem.Yes
	case failed.NothingRan() || before == problem.Yes:
		return before
	case failed.Failure == dispatch.UpstreamError || failed.Failure == dispatch.InvalidRequest:
		return problem.Yes
	default:
		return problem.Unknown
	}
}
