package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/policy"
	"github.com/galenaseam/galenaseam/upstream"
)

// ticket is the Ticket of an admitted request.
type ticket struct {
	rt      *Runtime
	request *policy.Request
	stages  int
	// usedTokens counts the tokens that the attempts reported.
	usedTokens atomic.Int64
}

// Acquire waits in the stage's queue for a slot.
func (t *ticket) Acquire(ctx context.Context, stage int, avoid []upstream.ID, hedgeOf Slot) (Slot, error) {
	if stage < 0 || stage >= t.stages {
		return nil, Error.New("stage index %d out of range: the request has %d stages", stage, t.stages)
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if hedgeOf != nil {
		return t.hedge(stage, avoid, hedgeOf)
	}
	call, waiter, refusal := t.enqueue(stage, avoid)
	if refusal != nil {
		return nil, t.countRefusal(refusal)
	}
	expiry := time.NewTimer(call.Expires.Sub(t.rt.config.Now()))
	defer expiry.Stop()
	select {
	case attempt := <-waiter:
		if attempt == nil {
			return t.refuseDropped(call)
		}
		return t.newSlot(attempt), nil
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

// refuseDropped returns the refusal of a call that the policy dropped from its
// queue.
func (t *ticket) refuseDropped(call *policy.Call) (Slot, error) {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	return nil, t.countRefusal(rt.core.Abandon(now, call, CauseDeadline))
}

// expire ends the wait of a call that can no longer finish in time, unless it was
// granted a slot in the meantime.
func (t *ticket) expire(call *policy.Call, waiter chan *policy.Attempt) (Slot, error) {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	if attempt := t.takeLateAttempt(call, waiter); attempt != nil {
		return t.newSlot(attempt), nil
	}
	return nil, t.countRefusal(rt.core.Abandon(now, call, CauseDeadline))
}

// abandon ends a wait because the caller's context ended.
func (t *ticket) abandon(call *policy.Call, waiter chan *policy.Attempt) {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	if attempt := t.takeLateAttempt(call, waiter); attempt != nil {
		rt.core.Complete(now, attempt, Outcome{Failure: Cancelled})
		rt.grant(now, call.Pool())
		return
	}
	_ = rt.core.Abandon(now, call, policy.CauseCallerGone) // Acquire returns ctx's error
}

// takeLateAttempt returns the attempt that was granted just as the wait ended, or
// nil if there is none. coreMu must be held.
func (t *ticket) takeLateAttempt(call *policy.Call, waiter chan *policy.Attempt) *policy.Attempt {
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
		return nil, Error.New("hedged slot belongs to another dispatcher")
	}
	rt := t.rt
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	attempt := rt.core.Hedge(rt.config.Now(), first.attempt, avoid)
	if attempt == nil {
		return nil, &Refusal{Cause: CauseRetryBudget, Stage: t.request.Stages[stage].Name}
	}
	return t.newSlot(attempt), nil
}

func (t *ticket) countRefusal(refusal *Refusal) error {
	t.rt.metrics.refused(t.request.Class.Name, refusal)
	return refusal
}

func (t *ticket) newSlot(attempt *policy.Attempt) *slot {
	t.rt.metrics.started(attempt)
	return &slot{rt: t.rt, ticket: t, attempt: attempt}
}

// MayRetry reports whether the stage may be retried, and after which delay.
func (t *ticket) MayRetry(stage int, failure Failure) (time.Duration, bool) {
	t.rt.coreMu.Lock()
	defer t.rt.coreMu.Unlock()
	return t.rt.core.MayRetry(t.rt.config.Now(), t.request, stage, failure)
}

// HedgeDelay returns how long to wait for an attempt before hedging it.
func (t *ticket) HedgeDelay(stage int) (time.Duration, bool) {
	t.rt.coreMu.Lock()
	defer t.rt.coreMu.Unlock()
	return t.rt.core.HedgeDelay(t.rt.config.Now(), t.request, stage)
}

// Fallback reports whether to use the stage's declared fallback now.
func (t *ticket) Fallback(stage int) bool {
	rt := t.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	rt.observe(now, t.request.Stages[stage].Pool)
	return rt.core.Fallback(now, t.request, stage)
}

// Finish ends the ticket and refunds the tokens that were charged for it and not
// used.
func (t *ticket) Finish(f Result) {
	t.refund()
	t.rt.metrics.finished(t.request, f)
	t.rt.coreMu.Lock()
	defer t.rt.coreMu.Unlock()
	t.rt.core.Finish(t.rt.config.Now(), t.request, f)
}

// refund returns the tokens by which the estimate at admission was too high.
func (t *ticket) refund() {
	spare := t.request.Tokens() - int(t.usedTokens.Load())
	if t.rt.config.Limiter != nil && spare > 0 {
		t.rt.config.Limiter.Refund(t.request.Workspace, t.request.Class, 0, spare)
	}
}

// slot is the Slot of one attempt.
type slot struct {
	rt      *Runtime
	ticket  *ticket
	attempt *policy.Attempt
}

// Upstream returns the upstream that the attempt goes to.
func (s *slot) Upstream() upstream.Upstream { return s.attempt.Upstream }

// Deadline is the time by which the attempt must end.
func (s *slot) Deadline() time.Time { return s.attempt.Deadline }

// Done releases the slot and grants it to a waiting call.
func (s *slot) Done(o Outcome) {
	rt := s.rt
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	if !rt.core.Complete(now, s.attempt, o) {
		return
	}
	s.ticket.usedTokens.Add(int64(o.InputTokens + o.OutputTokens))
	rt.metrics.ended(now, s.attempt, o)
	rt.grant(now, s.attempt.Call.Pool())
}
