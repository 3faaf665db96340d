package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/policy"
	"github.com/galenaseam/galenaseam/upstream"
)

// ticket is an admitted request.
type ticket struct {
	rt      *Runtime
	request *policy.Request
	stages  int
	// used counts the tokens that the attempts reported.
	used atomic.Int64
}

// Acquire waits for a slot.
func (t *ticket) Acquire(ctx context.Context, stage int, avoid []upstream.ID, hedgeOf Slot) (Slot, error) {
	if stage < 0 || stage >= t.stages {
		return nil, Error.New("stage %d of %d", stage, t.stages)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if hedgeOf != nil {
		return t.hedge(stage, avoid, hedgeOf)
	}
	call, waiter, refusal := t.enqueue(stage, avoid)
	if refusal != nil {
		return nil, t.refused(refusal)
	}
	expiry := time.NewTimer(call.Expires.Sub(t.rt.config.Now()))
	defer expiry.Stop()
	select {
	case attempt := <-waiter:
		if attempt == nil {
			return t.dropped(call)
		}
		return t.slot(attempt), nil
	case <-expiry.C:
		return t.expire(call, waiter)
	case <-ctx.Done():
		t.abandon(call, waiter)
		return nil, ctx.Err()
	}
}

func (t *ticket) enqueue(stage int, avoid []upstream.ID) (*policy.Call, chan *policy.Attempt, *Refusal) {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	pool := t.request.Stages[stage].Pool
	rt.observe(now, pool)
	call, refusal := rt.core.Enqueue(now, t.request, stage, avoid)
	if refusal != nil {
		return nil, nil, refusal
	}
	waiter := make(chan *policy.Attempt, 1)
	rt.waiters[call] = waiter
	rt.grant(now, pool)
	return call, waiter, nil
}

// dropped refuses a call that gave way to others.
func (t *ticket) dropped(call *policy.Call) (Slot, error) {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	return nil, t.refused(rt.core.Abandon(now, call, CauseDeadline))
}

// expire ends a wait that has become useless, unless a slot came just now.
func (t *ticket) expire(call *policy.Call, waiter chan *policy.Attempt) (Slot, error) {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	if attempt := t.lastMoment(call, waiter); attempt != nil {
		return t.slot(attempt), nil
	}
	return nil, t.refused(rt.core.Abandon(now, call, CauseDeadline))
}

// abandon ends a wait because the caller went away.
func (t *ticket) abandon(call *policy.Call, waiter chan *policy.Attempt) {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	if attempt := t.lastMoment(call, waiter); attempt != nil {
		rt.core.Complete(now, attempt, Outcome{Failure: Cancelled})
		rt.grant(now, call.Pool())
		return
	}
	_ = rt.core.Abandon(now, call, policy.CauseCallerGone) // the caller gets ctx's error
}

// lastMoment returns the attempt that came just as the wait ended, or nil. It
// needs coreMu.
func (t *ticket) lastMoment(call *policy.Call, waiter chan *policy.Attempt) *policy.Attempt {
	select {
	case attempt := <-waiter:
		return attempt
	default:
	}
	delete(t.rt.waiters, call)
	return nil
}

func (t *ticket) hedge(stage int, avoid []upstream.ID, of Slot) (Slot, error) {
	first, ok := of.(*slot)
	if !ok {
		return nil, Error.New("the hedged slot is from another dispatcher")
	}
	rt := t.rt
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	attempt := rt.core.Hedge(rt.config.Now(), first.attempt, avoid)
	if attempt == nil {
		return nil, &Refusal{Cause: CauseRetryBudget, Stage: t.request.Stages[stage].Name}
	}
	return t.slot(attempt), nil
}

func (t *ticket) refused(refusal *Refusal) error {
	t.rt.metrics.refused(t.request.Class.Name, refusal)
	return refusal
}

func (t *ticket) slot(attempt *policy.Attempt) *slot {
	t.rt.metrics.started(attempt)
	return &slot{rt: t.rt, ticket: t, attempt: attempt}
}

// MayRetry says whether the stage may be tried again.
func (t *ticket) MayRetry(stage int, failure Failure) (time.Duration, bool) {
	t.rt.coreMu.Lock()
	defer t.rt.coreMu.Unlock()
	return t.rt.core.MayRetry(t.rt.config.Now(), t.request, stage, failure)
}

// HedgeDelay is how long to wait for an attempt before doubling it.
func (t *ticket) HedgeDelay(stage int) (time.Duration, bool) {
	t.rt.coreMu.Lock()
	defer t.rt.coreMu.Unlock()
	return t.rt.core.HedgeDelay(t.rt.config.Now(), t.request, stage)
}

// Fallback says whether to take the stage's declared fallback now.
func (t *ticket) Fallback(stage int) bool {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	rt.observe(now, t.request.Stages[stage].Pool)
	return rt.core.Fallback(now, t.request, stage)
}

// Finish ends the ticket and gives back the tokens that were taken for it and
// not used.
func (t *ticket) Finish(f Final) {
	t.refund()
	t.rt.metrics.finished(t.request, f)
	t.rt.coreMu.Lock()
	defer t.rt.coreMu.Unlock()
	t.rt.core.Finish(t.rt.config.Now(), t.request, f)
}

// refund gives back what the estimate at admission had too much.
func (t *ticket) refund() {
	spare := t.request.Tokens() - int(t.used.Load())
	if t.rt.config.Limiter != nil && spare > 0 {
		t.rt.config.Limiter.Refund(t.request.Workspace, t.request.Class, 0, spare)
	}
}

// slot is the right to run one attempt.
type slot struct {
	rt      *Runtime
	ticket  *ticket
	attempt *policy.Attempt
}

// Upstream returns where the attempt goes.
func (s *slot) Upstream() upstream.Upstream { return s.attempt.Upstream }

// Deadline is when the attempt must have ended.
func (s *slot) Deadline() time.Time { return s.attempt.Deadline }

// Done ends the slot and wakes the calls that wait for it.
func (s *slot) Done(o Outcome) {
	rt := s.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	if !rt.core.Complete(now, s.attempt, o) {
		return
	}
	s.ticket.used.Add(int64(o.InputTokens + o.OutputTokens))
	rt.metrics.ended(now, s.attempt, o)
	rt.grant(now, s.attempt.Call.Pool())
}
