package claim

import (
	"context"
	"errors"
	"time"
)

// handoffCheckInterval is how often a shard's worker checks for a handoff.
const handoffCheckInterval = time.Second

// run is the shard's worker loop. It returns when ctx ends.
func (sh *shard) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		due, hasWork := sh.nextWorkDue()
		wait := handoffCheckInterval
		if hasWork {
			wait = time.Until(due)
		}
		timer.Reset(max(wait, 0))
		select {
		case <-ctx.Done():
		case <-sh.wake:
		case <-timer.C:
			sh.step(ctx, hasWork)
		}
	}
	sh.replyAll(reply{Code: codeUnavailable})
}

func (sh *shard) step(ctx context.Context, due bool) {
	if sh.handoffDue() {
		sh.vacate(ctx)
		return
	}
	if due {
		sh.processQueue(ctx)
	}
	if time.Since(sh.lastHandoffCheck) >= handoffCheckInterval {
		sh.lastHandoffCheck = time.Now()
		sh.checkHandoff(ctx)
	}
}

// processQueue commits one batch, after taking over the shard if need be.
func (sh *shard) processQueue(ctx context.Context) {
	if !sh.owned() {
		if refused, err := sh.acquire(ctx); err != nil {
			sh.replyAll(refused)
			return
		}
	}
	if err := sh.checkpointIfNeeded(ctx); err != nil {
		sh.recordFailure(err)
		return
	}
	if sh.inFlight == nil {
		sh.inFlight = sh.buildBatch()
	}
	if sh.inFlight == nil {
		return
	}
	sh.commit(ctx)
}

// buildBatch makes the next batch from the queue. It answers operations that need
// no write at once, and returns nil if no others are left.
func (sh *shard) buildBatch() *batch {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	b := &batch{}
	changed := make(map[keyID]*entry)
	find := func(id keyID) *entry {
		if e, ok := changed[id]; ok {
			return e
		}
		return sh.table.get(id)
	}
	size, taken := 0, 0
	for _, op := range sh.queue {
		if size >= sh.service.cfg.Settings.MaxBatchBytes {
			break
		}
		taken++
		if op.ctx.Err() != nil {
			continue
		}
		ev := sh.table.evaluate(op, find)
		if ev.newEntry == nil && !ev.barrier && len(changed) == 0 {
			op.reply(ev.answer)
			continue
		}
		b.ops = append(b.ops, op)
		b.replies = append(b.replies, ev.answer)
		if ev.newEntry != nil {
			changed[ev.newEntry.Key] = ev.newEntry
			b.record.Entries = append(b.record.Entries, *ev.newEntry)
			size += ev.newEntry.maxEncodedBytes()
		}
	}
	sh.queue = append([]*pendingOp(nil), sh.queue[taken:]...)
	if len(b.ops) == 0 {
		return nil
	}
	b.record.Seq = sh.log.lastSeq + 1
	b.record.Epoch = sh.log.head.Epoch
	b.record.BatchID = sh.service.newID()
	return b
}

// commit writes the batch in flight. A batch stays in flight unchanged until it
// is known to be in the log, or known never to get there.
func (sh *shard) commit(ctx context.Context) {
	b := sh.inFlight
	started := time.Now()
	sh.lastWrite = started
	err := sh.log.append(ctx, &b.record)
	if err != nil {
		sh.recordFailure(err)
		return
	}
	sh.service.metrics.observeCommit(len(b.record.Entries), time.Since(started))
	sh.inFlight = nil
	sh.mu.Lock()
	for i := range b.record.Entries {
		sh.table.apply(&b.record.Entries[i])
	}
	sh.storeFailures = 0
	sh.mu.Unlock()
	for i, op := range b.ops {
		op.reply(b.replies[i])
	}
}

// The backoff starts at minBackoff and doubles with every failure, up to
// maxBackoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// recordFailure handles a failed call to the store: it gives the shard up after a
// takeover by another host, and otherwise sets the next retry.
func (sh *shard) recordFailure(err error) {
	if errors.Is(err, errTakenOver) {
		sh.loseOwnership()
		return
	}
	sh.service.metrics.storeErrors.Inc()
	sh.service.cfg.Logger.Warn("claim store call failed", "shard", sh.index, "error", err)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.storeFailures++
	backoff := minBackoff << min(sh.storeFailures-1, 10)
	backoff = min(backoff, maxBackoff)
	sh.storeRetryAt = time.Now().Add(sh.service.jitter(backoff))
}

// loseOwnership drops the shard's state after another host has taken the shard
// over. The waiting callers then ask the new owner; if the batch in flight was
// written after all, it is in that owner's table.
func (sh *shard) loseOwnership() {
	sh.service.metrics.losses.Inc()
	sh.service.cfg.Logger.Info("claim shard taken over by another host", "shard", sh.index, "epoch", sh.log.head.Epoch)
	sh.takeoverBackoff.recordLoss(time.Now())
	sh.clearOwnership()
	sh.replyAll(reply{Code: codeUnavailable})
}

func (sh *shard) clearOwnership() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.table = nil
	sh.ownerKnownAt = time.Time{}
	sh.log.pending = nil
}

// replyAll sends r to every operation of the batch in flight and of the queue.
func (sh *shard) replyAll(r reply) {
	if sh.inFlight != nil {
		for _, op := range sh.inFlight.ops {
			op.reply(r)
		}
		sh.inFlight = nil
	}
	for _, op := range sh.takeQueue() {
		op.reply(r)
	}
}
