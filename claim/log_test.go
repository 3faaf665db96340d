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

// logOwner is one host's hold on the log under test.
type logOwner struct {
	log   shardLog
	table *table
	// pending is a record whose append is not settled.
	pending *record
	epoch   uint64
}

// logMachine drives several owners of one shard's log and keeps the truth: the
// records in the order in which they took effect in the store.
type logMachine struct {
	store   *fakeStore
	owners  []*logOwner
	truth   []record
	ids     uint64
	seconds int64
	horizon int64
}

const (
	logRing    = 6
	logOwners  = 3
	logKeys    = 12
	logSegment = 4 << 10
)

func newLogMachine(seed uint64) *logMachine {
	m := &logMachine{store: newFakeStore(seed), seconds: 1000}
	m.store.hold = true
	m.store.onWrite = m.landed
	for range logOwners {
		m.owners = append(m.owners, &logOwner{log: m.newLog()})
	}
	return m
}

func (m *logMachine) newLog() shardLog {
	return shardLog{
		store: m.store, timeout: time.Minute, segmentBytes: logSegment, maxSegments: 64,
		maxOpaque: 1000, newID: m.newID, tableMu: &sync.Mutex{},
	}
}

func (m *logMachine) newID() attemptID {
	m.ids++
	var id attemptID
	binary.BigEndian.PutUint64(id[:], m.ids)
	return id
}

