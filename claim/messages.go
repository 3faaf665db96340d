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

// replyCode is the kind of an owner's reply.
type replyCode uint8

const (
	// codeUnavailable: this host can't decide now; another host may be able to.
	codeUnavailable replyCode = iota
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
	// Shards is the sender's number of shards; it must equal the receiver's.
	Shards  int         `cbor:"1,keyasint"`
	Key     keyID       `cbor:"2,keyasint"`
	Digest  shortDigest `cbor:"3,keyasint"`
	KeyTime int64       `cbor:"4,keyasint"`
	Holder  claimHolder `cbor:"5,keyasint"`
	// Disowned is an attempt that its holder said it does not know; zero if none.
	Disowned attemptID `cbor:"6,keyasint"`
	// Relay asks the receiver to forward the request to the owner, which the
	// sender can't reach.
	Relay bool `cbor:"7,keyasint,omitempty"`
}

func (r claimRequest) op() *claimOp {
	return &claimOp{key: r.Key, digest: r.Digest, keyTime: r.KeyTime, holder: r.Holder, disowned: r.Disowned}
}

// settleRequest ends a claim. Without an outcome it releases the claim.
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

// reply is an owner's answer to a claimRequest or settleRequest.
type reply struct {
	Code replyCode `cbor:"1,keyasint"`
	// Owner is set with codeRedirect.
	Owner process `cbor:"2,keyasint"`
	// Holder is set with codeRunning.
	Holder  *claimHolder `cbor:"3,keyasint"`
	Outcome *Outcome     `cbor:"4,keyasint"`
}

// joinRequest asks a claim's holder for the outcome of its attempt.
type joinRequest struct {
	Holder  host.ID       `cbor:"1,keyasint"`
	Attempt attemptID     `cbor:"2,keyasint"`
	Wait    time.Duration `cbor:"3,keyasint"`
}

// joinReply is the answer to a joinRequest. A process that has the holder's
// address but another host ID sets WrongProcess. Known without an Outcome means
// that the attempt is still running.
type joinReply struct {
	WrongProcess bool     `cbor:"1,keyasint,omitempty"`
	Known        bool     `cbor:"2,keyasint,omitempty"`
	Outcome      *Outcome `cbor:"3,keyasint"`
}

// probeRequest asks whether the recorded owner of a shard still serves it.
type probeRequest struct {
	Owner host.ID `cbor:"1,keyasint"`
	Shard int     `cbor:"2,keyasint"`
}

type probeReply struct {
	Serving bool `cbor:"1,keyasint"`
}

func replyFor(r claimResult, e *entry) reply {
	switch r {
	case resultGrant, resultAlreadyGranted:
		return reply{Code: codeGranted}
	case resultRunning:
		return reply{Code: codeRunning, Holder: e.Holder}
	case resultDone:
		return reply{Code: codeDone, Outcome: e.Outcome}
	case resultLost:
		return reply{Code: codeLost}
	case resultMismatch:
		return reply{Code: codeMismatch}
	case resultExpired:
		return reply{Code: codeExpired}
	}
	return reply{Code: codeFull}
}
