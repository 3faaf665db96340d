package claim

import (
	"context"
	"sync"
	"time"
)

// pendingOp is a queued operation of a shard: a claim or a settlement.
type pendingOp struct {
	ctx       context.Context
	claim     *claimOp
	settle    *settleOp
	arrivedAt time.Time
	replyCh   chan reply
}

func (op *pendingOp) reply(r reply) { op.replyCh <- r }

// batch is a record to be written, with the operations that wait for it.
type batch struct {
	record  record
	ops     []*pendingOp
	replies []reply
}

// shard is this host's view of one part of the key space. Only the worker
// goroutine uses log and inFlight; mu guards what the worker shares with the call
// handlers.
type shard struct {
	service *Service
	index   int
	wake    chan struct{}

	// Used only by the worker.
	log              shardLog
	inFlight         *batch
	lastWrite        time.Time
	takeoverBackoff  takeoverBackoff
	handoff          handoffState
	lastHandoffCheck time.Time

	mu sync.Mutex // guards all below
	// table is nil unless this host believes that it owns the shard.
	table *table
	queue []*pendingOp
	// owner is the last known owner of the shard other than this host.
	owner        process
	ownerKnownAt time.Time
	// storeFailures counts consecutive failed calls to the store.
	storeFailures    int
	storeRetryAt     time.Time
	handoffRequested bool
}

// redirectTTL is how long redirects use a known owner before this host reads the
// head from the store again.
const redirectTTL = time.Second

// maxStoreFailures is the number of consecutive store failures after which claims
// are refused at once until the next retry is due.
const maxStoreFailures = 2

func newShard(s *Service, index int) *shard {
	cfg := s.cfg
	sh := &shard{
		service:         s,
		index:           index,
		wake:            make(chan struct{}, 1),
		takeoverBackoff: takeoverBackoff{minDelay: cfg.Settings.MinTakeoverBackoff, maxDelay: cfg.Settings.MaxTakeoverBackoff},
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

// submit answers an operation: at once if the durable table already decides it,
// and otherwise after the worker has made the answer durable.
func (sh *shard) submit(ctx context.Context, op *pendingOp) reply {
	op.ctx = ctx
	op.arrivedAt = time.Now()
	op.replyCh = make(chan reply, 1)
	if r, ok := sh.enqueue(op); ok {
		return r
	}
	select {
	case sh.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-op.replyCh:
		return r
	case <-ctx.Done():
		return reply{Code: codeUnavailable}
	}
}

// enqueue returns an answer if there is one already, and otherwise queues op.
func (sh *shard) enqueue(op *pendingOp) (reply, bool) {
	if !sh.service.serving() {
		return reply{Code: codeUnavailable}, true
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if r, ok := sh.answerFromTable(op); ok {
		return r, true
	}
	now := time.Now()
	if sh.table == nil && now.Sub(sh.ownerKnownAt) < redirectTTL {
		return reply{Code: codeRedirect, Owner: sh.owner}, true
	}
	if op.claim != nil && sh.refusesClaims(now) {
		return reply{Code: codeUnavailable}, true
	}
	sh.queue = append(sh.queue, op)
	return reply{}, false
}

// refusesClaims says whether the store has failed so often that claims are
// refused without trying. mu must be held.
func (sh *shard) refusesClaims(now time.Time) bool {
	return sh.storeFailures >= maxStoreFailures && now.Before(sh.storeRetryAt)
}

// answerFromTable answers op if the table decides it without a write. Such an
// answer stays true even if another host has taken the shard over. mu must be
// held.
func (sh *shard) answerFromTable(op *pendingOp) (reply, bool) {
	if sh.table == nil {
		return reply{}, false
	}
	ev := sh.table.evaluate(op, sh.table.get)
	return ev.answer, ev.newEntry == nil && !ev.barrier
}

func (sh *shard) takeQueue() []*pendingOp {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	taken := sh.queue
	sh.queue = nil
	return taken
}

// owned says whether this host believes that it owns the shard.
func (sh *shard) owned() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.table != nil
}

// canServe says whether this host would serve the shard, for probes.
func (sh *shard) canServe() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.storeFailures < maxStoreFailures && !sh.handoffRequested
}

// nextWorkDue returns when the worker must next act, and false if there is
// nothing to do.
func (sh *shard) nextWorkDue() (time.Time, bool) {
	settings := sh.service.cfg.Settings
	sh.mu.Lock()
	defer sh.mu.Unlock()
	earliest := sh.lastWrite.Add(settings.BatchWindow)
	if sh.storeRetryAt.After(earliest) {
		earliest = sh.storeRetryAt
	}
	if sh.handoffRequested && sh.table != nil {
		return time.Time{}, true
	}
	if sh.inFlight != nil {
		return earliest, true
	}
	if len(sh.queue) == 0 {
		return time.Time{}, false
	}
	outcomesDue := sh.queue[0].arrivedAt.Add(settings.OutcomeDelay)
	for _, op := range sh.queue {
		if op.claim != nil {
			return earliest, true
		}
	}
	if outcomesDue.After(earliest) {
		return outcomesDue, true
	}
	return earliest, true
}