// landed takes note of a record that took effect. The store's mu is held.
func (m *logMachine) landed(key string, value []byte) {
	if strings.HasSuffix(key, "/head") {
		var h head
		must(decode(value, &h))
		m.horizon = h.Horizon
	}
	if strings.Contains(key, "/log/") {
		var rec record
		must(decode(value, &rec))
		m.truth = append(m.truth, rec)
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (m *logMachine) draw(t *rapid.T) *logOwner {
	return m.owners[rapid.IntRange(0, logOwners-1).Draw(t, "owner")]
}

// takeOver makes an owner take the shard, whoever has it.
func (m *logMachine) takeOver(t *rapid.T) {
	o := m.draw(t)
	o.table, o.pending, o.log.pending = nil, nil, nil
	found, err := o.log.readHead(context.Background())
	if err != nil {
		return
	}
	m.store.reads = 0
	self := process{ID: host.ID(fmt.Sprint("host-", m.newID()))}
	// Another owner may write between this one's reads and its first record.
	other := m.draw(t)
	between := &interposed{fakeStore: m.store, do: func() {
		if other != o {
			m.appendOf(t, other)
		}
	}}
	o.log.store = between
	defer func() { o.log.store = m.store }()
	folded, err := o.log.takeOver(context.Background(), found, self, logRing)
	if err != nil {
		return
	}
	o.table, o.epoch = folded, o.log.head.Epoch
	bound := logRing + len(o.log.head.Segments) + garbagePerCheckpoint + 12
	if m.store.reads > bound {
		t.Fatalf("recovery took %d reads, the bound is %d", m.store.reads, bound)
	}
}

// append writes one claim or settlement by the rules of the owner's own table,
// or tries the record again that is not settled.
func (m *logMachine) append(t *rapid.T) { m.appendOf(t, m.draw(t)) }

func (m *logMachine) appendOf(t *rapid.T, o *logOwner) {
	if o.table == nil {
		return
	}
	rec := o.pending
	if rec == nil {
		rec = m.build(t, o)
	}
	if rec == nil || o.log.room() < 1 {
		return
	}
	o.pending = rec
	err := o.log.append(context.Background(), rec)
	if errors.Is(err, errDeposed) {
		// Only once the ring has come round may an owner not know its record.
		if m.inTruth(rec) && rec.Seq+logRing > uint64(len(m.truth)) {
			t.Fatalf("record %d of epoch %d is in its slot and its owner gave up", rec.Seq, rec.Epoch)
		}
		o.table, o.pending = nil, nil
		return
	}
	if err != nil {
		return
	}
	o.pending = nil
	if !m.inTruth(rec) {
		t.Fatalf("record %d of epoch %d was acknowledged and is not in the log", rec.Seq, rec.Epoch)
	}
	for i := range rec.Entries {
		o.table.apply(&rec.Entries[i])
	}
}

func (m *logMachine) build(t *rapid.T, o *logOwner) *record {
	number := byte(rapid.IntRange(0, logKeys-1).Draw(t, "key"))
	seconds := int64(0)
	if number%3 != 0 {
		seconds = m.seconds + int64(number)
	}
	// A key's time is part of the key.
	id := keyID{number, byte(seconds >> 8), byte(seconds)}
	e := o.table.get(id)
	rec := &record{Seq: o.log.last + 1, Epoch: o.epoch, Batch: m.newID()}
	if e != nil && e.State == stateClaimed {
		op := settleOp{key: id}
		if e.Hold != nil {
			op.attempt = e.Hold.Attempt
		}
		if rapid.Bool().Draw(t, "ran") || e.Hold == nil {
			op.outcome = &Outcome{Status: 200, Body: make([]byte, 300)}
		}
		rec.Entries = append(rec.Entries, *ruleSettle(op, o.table.get))
		return rec
	}
	op := claimOp{key: id, seconds: seconds, hold: hold{Attempt: m.newID()}}
	if r, _ := o.table.ruleClaim(op, o.table.get); r != rulingGrant {
		return nil
	}
	rec.Entries = append(rec.Entries, *claimed(op))
	return rec
}

func (m *logMachine) checkpoint(t *rapid.T) {
	o := m.draw(t)
	if o.table == nil || o.pending != nil {
		return
	}
	horizon := o.table.horizon
	if rapid.IntRange(0, 5).Draw(t, "advance") == 0 {
		m.seconds += 6
		horizon = m.seconds
	}
	if errors.Is(o.log.checkpoint(context.Background(), o.table, horizon), errDeposed) {
		o.table = nil
	}
}

func (m *logMachine) inTruth(rec *record) bool {
	for i := range m.truth {
		if m.truth[i].Seq == rec.Seq {
			return m.truth[i].Batch == rec.Batch
		}
	}
	return false
}

// failer is a test that can be failed.
type failer interface {
	Fatalf(format string, args ...any)
}

// check applies the rules of spec/claims.pml to what took effect.
func (m *logMachine) check(t *rapid.T) { checkRules(t, m.truth, false) }

// checkRules applies the rules of spec/claims.pml to the records of one shard
// in the order in which they took effect: places follow each other (append),
// epochs never fall and every one begins with its takeover (writeTakeover), a
// key is claimed only when free or disowned and settled only by its attempt
// (ruleClaim, ruleSettle).
func checkRules(t failer, records []record, disowning bool) {
	states := make(map[keyID]*entry)
	epoch := uint64(0)
	for i := range records {
		rec := &records[i]
		if rec.Seq != uint64(i+1) {
			t.Fatalf("record %d stands at place %d", rec.Seq, i+1)
		}
		if rec.Epoch < epoch || (rec.Epoch > epoch) != rec.Takeover {
			t.Fatalf("record %d of epoch %d follows epoch %d", rec.Seq, rec.Epoch, epoch)
		}
		epoch = rec.Epoch
		for j := range rec.Entries {
			checkTransition(t, states, &rec.Entries[j], disowning)
		}
	}
}

func checkTransition(t failer, states map[keyID]*entry, e *entry, disowning bool) {
	before := states[e.Key]
	free := before == nil || before.State == stateReleased
	held := before != nil && before.State == stateClaimed
	other := held && e.Hold != nil && before.Hold != nil && e.Hold.Attempt != before.Hold.Attempt
	switch e.State {
	case stateClaimed:
		if !free && (!disowning || !other) {
			t.Fatalf("key %v was claimed in state %+v", e.Key, before)
		}
	default:
		if !held || other {
			t.Fatalf("key %v was settled in state %+v", e.Key, before)
		}
	}
	states[e.Key] = e
}

// interposed does something once, before the first write to the ring.
type interposed struct {
	*fakeStore
	do func()
}

func (i *interposed) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	if do := i.do; do != nil && strings.Contains(key, "/log/") {
		i.do = nil
		do()
	}
	return i.fakeStore.CompareAndSwap(ctx, key, expect, value, lease)
}

// recovered folds the log afresh and compares with the truth, as do the tables
// of owners that are up to date.
func (m *logMachine) recovered(t *rapid.T) {
	faults := m.store.faults
	m.store.faults = storeFaults{}
	defer func() { m.store.faults = faults }()
	fresh := m.newLog()
	found, err := fresh.readHead(context.Background())
	must(err)
	folded, err := fresh.takeOver(context.Background(), found, process{ID: "fresh"}, logRing)
	must(err)
	m.compare(t, folded, m.truth)
	for _, o := range m.owners {
		if o.table != nil && o.pending == nil && o.epoch+1 == fresh.head.Epoch {
			m.compare(t, o.table, m.truth[:o.log.last])
		}
	}
}

func (m *logMachine) compare(t *rapid.T, folded *table, records []record) {
	want := make(map[keyID]*entry)
	for i := range records {
		for j := range records[i].Entries {
			e := &records[i].Entries[j]
			want[e.Key] = e
		}
	}
	for id, e := range want {
		if !e.opaque() && e.Seconds < m.horizon {
			continue
		}
		got := folded.get(id)
		if got == nil || got.State != e.State || got.Seconds != e.Seconds {
			t.Fatalf("key %v: recovered %+v, the log has %+v", id, got, e)
		}
	}
}

// TestLogStateMachine lets owners take a shard from each other at any point of
// each other's work, on a store that loses answers, drops writes and lets
// writes take effect long after.
func TestLogStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLogMachine(rapid.Uint64().Draw(t, "seed"))
		m.store.faults = storeFaults{lost: 0.1, unsent: 0.1, late: 0.1, failed: 0.05}
		t.Repeat(map[string]func(*rapid.T){
			"take over":  m.takeOver,
			"append":     m.append,
			"append 2":   m.append,
			"append 3":   m.append,
			"append 4":   m.append,
			"append 5":   m.append,
			"checkpoint": m.checkpoint,
			"settle":     m.checkpoint,
			"recover":    m.recovered,
			"land": func(t *rapid.T) {
				if len(m.store.held) > 0 {
					m.store.land(rapid.IntRange(0, len(m.store.held)-1).Draw(t, "which"))
				}
			},
			"": m.check,
		})
	})
}
