package claim

import (
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// The calls between hosts.
const (
	methodClaim  link.Method = "claim.Claim"
	methodSettle link.Method = "claim.Settle"
	methodJoin   link.Method = "claim.Join"
	methodProbe  link.Method = "claim.Probe"
)

// code is how an owner answers.
type code uint8

const (
	// codeUnavailable: this host can't decide now; another may.
	codeUnavailable code = iota
	// codeRedirect: another host owns the shard.
	codeRedirect
	codeGranted
	codeRunning
	codeDone
	codeLost
	codeMismatch
	codeExpired
	codeFull
	codeSettled
)

// claimRequest asks a shard's owner for a claim.
type claimRequest struct {
	// Shards is the sender's number of shards, which must be the owner's.
	Shards   int         `cbor:"1,keyasint"`
	Key      keyID       `cbor:"2,keyasint"`
	Digest   shortDigest `cbor:"3,keyasint"`
	Seconds  int64       `cbor:"4,keyasint"`
	Hold     hold        `cbor:"5,keyasint"`
	Disowned attemptID   `cbor:"6,keyasint"`
	// Relay asks the peer to pass the request on, as the sender can't reach
	// the owner.
	Relay bool `cbor:"7,keyasint,omitempty"`
}

func (r claimRequest) op() *claimOp {
	return &claimOp{key: r.Key, digest: r.Digest, seconds: r.Seconds, hold: r.Hold, disowned: r.Disowned}
}

// settleRequest ends a claim; without an outcome it is released.
type settleRequest struct {
	Shards  int       `cbor:"1,keyasint"`
	Key     keyID     `cbor:"2,keyasint"`
	Attempt attemptID `cbor:"3,keyasint"`
	Outcome *Outcome  `cbor:"4,keyasint"`
	Relay   bool      `cbor:"5,keyasint,omitempty"`
}

func (r settleRequest) op() *settleOp {
	return &settleOp{key: r.Key, attempt: r.Attempt, outcome: r.Outcome}
}

// reply is an owner's answer to both.
type reply struct {
	Code code `cbor:"1,keyasint"`
	// Owner is set with codeRedirect.
	Owner process `cbor:"2,keyasint"`
	// Held is set with codeRunning.
	Held    *hold    `cbor:"3,keyasint"`
	Outcome *Outcome `cbor:"4,keyasint"`
}

// joinRequest asks a holder for the outcome of its attempt.
type joinRequest struct {
	Holder  host.ID       `cbor:"1,keyasint"`
	Attempt attemptID     `cbor:"2,keyasint"`
	Wait    time.Duration `cbor:"3,keyasint"`
}

// joinReply is the holder's answer. A process that stands at the holder's
// address and is not the holder says so with Stranger.
type joinReply struct {
	Stranger bool     `cbor:"1,keyasint,omitempty"`
	Known    bool     `cbor:"2,keyasint,omitempty"`
	Outcome  *Outcome `cbor:"3,keyasint"`
}

// probeRequest asks whether a shard's recorded owner still serves it.
type probeRequest struct {
	Owner host.ID `cbor:"1,keyasint"`
	Shard int     `cbor:"2,keyasint"`
}

type probeReply struct {
	Willing bool `cbor:"1,keyasint"`
}

func ruled(r ruling, e *entry) reply {
	switch r {
	case rulingGrant, rulingGranted:
		return reply{Code: codeGranted}
	case rulingRunning:
		return reply{Code: codeRunning, Held: e.Hold}
	case rulingDone:
		return reply{Code: codeDone, Outcome: e.Outcome}
	case rulingLost:
		return reply{Code: codeLost}
	case rulingMismatch:
		return reply{Code: codeMismatch}
	case rulingExpired:
		return reply{Code: codeExpired}
	}
	return reply{Code: codeFull}
}
