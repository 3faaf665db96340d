// Package dispatch runs the policy on a live host: it admits requests, holds
// the queues, and hands out slots on upstreams. The decisions themselves are
// made by package policy, which does no I/O and has no clock.
package dispatch

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
)

// StageNeed is one stage that a request will go through.
type StageNeed struct {
	Name      string
	Pool      string
	Kind      document.Kind
	Model     string
	Typical   time.Duration
	MaxTokens int
	Fallback  *document.Fallback
}

// Arrival is a request as it stands at a host's door.
type Arrival struct {
	RequestID  string
	Workspace  string
	Class      document.Class
	Pipeline   string
	Service    string
	Stages     []StageNeed
	Idempotent bool
	// InputTokens is an estimate from the length of the input.
	InputTokens int
	// Prefix is the digests of growing prefixes of the prompt, longest last.
	Prefix   []uint64
	Deadline time.Time
	// Document is the generation that the whole request sees.
	Document *document.Document
}

// Cause is why the policy refused, in a word that metrics and callers see.
type Cause string

// The causes of a refusal.
const (
	CauseLimit       Cause = "limit"        // the workspace's limit is used up
	CauseInfeasible  Cause = "infeasible"   // the deadline can't be met
	CauseOverload    Cause = "overload"     // the queue is full
	CauseNoUpstream  Cause = "no_upstream"  // no live upstream in a pool
	CauseDeadline    Cause = "deadline"     // the deadline passed in the queue
	CauseRetryBudget Cause = "retry_budget" // no budget for another attempt
	CauseDraining    Cause = "draining"     // the host is shutting down
)

// Refusal is the error that Admit and Acquire return when the policy says no.
type Refusal struct {
	Cause Cause
	// Stage is the stage it happened at; empty at admission.
	Stage string
	// RetryAfter tells the caller when to come back; zero means not known.
	RetryAfter time.Duration
}

// Error makes a Refusal an error.
func (r *Refusal) Error() string { return "dispatch: refused: " + string(r.Cause) }

// Failure is how an attempt failed.
type Failure uint8

// The ways an attempt can end.
const (
	// Succeeded: the whole answer came and was checked.
	Succeeded Failure = iota
	// NotSent: the connection was refused; nothing ran.
	NotSent
	// RefusedByUpstream: the upstream said that it did not run the call.
	RefusedByUpstream
	// UpstreamError: the upstream ran the call and failed.
	UpstreamError
	// BrokenOff: the connection broke after sending; unknown whether it ran.
	BrokenOff
	// TimedOut: no whole answer in time.
	TimedOut
	// WrongAnswer: the answer was late, crossed, truncated or foreign.
	WrongAnswer
	// Cancelled: the host gave the attempt up, as a losing hedge for example.
	Cancelled
	// CallerFault: the upstream refused the request as malformed.
	CallerFault
)

// Outcome is what one attempt told.
type Outcome struct {
	Failure      Failure
	InputTokens  int
	OutputTokens int
	// CachedTokens is how much of the prompt the engine had cached.
	CachedTokens int
	// FirstToken is the time to the first token; zero for other stages.
	FirstToken time.Duration
}

// Final is how a whole request ended.
type Final struct {
	// Whole says that the caller got its whole answer.
	Whole bool
	// InTime says that this was before the deadline.
	InTime bool
}

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
	// Fallback says whether to take the stage's declared fallback now.
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
