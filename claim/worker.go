package claim

import (
	"context"
	"errors"
	"time"
)

// housekeeping is how often a shard looks at the list of hosts.
const housekeeping = time.Second

// run is the shard's worker. It ends with ctx.
func (sh *shard) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		due, any := sh.dueAt()
		wait := housekeeping
		if any {
			wait = time.Until(due)
		}
		timer.Reset(max(wait, 0))
		select {
		case <-ctx.Done():
		case <-sh.wake:
		case <-timer.C:
			sh.turn(ctx, any)
		}
	}
	sh.answerAll(reply{Code: codeUnavailable})
}

func (sh *shard) turn(ctx context.Context, due bool) {
	if sh.vacating() {
		sh.giveUp(ctx)
		return
	}
	if due {
		sh.serve(ctx)
	}
	if time.Since(sh.looked) >= housekeeping {
		sh.looked = time.Now()
		sh.considerHandoff(ctx)
	}
}

// serve commits one batch, after taking the shard over if need be.
func (sh *shard) serve(ctx context.Context) {
	if !sh.owned() {
		if refused, err := sh.acquire(ctx); err != nil {
			sh.answerAll(refused)
			return
		}
	}
	if err := sh.makeRoom(ctx); err != nil {
		sh.failed(err)
		return
	}
	if sh.inFlight == nil {
		sh.inFlight = sh.build()
	}
	if sh.inFlight == nil {
		return
	}
	sh.commit(ctx)
}

// build makes the next batch of what waits. Operations that need no write are
// answered; nil means that none is left.
func (sh *shard) build() *batch {
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
	for _, w := range sh.queue {
		if size >= sh.service.cfg.Settings.MaxBatchBytes {
			break
		}
		taken++
		if w.ctx.Err() != nil {
			continue
		}
		c := sh.table.consider(w, find)
		if c.written == nil && !c.barrier && len(changed) == 0 {
			w.reply(c.answer)
			continue
		}
		b.waiters = append(b.waiters, w)
		b.replies = append(b.replies, c.answer)
		if c.written != nil {
			changed[c.written.Key] = c.written
			b.record.Entries = append(b.record.Entries, *c.written)
			size += c.written.sizeBound()
		}
	}
	sh.queue = append([]*waiting(nil), sh.queue[taken:]...)
	if len(b.waiters) == 0 {
		return nil
	}
	b.record.Seq = sh.log.last + 1
	b.record.Epoch = sh.log.head.Epoch
	b.record.Batch = sh.service.newID()
	return b
}

// commit writes the batch in flight. The batch stays in flight, unchanged,
// until it is known to be in the log or to be shut out of it for ever.
func (sh *shard) commit(ctx context.Context) {
	b := sh.inFlight
	started := time.Now()
	sh.lastWrite = started
	err := sh.log.append(ctx, &b.record)
	if err != nil {
		sh.failed(err)
		return
	}
	sh.service.metrics.committed(len(b.record.Entries), time.Since(started))
	sh.inFlight = nil
	sh.mu.Lock()
	for i := range b.record.Entries {
		sh.table.apply(&b.record.Entries[i])
	}
	sh.failures = 0
	sh.mu.Unlock()
	for i, w := range b.waiters {
		w.reply(b.replies[i])
	}
}

// The firstBackoff doubles with every failure up to lastBackoff.
const (
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// failed takes note of a failed call on the store.
func (sh *shard) failed(err error) {
	if errors.Is(err, errDeposed) {
		sh.lose()
		return
	}
	sh.service.metrics.storeErrors.Inc()
	sh.service.cfg.Logger.Warn("claim store call failed", "shard", sh.index, "error", err)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.failures++
	backoff := firstBackoff << min(sh.failures-1, 10)
	backoff = min(backoff, lastBackoff)
	sh.downUntil = time.Now().Add(sh.service.jitter(backoff))
}

// lose gives the shard up after another host has taken it. Those who wait ask
// the new owner; a batch that landed is in its table.
func (sh *shard) lose() {
	sh.service.metrics.losses.Inc()
	sh.service.cfg.Logger.Info("claim shard lost", "shard", sh.index, "epoch", sh.log.head.Epoch)
	sh.tenure.lost(time.Now())
	sh.forget()
	sh.answerAll(reply{Code: codeUnavailable})
}

func (sh *shard) forget() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.table = nil
	sh.ownerKnown = time.Time{}
	sh.log.pending = nil
}

// answerAll answers all who wait for a batch or in the queue.
func (sh *shard) answerAll(r reply) {
	if sh.inFlight != nil {
		for _, w := range sh.inFlight.waiters {
			w.reply(r)
		}
		sh.inFlight = nil
	}
	for _, w := range sh.takeQueue() {
		w.reply(r)
	}
}
