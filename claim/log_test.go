package claim

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
)

// logOwner is one host's state of the log under test.
type logOwner struct {
	log   shardLog
	table *table
	// pending is a record whose append has an unknown result.
	pending *record
	epoch   uint64
}

// logMachine drives several owners of one shard's log. committed holds the records
// in the order in which they took effect in the store.
type logMachine struct {
	store     *fakeStore
	owners    []*logOwner
	committed []record
	lastID    uint64
	keyTime   int64
	horizon   int64
}

const (
	testRingSlots    = 6
	testOwners       = 3
	testKeys         = 12
	testSegmentBytes = 4 << 10
)

func newLogMachine(seed uint64) *logMachine {
	m := &logMachine{store: newFakeStore(seed), keyTime: 1000}
	m.store.manualDefer = true
	m.store.onWrite = m.recordWrite
	for range testOwners {
		m.owners = append(m.owners, &logOwner{log: m.newLog()})
	}
	return m
}

func (m *logMachine) newLog() shardLog {
	return shardLog{
		store: m.store, timeout: time.Minute, segmentBytes: testSegmentBytes, maxSegments: 64,
		maxOpaque: 1000, newID: m.newID, tableMu: &sync.Mutex{},
	}
}

func (m *logMachine) newID() attemptID {
	m.lastID++
	var id attemptID
	binary.BigEndian.PutUint64(id[:], m.lastID)
	return id
}

