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

// considered is what a table says to an operation.
type considered struct {
	answer reply
	// written is the entry that must be durable before the answer is given.
	written *entry
	// barrier says that a record must be written before the answer is given,
	// though it has no entry: the answer is true only of a table that is not
	// older than the log.
	barrier bool
}

func (t *table) consider(w *waiting, find lookup) considered {
	if w.settle != nil {
		return considerSettle(*w.settle, find)
	}
	r, e := t.ruleClaim(*w.claim, find)
	if r == rulingGrant {
		return considered{answer: reply{Code: codeGranted}, written: claimed(*w.claim)}
	}
	// A key that is not done may have been released and used again since.
	open := r == rulingMismatch && find(w.claim.key).State != stateDone
	return considered{answer: ruled(r, e), barrier: open}
}

// considerSettle acknowledges an outcome only when it is durable. A table that
// does not know of the claim is behind the log, which the barrier shows. A
// release needs none: its holder never runs the attempt, whoever is told.
func considerSettle(op settleOp, find lookup) considered {
	c := considered{answer: reply{Code: codeSettled}, written: ruleSettle(op, find)}
	e := find(op.key)
	ended := e != nil && e.State == stateDone
	c.barrier = c.written == nil && op.outcome != nil && !ended
	return c
}
