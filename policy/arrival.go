package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
)

// StageNeed describes one stage that a request goes through.
type StageNeed struct {
	Name      string
	Pool      string
	Kind      document.Kind
	Model     string
	Typical   time.Duration
	MaxTokens int
	Fallback  *document.Fallback
}

// Arrival describes a request that a host received and has not admitted yet.
type Arrival struct {
	RequestID  string
	Workspace  string
	Class      document.Class
	Pipeline   string
	Service    string
	Stages     []StageNeed
	Idempotent bool
	// InputTokens is estimated from the length of the input.
	InputTokens int
	// Prefix holds digests of prefixes of the prompt, from the shortest to the
	// longest.
	Prefix   []uint64
	Deadline time.Time
	// Document is the configuration generation that applies to the whole
	// request.
	Document *document.Document
}

// Cause is the reason for a refusal, as shown to callers and in metrics.
type Cause string

// The causes of a refusal.
const (
	CauseLimit       Cause = "limit"        // the workspace's limit is used up
	CauseInfeasible  Cause = "infeasible"   // the deadline can't be met even without waiting
	CauseOverload    Cause = "overload"     // the queue is full or the expected wait too long
	CauseNoUpstream  Cause = "no_upstream"  // no live upstream in a pool
	CauseDeadline    Cause = "deadline"     // the call can't start in time, or gave way to calls that can
	CauseRetryBudget Cause = "retry_budget" // no budget for another attempt
	CauseDraining    Cause = "draining"     // the host is shutting down
)

// CauseCallerGone appears in explanations only: the caller disconnected while
// its call was queued.
const CauseCallerGone Cause = "gone"

// Refusal is the error returned when the policy refuses a request or one of its
// calls.
type Refusal struct {
	Cause Cause
	// Stage is the stage that caused the refusal. It is empty when the request
	// is refused for a workspace limit or because the host drains.
	Stage string
	// RetryAfter is the suggested wait before the caller retries; zero if
	// unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "dispatch: refused: " + string(r.Cause) }

// Failure is how an attempt ended: Succeeded or a kind of failure.
type Failure uint8

// The ways an attempt can end.
const (
	// Succeeded: the answer arrived whole and passed the checks.
	Succeeded Failure = iota
	// NotSent: the connection was refused; nothing ran.
	NotSent
	// RefusedByUpstream: the upstream said that it did not run the call.
	RefusedByUpstream
	// UpstreamError: the upstream ran the call and failed.
	UpstreamError
	// ConnectionLost: the connection broke after the call was sent; the
	// upstream may or may not have run it.
	ConnectionLost
	// TimedOut: the answer was not complete in time.
	TimedOut
	// WrongAnswer: the answer was incomplete, malformed or too large, or
	// belonged to another call.
	WrongAnswer
	// Cancelled: the host cancelled the attempt, for example because another
	// copy of a hedged call won.
	Cancelled
	// InvalidRequest: the upstream rejected the request as malformed.
	InvalidRequest
)

// String returns the name used in logs and explanations.
func (f Failure) String() string {
	names := [...]string{
		"succeeded", "not_sent", "refused_by_upstream", "upstream_error", "broken_off",
		"timed_out", "wrong_answer", "cancelled", "caller_fault",
	}
	if int(f) < len(names) {
		return names[f]
	}
	return "unknown"
}

// mayHaveRun reports whether the upstream may have run the attempt.
func (f Failure) mayHaveRun() bool { return f != NotSent && f != RefusedByUpstream }

// blamesUpstream reports whether the failure counts against the upstream.
func (f Failure) blamesUpstream() bool {
	switch f {
	case NotSent, RefusedByUpstream, UpstreamError, ConnectionLost, TimedOut, WrongAnswer:
		return true
	case Succeeded, Cancelled, InvalidRequest:
	}
	return false
}

// Outcome is the result of one attempt.
type Outcome struct {
	Failure      Failure
	InputTokens  int
	OutputTokens int
	// CachedTokens is the number of input tokens that the engine had cached.
	CachedTokens int
	// FirstToken is the time to the first token; zero for stages that don't
	// generate.
	FirstToken time.Duration
}

// Result is how a whole request ended.
type Result struct {
	// Complete is set when the caller got the complete answer.
	Complete bool
	// InTime is set when the answer was complete before the deadline.
	InTime bool
}
