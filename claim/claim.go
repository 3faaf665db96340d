package claim

import "time"

// Key names a non-idempotent request. Keys of two workspaces or two services
// never meet.
type Key struct {
	Workspace      string
	Service        string
	IdempotencyKey string
}

// Digest is a digest of the whole request that a key is bound to.
type Digest [32]byte

// RanState says whether a request ran.
type RanState uint8

// The states of a request's run.
const (
	RanYes RanState = iota
	RanNo
	RanUnknown
)

// String returns the word that callers see.
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
	// Truncated says that the body is no longer held.
	Truncated bool     `cbor:"4,keyasint,omitempty"`
	Ran       RanState `cbor:"5,keyasint,omitempty"`
}

// Verdict is what Begin decided.
type Verdict uint8

// The verdicts.
const (
	// Run: the request is claimed; the caller of Begin must run it and end
	// the grant.
	Run Verdict = iota
	// Replay: the request ran; Outcome holds its whole answer.
	Replay
	// AlreadyRan: the request ran; its answer is no longer held.
	AlreadyRan
	// Unknown: the request may have run; its host died or cannot be reached.
	Unknown
	// Mismatch: the key was used for another request. Nothing ran.
	Mismatch
	// Unavailable: the request could not be claimed in time. Nothing ran.
	Unavailable
	// Expired: the key is older than the retention. Nothing ran now; whether
	// it ran before is no longer known.
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

// Decision is the answer to Begin.
type Decision struct {
	Verdict Verdict
	// Grant is set with the verdict Run only.
	Grant *Grant
	// Outcome is set with Replay and, but for the body, with AlreadyRan.
	Outcome Outcome
	// RetryAfter tells the caller when to come back; zero means not known.
	RetryAfter time.Duration
}
