package claim

import "time"

// Key names a non-idempotent request. Equal idempotency keys of two workspaces or
// two services are different Keys.
type Key struct {
	Workspace      string
	Service        string
	IdempotencyKey string
}

// Digest is the hash of the whole request. A key is bound to one digest.
type Digest [32]byte

// RanState says whether a request ran.
type RanState uint8

// The states of a request's run.
const (
	RanYes RanState = iota
	RanNo
	RanUnknown
)

// String returns the value that callers see.
func (r RanState) String() string {
	switch r {
	case RanYes:
		return "yes"
	case RanNo:
		return "no"
	}
	return "unknown"
}

// Outcome is how a claimed request ended.
type Outcome struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Truncated says that the body is not stored any more or was too large to store.
	Truncated bool     `cbor:"4,keyasint,omitempty"`
	Ran       RanState `cbor:"5,keyasint,omitempty"`
}

// Verdict is what Begin decided.
type Verdict uint8

// The verdicts.
const (
	// Run: the request is claimed. The caller of Begin must run it and then
	// call Finish or Release on the grant.
	Run Verdict = iota
	// Replay: the request ran; Outcome holds its whole answer.
	Replay
	// AlreadyRan: the request ran; the body of its answer is not stored.
	AlreadyRan
	// Unknown: the request may have run. Its host died or cannot be reached, or
	// its recorded outcome is RanUnknown.
	Unknown
	// Mismatch: the key was used for another request. Nothing ran.
	Mismatch
	// Unavailable: the request could not be claimed in time, or its shard has no
	// room for another opaque key. Nothing ran.
	Unavailable
	// Expired: the key is older than the retention. Nothing ran now; whether
	// the request ran before is no longer known.
	Expired
)

// String returns the lower-case name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"run", "replay", "already_ran", "unknown", "mismatch", "unavailable", "expired"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	// Grant is set only with the verdict Run.
	Grant *Grant
	// Outcome is set with Replay, and without its body with AlreadyRan. With
	// Unknown it is set if an outcome was recorded.
	Outcome Outcome
	// RetryAfter is the delay after which the caller may retry; zero means that
	// none is suggested.
	RetryAfter time.Duration
}
