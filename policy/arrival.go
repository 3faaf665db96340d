package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
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

// CauseGone notes in explanations that the caller went away while waiting.
const CauseGone Cause = "gone"

// Refusal is the error that the policy's no becomes.
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

// String names the failure for logs and explanations.
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

// ran reports whether the attempt may have run on the upstream.
func (f Failure) ran() bool { return f != NotSent && f != RefusedByUpstream }

// blamesUpstream reports whether the failure counts against the upstream.
func (f Failure) blamesUpstream() bool {
	switch f {
	case NotSent, RefusedByUpstream, UpstreamError, BrokenOff, TimedOut, WrongAnswer:
		return true
	case Succeeded, Cancelled, CallerFault:
	}
	return false
}

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
