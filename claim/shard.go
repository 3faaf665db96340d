package claim

import (
	"context"
	"sync"
	"time"
)

// waiting is one operation in a shard's queue: a claim or a settlement.
type waiting struct {
	ctx     context.Context
	claim   *claimOp
	settle  *settleOp
	arrived time.Time
	answer  chan reply
}

func (w *waiting) reply(r reply) { w.answer <- r }

// batch is one record on its way into the log, and who waits for it.
type batch struct {
	record  record
	waiters []*waiting
	replies []reply
}

// shard is one part of the key space as this host sees it. Its worker is the
// only one that uses log and inFlight; mu guards what handlers share with it.
type shard struct {
	service *Service
	index   int
	wake    chan struct{}

	// The worker's own.
	log       shardLog
	inFlight  *batch
	lastWrite time.Time
	tenure    tenure
	handoff   handoff
	looked    time.Time

	mu sync.Mutex // guards all below
	// table is nil unless this host owns the shard as far as it knows.
	table *table
	queue []*waiting
	// owner is the other host that was last found to own the shard.
	owner      process
	ownerKnown time.Time
	// failures counts calls on the store that failed in a row.
	failures  int
	downUntil time.Time
	vacate    bool
}

// ownerFresh is how long a redirect is given without asking the store again.
const ownerFresh = time.Second

// failuresToRefuse is how many failures in a row make claims be refused at
// once, until the next try.
const failuresToRefuse = 2

func newShard(s *Service, index int) *shard {
	cfg := s.cfg
	sh := &shard{
		service: s,
		index:   index,
		wake:    make(chan struct{}, 1),
		tenure:  tenure{first: cfg.Settings.MinTenure, last: cfg.Settings.MaxTenure},
		log: shardLog{
			store:        cfg.Store,
			shard:        index,
			timeout:      cfg.Settings.StoreTimeout,
			segmentBytes: cfg.Settings.SegmentBytes,
			maxSegments:  cfg.Settings.MaxSegments,
			maxOpaque:    cfg.Settings.MaxOpaqueKeys,
			newID:        s.newID,
		},
	}
	sh.log.tableMu = &sh.mu
	return sh
}

// submit answers an operation, at once when the table shows a durable fact
// that answers it, and else after the worker has made the answer durable.
func (sh *shard) submit(ctx context.Context, w *waiting) reply {
	w.ctx = ctx
	w.arrived = time.Now()
	w.answer = make(chan reply, 1)
	if r, ok := sh.enqueue(w); ok {
		return r
	}
	select {
	case sh.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-w.answer:
		return r
	case <-ctx.Done():
		return reply{Code: codeUnavailable}
	}
}

// enqueue returns an answer if there is one already, and else queues w.
func (sh *shard) enqueue(w *waiting) (reply, bool) {
	if !sh.service.serving() {
		return reply{Code: codeUnavailable}, true
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if r, ok := sh.answerDurable(w); ok {
		return r, true
	}
	now := time.Now()
	if sh.table == nil && now.Sub(sh.ownerKnown) < ownerFresh {
		return reply{Code: codeRedirect, Owner: sh.owner}, true
	}
	if w.claim != nil && sh.refusing(now) {
		return reply{Code: codeUnavailable}, true
	}
	sh.queue = append(sh.queue, w)
	return reply{}, false
}

// refusing says whether the store has failed so often that claims are refused
// without trying. mu must be held.
func (sh *shard) refusing(now time.Time) bool {
	return sh.failures >= failuresToRefuse && now.Before(sh.downUntil)
}

// answerDurable answers from what is durable, for facts that stay true whoever
// owns the shard now. mu must be held.
func (sh *shard) answerDurable(w *waiting) (reply, bool) {
	if sh.table == nil {
		return reply{}, false
	}
	c := sh.table.consider(w, sh.table.get)
	return c.answer, c.written == nil && !c.barrier
}

// takeQueue empties the queue.
func (sh *shard) takeQueue() []*waiting {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	taken := sh.queue
	sh.queue = nil
	return taken
}

// owned says whether this host owns the shard as far as it knows.
func (sh *shard) owned() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.table != nil
}

// willing says whether this host would serve the shard if asked.
func (sh *shard) willing() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.failures < failuresToRefuse && !sh.vacate
}

// dueAt returns when the next write is due, if anything waits.
func (sh *shard) dueAt() (time.Time, bool) {
	settings := sh.service.cfg.Settings
	sh.mu.Lock()
	defer sh.mu.Unlock()
	earliest := sh.lastWrite.Add(settings.BatchWindow)
	if sh.downUntil.After(earliest) {
		earliest = sh.downUntil
	}
	if sh.vacate && sh.table != nil {
		return time.Time{}, true
	}
	if sh.inFlight != nil {
		return earliest, true
	}
	if len(sh.queue) == 0 {
		return time.Time{}, false
	}
	delayed := sh.queue[0].arrived.Add(settings.OutcomeDelay)
	for _, w := range sh.queue {
		if w.claim != nil {
			return earliest, true
		}
	}
	if delayed.After(earliest) {
		return delayed, true
	}
	return earliest, true
}
