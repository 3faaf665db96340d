// Package dispatch runs the policy on a live host: it admits requests, holds
// the queues, and hands out slots on upstreams. The decisions themselves are
// made by package policy, which does no I/O and has no clock.
package dispatch

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/policy"
	"github.com/galenaseam/galenaseam/upstream"
)

// The terms that the policy and its callers share.
type (
	// StageNeed is one stage that a request will go through.
	StageNeed = policy.StageNeed
	// Arrival is a request as it stands at a host's door.
	Arrival = policy.Arrival
	// Cause is why the policy refused, in a word that metrics and callers see.
	Cause = policy.Cause
	// Refusal is the error that Admit and Acquire return when the policy says no.
	Refusal = policy.Refusal
	// Failure is how an attempt failed.
	Failure = policy.Failure
	// Outcome is what one attempt told.
	Outcome = policy.Outcome
	// Final is how a whole request ended.
	Final = policy.Result
)

// The causes of a refusal.
const (
	CauseLimit       = policy.CauseLimit
	CauseInfeasible  = policy.CauseInfeasible
	CauseOverload    = policy.CauseOverload
	CauseNoUpstream  = policy.CauseNoUpstream
	CauseDeadline    = policy.CauseDeadline
	CauseRetryBudget = policy.CauseRetryBudget
	CauseDraining    = policy.CauseDraining
)

// The ways an attempt can end.
const (
	Succeeded         = policy.Succeeded
	NotSent           = policy.NotSent
	RefusedByUpstream = policy.RefusedByUpstream
	UpstreamError     = policy.UpstreamError
	BrokenOff         = policy.ConnectionLost
	TimedOut          = policy.TimedOut
	WrongAnswer       = policy.WrongAnswer
	Cancelled         = policy.Cancelled
	CallerFault       = policy.InvalidRequest
)

// Dispatcher admits requests. Implementations are safe for concurrent use.
type Dispatcher interface {
	// Admit decides on a request before anything runs. The error is a
	// *Refusal. Every ticket must be closed by Finish.
	Admit(ctx context.Context, a Arrival) (Ticket, error)
}

// Ticket is an admitted request.
type Ticket interface {
	// Acquire waits in the stage's queue for a slot on an upstream that is not
	// in avoid. The error is a *Refusal, or ctx's. The first attempt of a stage
	// has hedgeOf nil; a hedge passes the slot that it doubles, and gets an
	// error at once when no budget or upstream is free.
	Acquire(ctx context.Context, stage int, avoid []upstream.ID, hedgeOf Slot) (Slot, error)
	// MayRetry says whether the stage may be tried again after a failure, and
	// how long to wait first. It spends retry budget when it says yes.
	MayRetry(stage int, failure Failure) (wait time.Duration, ok bool)
	// HedgeDelay is how long to wait for an attempt before doubling it.
	HedgeDelay(stage int) (delay time.Duration, ok bool)
	// Fallback says whether to take the stage's declared fallback now. After a
	// yes to a fallback that names a stage, the calls under this index go to
	// that stage's pool.
	Fallback(stage int) bool
	// Finish ends the ticket.
	Finish(f Final)
}

// Slot is the right to run one attempt on one upstream.
type Slot interface {
	Upstream() upstream.Upstream
	// Deadline is when this attempt must have ended.
	Deadline() time.Time
	// Done ends the slot and teaches the policy. Further calls do nothing.
	Done(o Outcome)
}
