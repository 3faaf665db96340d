package claim

// ruling is what a shard's table says to a request for a claim.
type ruling uint8

const (
	// rulingGrant needs a write before it may be told.
	rulingGrant ruling = iota
	rulingGranted
	rulingRunning
	rulingDone
	rulingLost
	rulingMismatch
	rulingExpired
	rulingFull
)

// claimOp asks for a claim.
type claimOp struct {
	key     keyID
	digest  shortDigest
	seconds int64
	hold    hold
	// disowned is an attempt whose holder said that it does not know it.
	disowned attemptID
}

// settleOp ends a claim: with an outcome, or by release when outcome is nil.
type settleOp struct {
	key     keyID
	attempt attemptID
	outcome *Outcome
}

// lookup finds the newest entry of a key, or nil.
type lookup func(keyID) *entry

// ruleClaim decides on a claim. Only rulingGrant changes the table: the caller
// must make claimed's entry durable before it tells anyone.
//
// A holder that lives and does not know its attempt has given it up before
// dispatch, or its outcome is already in the log. The second is excluded when
// the entry is still claimed in the log that the fenced write extends.
func (t *table) ruleClaim(op claimOp, find lookup) (ruling, *entry) {
	if op.seconds != 0 && op.seconds < t.horizon {
		return rulingExpired, nil
	}
	e := find(op.key)
	if e == nil {
		if op.seconds == 0 && t.opaqueCount >= t.maxOpaque {
			return rulingFull, nil
		}
		return rulingGrant, nil
	}
	if e.State == stateReleased {
		return rulingGrant, nil
	}
	if e.Digest != op.digest {
		return rulingMismatch, nil
	}
	if e.State == stateDone {
		return rulingDone, e
	}
	return ruleClaimed(op, e)
}

func ruleClaimed(op claimOp, e *entry) (ruling, *entry) {
	switch {
	case e.Hold == nil:
		return rulingLost, e
	case e.heldBy(op.hold.Attempt):
		return rulingGranted, e
	case e.heldBy(op.disowned):
		return rulingGrant, nil
	}
	return rulingRunning, e
}

// claimed is the entry that grants op.
func claimed(op claimOp) *entry {
	h := op.hold
	return &entry{Key: op.key, State: stateClaimed, Digest: op.digest, Seconds: op.seconds, Hold: &h}
}

// ruleSettle returns the entry that ends a claim, or nil when there is nothing
// to write: the claim was settled before, or is another attempt's.
func ruleSettle(op settleOp, find lookup) *entry {
	e := find(op.key)
	if e == nil || e.State != stateClaimed {
		return nil
	}
	if e.Hold != nil && e.Hold.Attempt != op.attempt {
		return nil
	}
	if e.Hold == nil && op.outcome == nil {
		return nil
	}
	settled := *e
	if op.outcome == nil {
		settled.State = stateReleased
		settled.Hold = nil
		return &settled
	}
	settled.State = stateDone
	settled.Outcome = op.outcome
	return &settled
}
