// Package dispatch runs the policy on a live host: it admits requests, makes them
// wait in queues, and grants slots on upstreams. Package policy makes the
// decisions; it does no I/O and reads no clock.
package dispatch

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/policy"
	"github.com/galenaseam/galenaseam/upstream"
)

// Types of package policy that callers of this package use.
type (
	// StageNeed describes one stage of a request.
	StageNeed = policy.StageNeed
	// Arrival describes a request that asks for admission.
	Arrival = policy.Arrival
	// Cause is the reason for a refusal, as metrics and callers see it.
	Cause = policy.Cause
	// Refusal is the error of Admit and Acquire when the policy refuses.
	Refusal = policy.Refusal
	// Failure is how an attempt failed.
	Failure = policy.Failure
	// Outcome is the result of one attempt.
	Outcome = policy.Outcome
	// Result is the result of a whole request.
	Result = policy.Result
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

// The ways in which an attempt ends.
const (
	Succeeded         = policy.Succeeded
	NotSent           = policy.NotSent
	RefusedByUpstream = policy.RefusedByUpstream
	UpstreamError     = policy.UpstreamError
	ConnectionLost    = policy.ConnectionLost
	TimedOut          = policy.TimedOut
	WrongAnswer       = policy.WrongAnswer
	Cancelled         = policy.Cancelled
	InvalidRequest    = policy.InvalidRequest
)

// Dispatcher admits requests. Implementations must be safe for concurrent use.
type Dispatcher interface {
	// Admit decides whether a request may run at all. The error is a *Refusal,
	// or ctx's error. Finish must be called on every ticket.
	Admit(ctx context.Context, a Arrival) (Ticket, error)
}

// Ticket is an admitted request.
type Ticket interface {
	// Acquire waits in the stage's queue for a slot on an upstream that is not
	// in avoid. The error is a *Refusal, or ctx's error. hedgeOf is nil unless
	// the attempt is a hedge: then it is the slot of the slow attempt, and
	// Acquire fails without waiting if no budget or upstream is available.
	Acquire(ctx context.Context, stage int, avoid []upstream.ID, hedgeOf Slot) (Slot, error)
	// MayRetry reports whether the stage may be retried after a failure, and
	// how long to wait first. A retry that it allows uses up retry budget.
	MayRetry(stage int, failure Failure) (wait time.Duration, ok bool)
	// HedgeDelay returns how long to wait for an attempt before hedging it.
	// ok is false if the attempt must not be hedged.
	HedgeDelay(stage int) (delay time.Duration, ok bool)
	// Fallback reports whether to use the stage's declared fallback now. If it
	// does and the fallback names a stage, further calls with this index use
	// that stage's pool.
	Fallback(stage int) bool
	// Finish ends the ticket.
	Finish(f Result)
}

// Slot is the permission to run one attempt on one upstream.
type Slot interface {
	Upstream() upstream.Upstream
	// Deadline is the time by which the attempt must end.
	Deadline() time.Time
	// Done releases the slot and reports the outcome to the policy. Further
	// calls do nothing.
	Done(o Outcome)
}
