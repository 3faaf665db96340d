package request

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/upstream"
)

// tries runs the attempts of one stage: one after another when they fail, and
// at most two at a time when one is slow.
type tries struct {
	pipeline *pipelineRun
	index    int
	need     dispatch.StageNeed
	step     step
	avoid    []upstream.ID
	count    int
	winner   upstream.ID
	// lost are the upstreams that died under the last race.
	lost []upstream.ID
}

// step is what a kind of stage does in one attempt.
type step interface {
	// attempt makes one call. It returns how to apply the result, which runs
	// only for the attempt that won. commit must be called, and return true,
	// before anything of the attempt is seen outside it.
	attempt(ctx context.Context, call attempt.Call, commit func() bool) (apply func(), outcome dispatch.Outcome, err error)
}

// newTries prepares the attempts of one stage.
func newTries(run *pipelineRun, index int, need dispatch.StageNeed) *tries {
	return &tries{pipeline: run, index: index, need: need, step: newStep(run, need)}
}

// run tries until one attempt succeeds, or the policy allows no more.
func (t *tries) run(ctx context.Context) error {
	for {
		slot, err := t.pipeline.ticket.Acquire(ctx, t.index, t.avoid, nil)
		if err != nil {
			return err
		}
		wasAlone := t.pipeline.guarded.alone
		failed := t.race(ctx, slot)
		goOn, err := t.reportLosses(ctx)
		if failed == nil {
			return nil
		}
		if err != nil {
			return err
		}
		if wasAlone || !goOn || !t.mayRetry(ctx, failed) {
			return failed
		}
	}
}

// mayRetry asks the policy for another attempt and waits as long as it says.
func (t *tries) mayRetry(ctx context.Context, failed *attempt.Failed) bool {
	wait, ok := t.pipeline.ticket.MayRetry(t.index, failed.Failure)
	return ok && sleep.For(ctx, wait) == nil
}

// reportLosses tells the guard of the upstreams that died under the last race,
// and asks whether the request may go on.
func (t *tries) reportLosses(ctx context.Context) (bool, error) {
	if len(t.lost) == 0 {
		return true, nil
	}
	for _, id := range t.lost {
		t.pipeline.guarded.lose(id)
	}
	t.lost = nil
	return t.pipeline.guarded.mayGoOn(ctx, t.pipeline.ran)
}

// ended is one attempt's end.
type ended struct {
	upstream  upstream.ID
	apply     func()
	committed bool
	lost      bool
	failed    *attempt.Failed
}

// race runs one attempt, and doubles it when it is slow. The attempt that
// commits first wins; the other is cancelled. It returns when both have ended.
func (t *tries) race(ctx context.Context, slot dispatch.Slot) *attempt.Failed {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var committed atomic.Bool
	ends := make(chan ended, 2)
	running := 1
	t.start(ctx, slot, &committed, ends)
	hedge, stop := t.hedgeTimer()
	defer stop()
	var won, lost *ended
	for running > 0 {
		select {
		case end := <-ends:
			running--
			t.pipeline.ran = markRan(t.pipeline.ran, end.failed)
			if end.lost {
				t.lost = append(t.lost, end.upstream)
			}
			won, lost = settle(won, lost, end)
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
	if won != nil && won.failed == nil {
		won.apply()
		t.winner = won.upstream
		return nil
	}
	if won != nil {
		return won.failed
	}
	return lost.failed
}

// settle keeps the attempt that committed, and of the others the last.
func settle(won, lost *ended, end ended) (*ended, *ended) {
	if end.committed {
		return &end, lost
	}
	return won, &end
}

// hedgeTimer fires when the attempt should be doubled, or never.
func (t *tries) hedgeTimer() (<-chan time.Time, func()) {
	delay, ok := t.pipeline.ticket.HedgeDelay(t.index)
	if !ok || t.pipeline.guarded.alone {
		return nil, func() {}
	}
	timer := time.NewTimer(delay)
	return timer.C, func() { timer.Stop() }
}

// startHedge doubles a slow attempt on another upstream when the policy allows.
func (t *tries) startHedge(ctx context.Context, slow dispatch.Slot, committed *atomic.Bool, ends chan<- ended) bool {
	avoid := append(append([]upstream.ID{}, t.avoid...), slow.Upstream().ID)
	slot, err := t.pipeline.ticket.Acquire(ctx, t.index, avoid, slow)
	if err != nil {
		return false
	}
	t.start(ctx, slot, committed, ends)
	return true
}

// start runs one attempt in the background.
func (t *tries) start(ctx context.Context, slot dispatch.Slot, committed *atomic.Bool, ends chan<- ended) {
	t.count++
	call := t.call(slot)
	go func() {
		ends <- t.attempt(ctx, slot, call, committed)
	}()
	t.avoid = append(t.avoid, slot.Upstream().ID)
}

// call prepares what all kinds of stage send alike.
func (t *tries) call(slot dispatch.Slot) attempt.Call {
	return attempt.Call{
		Identity: attempt.Identity{RequestID: t.pipeline.callID, Stage: t.need.Name, Attempt: t.count},
		Upstream: slot.Upstream(),
		Method:   "POST",
		Deadline: slot.Deadline(),
		NoEcho:   poolNoEcho(t.pipeline.job.Document, t.need.Pool),
	}
}

// attempt makes one call and teaches the policy what it saw.
func (t *tries) attempt(ctx context.Context, slot dispatch.Slot, call attempt.Call, committed *atomic.Bool) ended {
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
	end := ended{upstream: call.Upstream.ID, apply: apply, committed: won}
	if err != nil {
		end.failed = attempt.AsFailed(err)
		outcome.Failure = end.failed.Failure
	}
	slot.Done(outcome)
	r.cfg.Meter.Ended(t.need.Model, call.Upstream.ID, engineFailed(outcome.Failure))
	r.report(call.Upstream.ID, end.failed)
	end.lost = r.lostUpstream(outcome.Failure, call.Upstream)
	return end
}

// engineFailed says whether a failure speaks against what the engine holds.
func engineFailed(f dispatch.Failure) bool {
	return f == dispatch.UpstreamError || f == dispatch.BrokenOff || f == dispatch.WrongAnswer
}

// markRan notes what an attempt's end says about whether anything ran.
func markRan(before problem.Ran, failed *attempt.Failed) problem.Ran {
	switch {
	case failed == nil:
		return problem.Yes
	case failed.NothingRan() || before == problem.Yes:
		return before
	case failed.Failure == dispatch.UpstreamError || failed.Failure == dispatch.CallerFault:
		return problem.Yes
	default:
		return problem.Unknown
	}
}
