package claim

import (
	"cmp"
	"slices"
)

// approxSealedEntryBytes is the approximate encoded size of a sealed entry.
const approxSealedEntryBytes = 56

// sealedEntry is the state that is kept of a key after sealing: no holder, no
// body.
type sealedEntry struct {
	digest  shortDigest
	keyTime uint32
	status  uint16
	state   state
	ran     RanState
}

// table is the state of one shard as built from its log. It does no I/O and reads
// no clock: the same records always give the same table.
type table struct {
	// open holds keys that changed since they were last sealed. If a key is
	// in both maps, open has the newer entry.
	open    map[keyID]*entry
	sealed  map[keyID]sealedEntry
	horizon int64
	// openBytes is an upper bound on the encoded size of the open entries.
	openBytes int
	// appliedCount counts the applied entries; it gives open entries their order.
	appliedCount uint64
	opaqueCount  int
	maxOpaque    int
}

func newTable(maxOpaque int) *table {
	return &table{
		open:      make(map[keyID]*entry),
		sealed:    make(map[keyID]sealedEntry),
		maxOpaque: maxOpaque,
	}
}

// get returns the newest entry of a key, or nil. Callers must not modify it.
func (t *table) get(id keyID) *entry {
	if e, ok := t.open[id]; ok {
		return e
	}
	s, ok := t.sealed[id]
	if !ok {
		return nil
	}
	return s.toEntry(id)
}

func (s sealedEntry) toEntry(id keyID) *entry {
	e := &entry{Key: id, State: s.state, Digest: s.digest, KeyTime: int64(s.keyTime)}
	if s.state == stateDone {
		e.Outcome = &Outcome{Status: int(s.status), Ran: s.ran, Truncated: true}
	}
	return e
}

// apply makes e the newest entry of its key.
func (t *table) apply(e *entry) {
	if e.opaque() && t.get(e.Key) == nil {
		t.opaqueCount++
	}
	if old, ok := t.open[e.Key]; ok {
		t.openBytes -= old.maxEncodedBytes()
	}
	t.openBytes += e.maxEncodedBytes()
	t.appliedCount++
	e.applyOrder = t.appliedCount
	t.open[e.Key] = e
}

// openEntries returns the open entries of one kind, opaque or not, in the order in
// which they were applied. It leaves out keys before the horizon.
func (t *table) openEntries(opaque bool, horizon int64) []*entry {
	var found []*entry
	for _, e := range t.open {
		if e.opaque() == opaque && (opaque || e.KeyTime >= horizon) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.applyOrder, b.applyOrder) })
	return found
}

// applySealed adds an entry of a sealed segment.
func (t *table) applySealed(e *entry) {
	if e.opaque() && t.get(e.Key) == nil {
		t.opaqueCount++
	}
	t.sealed[e.Key] = newSealedEntry(e)
}

func newSealedEntry(e *entry) sealedEntry {
	s := sealedEntry{digest: e.Digest, keyTime: uint32(e.KeyTime), state: e.State}
	if e.Outcome != nil {
		s.status = uint16(e.Outcome.Status)
		s.ran = e.Outcome.Ran
	}
	return s
}

// compact returns a copy of e as sealed segments store it.
func (e *entry) compact() *entry { return newSealedEntry(e).toEntry(e.Key) }

// seal moves an open entry to the sealed ones, unless the key has changed since
// its sealed segment was written.
func (t *table) seal(e *entry) {
	if t.open[e.Key] != e {
		return
	}
	t.sealed[e.Key] = newSealedEntry(e)
	t.dropOpen(e)
}

func (t *table) dropOpen(e *entry) {
	delete(t.open, e.Key)
	t.openBytes -= e.maxEncodedBytes()
}

// dropExpired sets the horizon and drops every key with a time before it.
func (t *table) dropExpired(horizon int64) {
	t.horizon = horizon
	for id, s := range t.sealed {
		if s.keyTime != 0 && int64(s.keyTime) < horizon {
			delete(t.sealed, id)
		}
	}
	for _, e := range t.open {
		if !e.opaque() && e.KeyTime < horizon {
			t.dropOpen(e)
		}
	}
}

// len returns the number of remembered keys; a key that is both open and sealed
// counts twice.
func (t *table) len() int { return len(t.open) + len(t.sealed) }