// recordWrite records a write that took effect. The store's mu is held.
func (m *logMachine) recordWrite(key string, value []byte) {
	if strings.HasSuffix(key, "/head") {
		var h head
		must(decode(value, &h))
		m.horizon = h.Horizon
	}
	if strings.Contains(key, "/log/") {
		var rec record
		must(decode(value, &rec))
		m.committed = append(m.committed, rec)
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (m *logMachine) drawOwner(t *rapid.T) *logOwner {
	return m.owners[rapid.IntRange(0, testOwners-1).Draw(t, "owner")]
}

// takeOver makes one owner take over the shard, whoever owns it.
func (m *logMachine) takeOver(t *rapid.T) {
	o := m.drawOwner(t)
	o.table, o.pending, o.log.pending = nil, nil, nil
	found, err := o.log.readHead(context.Background())
	if err != nil {
		return
	}
	m.store.reads = 0
	self := process{ID: host.ID(fmt.Sprint("host-", m.newID()))}
	// Another owner may write after this one's reads, before its takeover record.
	other := m.drawOwner(t)
	interposing := &interposingStore{fakeStore: m.store, beforeWrite: func() {
		if other != o {
			m.appendFrom(t, other)
		}
	}}
	o.log.store = interposing
	defer func() { o.log.store = m.store }()
	recovered, err := o.log.takeOver(context.Background(), found, self, testRingSlots)
	if err != nil {
		return
	}
	o.table, o.epoch = recovered, o.log.head.Epoch
	bound := testRingSlots + len(o.log.head.Segments) + maxDeletesPerCheckpoint + 12
	if m.store.reads > bound {
		t.Fatalf("recovery took %d reads, the bound is %d", m.store.reads, bound)
	}
}

// append writes one claim or settlement that the owner's own table allows, or
// retries the record whose result is unknown.
func (m *logMachine) append(t *rapid.T) { m.appendFrom(t, m.drawOwner(t)) }

func (m *logMachine) appendFrom(t *rapid.T, o *logOwner) {
	if o.table == nil {
		return
	}
	rec := o.pending
	if rec == nil {
		rec = m.build(t, o)
	}
	if rec == nil || o.log.freeSlots() < 1 {
		return
	}
	o.pending = rec
	err := o.log.append(context.Background(), rec)
	if errors.Is(err, errTakenOver) {
		// An owner may fail to recognize its own record only after a later lap
		// of the ring has overwritten it.
		if m.isCommitted(rec) && rec.Seq+testRingSlots > uint64(len(m.committed)) {
			t.Fatalf("record %d of epoch %d is in its slot, but its owner reported a takeover", rec.Seq, rec.Epoch)
		}
		o.table, o.pending = nil, nil
		return
	}
	if err != nil {
		return
	}
	o.pending = nil
	if !m.isCommitted(rec) {
		t.Fatalf("record %d of epoch %d was acknowledged but is not in the log", rec.Seq, rec.Epoch)
	}
	for i := range rec.Entries {
		o.table.apply(&rec.Entries[i])
	}
}

func (m *logMachine) build(t *rapid.T, o *logOwner) *record {
	number := byte(rapid.IntRange(0, testKeys-1).Draw(t, "key"))
	keyTime := int64(0)
	if number%3 != 0 {
		keyTime = m.keyTime + int64(number)
	}
	// The time is part of the key ID, as a key never changes its time.
	id := keyID{number, byte(keyTime >> 8), byte(keyTime)}
	e := o.table.get(id)
	rec := &record{Seq: o.log.lastSeq + 1, Epoch: o.epoch, BatchID: m.newID()}
	if e != nil && e.State == stateClaimed {
		op := settleOp{key: id}
		if e.Holder != nil {
			op.attempt = e.Holder.Attempt
		}
		if rapid.Bool().Draw(t, "ran") || e.Holder == nil {
			op.outcome = &Outcome{Status: 200, Body: make([]byte, 300)}
		}
		rec.Entries = append(rec.Entries, *settledEntry(op, o.table.get))
		return rec
	}
	op := claimOp{key: id, keyTime: keyTime, holder: claimHolder{Attempt: m.newID()}}
	if r, _ := o.table.evaluateClaim(op, o.table.get); r != resultGrant {
		return nil
	}
	rec.Entries = append(rec.Entries, *claimedEntry(op))
	return rec
}

func (m *logMachine) checkpoint(t *rapid.T) {
	o := m.drawOwner(t)
	if o.table == nil || o.pending != nil {
		return
	}
	horizon := o.table.horizon
	if rapid.IntRange(0, 5).Draw(t, "advance") == 0 {
		m.keyTime += 6
		horizon = m.keyTime
	}
	if errors.Is(o.log.checkpoint(context.Background(), o.table, horizon), errTakenOver) {
		o.table = nil
	}
}

func (m *logMachine) isCommitted(rec *record) bool {
	for i := range m.committed {
		if m.committed[i].Seq == rec.Seq {
			return m.committed[i].BatchID == rec.BatchID
		}
	}
	return false
}

// fatalReporter is the part of testing.T and rapid.T that the checks use.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// checkInvariants checks the committed records.
func (m *logMachine) checkInvariants(t *rapid.T) { checkLogInvariants(t, m.committed, false) }

// checkLogInvariants applies the rules of spec/claims.pml to the records of one
// shard in the order in which they took effect: sequence numbers have no gaps
// (append); epochs never decrease and each starts with its takeover record
// (writeTakeover); a key is claimed only when free or disowned, and settled only by
// the attempt that holds it (evaluateClaim, settledEntry).
func checkLogInvariants(t fatalReporter, records []record, allowDisowned bool) {
	states := make(map[keyID]*entry)
	epoch := uint64(0)
	for i := range records {
		rec := &records[i]
		if rec.Seq != uint64(i+1) {
			t.Fatalf("record %d is at position %d", rec.Seq, i+1)
		}
		if rec.Epoch < epoch || (rec.Epoch > epoch) != rec.Takeover {
			t.Fatalf("record %d of epoch %d follows epoch %d", rec.Seq, rec.Epoch, epoch)
		}
		epoch = rec.Epoch
		for j := range rec.Entries {
			checkTransition(t, states, &rec.Entries[j], allowDisowned)
		}
	}
}

func checkTransition(t fatalReporter, states map[keyID]*entry, e *entry, allowDisowned bool) {
	before := states[e.Key]
	free := before == nil || before.State == stateReleased
	held := before != nil && before.State == stateClaimed
	other := held && e.Holder != nil && before.Holder != nil && e.Holder.Attempt != before.Holder.Attempt
	switch e.State {
	case stateClaimed:
		if !free && (!allowDisowned || !other) {
			t.Fatalf("key %v was claimed in state %+v", e.Key, before)
		}
	default:
		if !held || other {
			t.Fatalf("key %v was settled in state %+v", e.Key, before)
		}
	}
	states[e.Key] = e
}

// interposingStore calls beforeWrite once, before the first write to the ring.
type interposingStore struct {
	*fakeStore
	beforeWrite func()
}

func (i *interposingStore) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	if do := i.beforeWrite; do != nil && strings.Contains(key, "/log/") {
		i.beforeWrite = nil
		do()
	}
	return i.fakeStore.CompareAndSwap(ctx, key, expect, value, lease)
}

// checkRecovery rebuilds the table from the store and compares it with the
// committed records, along with the tables of owners that are up to date.
func (m *logMachine) checkRecovery(t *rapid.T) {
	faults := m.store.faults
	m.store.faults = storeFaults{}
	defer func() { m.store.faults = faults }()
	fresh := m.newLog()
	found, err := fresh.readHead(context.Background())
	must(err)
	recovered, err := fresh.takeOver(context.Background(), found, process{ID: "fresh"}, testRingSlots)
	must(err)
	m.compareTable(t, recovered, m.committed)
	for _, o := range m.owners {
		if o.table != nil && o.pending == nil && o.epoch+1 == fresh.head.Epoch {
			m.compareTable(t, o.table, m.committed[:o.log.lastSeq])
		}
	}
}

func (m *logMachine) compareTable(t *rapid.T, recovered *table, records []record) {
	want := make(map[keyID]*entry)
	for i := range records {
		for j := range records[i].Entries {
			e := &records[i].Entries[j]
			want[e.Key] = e
		}
	}
	for id, e := range want {
		if !e.opaque() && e.KeyTime < m.horizon {
			continue
		}
		got := recovered.get(id)
		if got == nil || got.State != e.State || got.KeyTime != e.KeyTime {
			t.Fatalf("key %v: recovered %+v, the log has %+v", id, got, e)
		}
	}
}

// TestLogStateMachine guards against records that are lost, duplicated or written
// by a former owner. Owners take a shard from each other at any point, on a store
// that loses replies, drops writes and applies writes much later.
func TestLogStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLogMachine(rapid.Uint64().Draw(t, "seed"))
		m.store.faults = storeFaults{lostReply: 0.1, dropped: 0.1, deferred: 0.1, failed: 0.05}
		t.Repeat(map[string]func(*rapid.T){
			"take over":  m.takeOver,
			"append":     m.append,
			"append 2":   m.append,
			"append 3":   m.append,
			"append 4":   m.append,
			"append 5":   m.append,
			"checkpoint": m.checkpoint,
			"settle":     m.checkpoint,
			"recover":    m.checkRecovery,
			"land": func(t *rapid.T) {
				if len(m.store.deferred) > 0 {
					m.store.applyDeferred(rapid.IntRange(0, len(m.store.deferred)-1).Draw(t, "which"))
				}
			},
			"": m.checkInvariants,
		})
	})
}
