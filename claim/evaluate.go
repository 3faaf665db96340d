package claim

// claimResult is how a shard's table answers a request for a claim.
type claimResult uint8

const (
	// resultGrant requires that the new entry is durable before the reply.
	resultGrant claimResult = iota
	// resultAlreadyGranted: the same attempt already holds the claim.
	resultAlreadyGranted
	// resultRunning: another attempt holds the claim.
	resultRunning
	resultDone
	// resultLost: the claim has no outcome, and its holder is no longer recorded.
	resultLost
	resultMismatch
	resultExpired
	// resultFull: the shard has no room for another opaque key.
	resultFull
)

// claimOp is a request for a claim.
type claimOp struct {
	key     keyID
	digest  shortDigest
	keyTime int64
	holder  claimHolder
	// disowned is an attempt that its holder said it does not know. A claim
	// that this attempt holds may be granted to another.
	disowned attemptID
}

// settleOp ends a claim: with an outcome, or with a release if outcome is nil.
type settleOp struct {
	key     keyID
	attempt attemptID
	outcome *Outcome
}

// lookup returns the newest entry of a key, or nil.
type lookup func(keyID) *entry

// evaluateClaim decides on a claim without changing the table. For resultGrant,
// the caller must make claimedEntry's entry durable before it replies.
//
// A claim that a disowned attempt holds may be granted again. The attempt's holder
// has either given the attempt up before it sent anything upstream, or made the
// outcome durable in the log. An outcome that this owner wrote is in the table, so
// the key is done; after one that another owner wrote, the append of the new
// grant fails.
func (t *table) evaluateClaim(op claimOp, find lookup) (claimResult, *entry) {
	if op.keyTime != 0 && op.keyTime < t.horizon {
		return resultExpired, nil
	}
	e := find(op.key)
	if e == nil {
		if op.keyTime == 0 && t.opaqueCount >= t.maxOpaque {
			return resultFull, nil
		}
		return resultGrant, nil
	}
	if e.State == stateReleased {
		return resultGrant, nil
	}
	if e.Digest != op.digest {
		return resultMismatch, nil
	}
	if e.State == stateDone {
		return resultDone, e
	}
	return evaluateHeldClaim(op, e)
}

func evaluateHeldClaim(op claimOp, e *entry) (claimResult, *entry) {
	switch {
	case e.Holder == nil:
		return resultLost, e
	case e.heldBy(op.holder.Attempt):
		return resultAlreadyGranted, e
	case e.heldBy(op.disowned):
		return resultGrant, nil
	}
	return resultRunning, e
}

// claimedEntry returns the entry that grants op.
func claimedEntry(op claimOp) *entry {
	h := op.holder
	return &entry{Key: op.key, State: stateClaimed, Digest: op.digest, KeyTime: op.keyTime, Holder: &h}
}

// settledEntry returns the entry that ends a claim, or nil if there is nothing to
// write: the claim is settled already or belongs to another attempt. A sealed
// claim, whose holder is not recorded, can end with an outcome but is never
// released.
func settledEntry(op settleOp, find lookup) *entry {
	e := find(op.key)
	if e == nil || e.State != stateClaimed {
		return nil
	}
	if e.Holder != nil && e.Holder.Attempt != op.attempt {
		return nil
	}
	if e.Holder == nil && op.outcome == nil {
		return nil
	}
	settled := *e
	if op.outcome == nil {
		settled.State = stateReleased
		settled.Holder = nil
		return &settled
	}
	settled.State = stateDone
	settled.Outcome = op.outcome
	return &settled
}

// evaluation is the table's answer to an operation.
type evaluation struct {
	answer reply
	// newEntry must be durable before the answer is sent; nil if there is none.
	newEntry *entry
	// barrier says that a record, even an empty one, must be written before the
	// answer is sent. The write proves that the table was up to date with the
	// log; the answer holds only then.
	barrier bool
}

func (t *table) evaluate(op *pendingOp, find lookup) evaluation {
	if op.settle != nil {
		return evaluateSettle(*op.settle, find)
	}
	r, e := t.evaluateClaim(*op.claim, find)
	if r == resultGrant {
		return evaluation{answer: reply{Code: codeGranted}, newEntry: claimedEntry(*op.claim)}
	}
	// Another owner may since have released a key that is not done and granted
	// it to another request.
	mayHaveChanged := r == resultMismatch && find(op.claim.key).State != stateDone
	return evaluation{answer: replyFor(r, e), barrier: mayHaveChanged}
}

// evaluateSettle acknowledges an outcome only when it is durable. If the table
// has no matching claim, it may be behind the log; the barrier detects that. A
// release needs no barrier: its holder never runs the attempt, so any owner may
// acknowledge it.
func evaluateSettle(op settleOp, find lookup) evaluation {
	ev := evaluation{answer: reply{Code: codeSettled}, newEntry: settledEntry(op, find)}
	e := find(op.key)
	ended := e != nil && e.State == stateDone
	ev.barrier = ev.newEntry == nil && op.outcome != nil && !ended
	return ev
}
