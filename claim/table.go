package claim

import (
	"cmp"
	"slices"
)

// sealedEntryBytes is about what a sealed entry takes in its segment.
const sealedEntryBytes = 56

// sealedEntry is what is remembered of a key whose segment is sealed.
type sealedEntry struct {
	digest  shortDigest
	seconds uint32
	status  uint16
	state   state
	ran     RanState
}

// table is the folded state of one shard's log. It does no I/O and has no
// clock; the same records always give the same table.
type table struct {
	// open holds keys that changed since the segments of their kind were last
	// sealed; it goes before sealed.
	open    map[keyID]*entry
	sealed  map[keyID]sealedEntry
	horizon int64
	// openBytes bounds what the open entries take.
	openBytes int
	// applied counts the entries that were applied; it orders the open ones.
	applied     uint64
	opaqueCount int
	maxOpaque   int
}

func newTable(maxOpaque int) *table {
	return &table{
		open:      make(map[keyID]*entry),
		sealed:    make(map[keyID]sealedEntry),
		maxOpaque: maxOpaque,
	}
}

// get returns the newest entry of a key, or nil. Callers must not change it.
func (t *table) get(id keyID) *entry {
	if e, ok := t.open[id]; ok {
		return e
	}
	s, ok := t.sealed[id]
	if !ok {
		return nil
	}
	return s.restore(id)
}

func (s sealedEntry) restore(id keyID) *entry {
	e := &entry{Key: id, State: s.state, Digest: s.digest, Seconds: int64(s.seconds)}
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
		t.openBytes -= old.sizeBound()
	}
	t.openBytes += e.sizeBound()
	t.applied++
	e.order = t.applied
	t.open[e.Key] = e
}

// openOf returns the open entries of one kind from the horizon on, oldest
// first.
func (t *table) openOf(opaque bool, horizon int64) []*entry {
	var found []*entry
	for _, e := range t.open {
		if e.opaque() == opaque && (opaque || e.Seconds >= horizon) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.order, b.order) })
	return found
}

// applySealed folds an entry of a sealed segment.
func (t *table) applySealed(e *entry) {
	if e.opaque() && t.get(e.Key) == nil {
		t.opaqueCount++
	}
	t.sealed[e.Key] = sealOf(e)
}

func sealOf(e *entry) sealedEntry {
	s := sealedEntry{digest: e.Digest, seconds: uint32(e.Seconds), state: e.State}
	if e.Outcome != nil {
		s.status = uint16(e.Outcome.Status)
		s.ran = e.Outcome.Ran
	}
	return s
}

// compact returns e as a sealed segment holds it.
func (e *entry) compact() *entry { return sealOf(e).restore(e.Key) }

// seal moves an open entry among the sealed ones, unless the key has changed
// since its segment was written.
func (t *table) seal(e *entry) {
	if t.open[e.Key] != e {
		return
	}
	t.sealed[e.Key] = sealOf(e)
	t.dropOpen(e)
}

func (t *table) dropOpen(e *entry) {
	delete(t.open, e.Key)
	t.openBytes -= e.sizeBound()
}

// forget drops every key that carries a time before the horizon.
func (t *table) forget(horizon int64) {
	t.horizon = horizon
	for id, s := range t.sealed {
		if s.seconds != 0 && int64(s.seconds) < horizon {
			delete(t.sealed, id)
		}
	}
	for _, e := range t.open {
		if !e.opaque() && e.Seconds < horizon {
			t.dropOpen(e)
		}
	}
}

// len returns how many keys are remembered; a key that is both open and sealed
// counts twice.
func (t *table) len() int { return len(t.open) + len(t.sealed) }
