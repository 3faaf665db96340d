package instance

import (
	"cmp"
	"slices"

	"github.com/galenaseam/galenaseam/infra"
)

// A host that has started after an upstream left has no record of it. When the store comes back
// from a copy that lists the upstream as ready, the host can't tell the entry from a current
// one. So hosts tell each other the last states that they have seen.

// LastState is the last state of an upstream that a host has seen: its entry, or its removal
// after that entry.
type LastState struct {
	Entry   Entry `cbor:"1,keyasint"`
	Removed bool  `cbor:"2,keyasint,omitempty"`
	// Revision and Era are the position of the removal in the store.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	Era      int64 `cbor:"4,keyasint,omitempty"`
}

// position returns the position of the removal, or else that of the entry.
func (s LastState) position() infra.Position {
	if s.Removed {
		return infra.Position{Era: s.Era, Revision: s.Revision}
	}
	return s.Entry.Position()
}

// BeginEra records the position of the first data of a new era. Entries with later positions
// in this era can't be from the copy.
func (t *Table) BeginEra(asOf infra.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eraBegan = asOf
}

// writtenSinceCopy reports whether an entry at a position was certainly written after the store
// came back from its newest copy. The caller holds mu.
func (t *Table) writtenSinceCopy(at infra.Position) bool {
	return at.Era == t.eraBegan.Era && at.Revision > t.eraBegan.Revision
}

// Unseen returns those of the upstreams, listed with the positions of their entries, of which
// this host has seen no entry, or no longer remembers it, and whose entries may be from a copy.
func (t *Table) Unseen(listed map[ID]infra.Position) (unseen []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, at := range listed {
		if t.byID[id] == nil && t.tombstones[id].last.ID != id && at.After(t.tombstones[id].at) && !t.writtenSinceCopy(at) {
			unseen = append(unseen, id)
		}
	}
	return unseen
}

// LastStates returns the newest last states of upstreams, at most limit, that a host in an era
// of the store may not be able to read there: of those that were removed, are leaving, or are
// kept as successors. If ids is not empty, it returns only those of these upstreams, and also
// entries of former eras.
func (t *Table) LastStates(ids []ID, era int64, limit int) []LastState {
	t.mu.Lock()
	defer t.mu.Unlock()
	type candidate struct {
		id ID
		at infra.Position
	}
	var found []candidate
	add := func(id ID, orFormer bool) {
		if s, known := t.lastState(id); known && (s.differsFromCopy() || orFormer && s.Entry.Era < era) {
			found = append(found, candidate{id, s.position()})
		}
	}
	for _, id := range ids {
		add(id, true)
	}
	if len(ids) == 0 {
		for id := range t.byID {
			add(id, false)
		}
		for id := range t.tombstones {
			if t.byID[id] == nil {
				add(id, false)
			}
		}
	}
	slices.SortFunc(found, func(a, b candidate) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.id, b.id)) })
	all := make([]LastState, 0, min(limit, len(found)))
	for _, c := range found[:cap(all)] {
		s, _ := t.lastState(c.id)
		all = append(all, s)
	}
	return all
}

// differsFromCopy reports whether a copy may list the upstream in another state.
func (s LastState) differsFromCopy() bool { return s.Removed || s.Entry.Leaving || s.Entry.Successor }

// lastState returns the last state of an upstream, or false if none is known. The caller holds
// mu.
func (t *Table) lastState(id ID) (s LastState, found bool) {
	if i := t.byID[id]; i != nil {
		return LastState{Entry: i.Entry}, true
	}
	buried := t.tombstones[id]
	if buried.last.ID != id {
		return LastState{}, false
	}
	return LastState{Entry: buried.last, Removed: true, Era: buried.at.Era, Revision: buried.at.Revision}, true
}

// Learn applies a last state that another host has seen. asOf is the position up to which this
// table has the store's changes. The state may arrive before or after this host has read an
// older state from a copy. Learn returns true if it changed the upstream's entry.
func (t *Table) Learn(s LastState, asOf infra.Position) (changed bool) {
	t.mu.Lock()
	change := t.learn(s, asOf)
	t.mu.Unlock()
	if change.Kind == "" || change.Kind == "changed" {
		return false
	}
	change.Source = SourceHost
	t.changed(change)
	return true
}

// learn does the work of Learn. The caller holds mu.
func (t *Table) learn(s LastState, asOf infra.Position) Change {
	at, old := s.position(), t.byID[s.Entry.ID]
	switch {
	case s.Entry.ID == "":
		return Change{}
	case old == nil && (s.Removed || !at.After(asOf)):
		// If only the entry is known: the store has not listed it any more at asOf.
		t.buryLast(s.Entry, at)
		return Change{}
	case old == nil || !s.Removed && at.After(old.Position()):
		return Change{Entry: s.Entry, Kind: t.put(s.Entry)}
	case s.Removed && !old.Position().After(at):
		return t.discardCopied(old, s.Entry, at)
	}
	return t.correct(old, s)
}

// correct applies a last state to an upstream whose entry has the same or a later position, but
// may be from a copy. The caller holds mu.
func (t *Table) correct(old *Instance, s LastState) Change {
	toStore, kept := s.Entry, ""
	switch at := s.position(); {
	case old.Position() != at:
		toStore, kept = t.overrule(old.Entry, s.Entry, at.Era, s.Removed)
	case s.Entry.Successor && s.Entry.StartTime.After(old.StartTime):
		kept = keptSuccessor
	case s.Entry.LeftEarlier && s.Entry.sameProcess(old.Entry) && !old.Leaving:
		kept = keptLeaving
	}
	switch kept {
	case keptRemoved:
		return t.discardCopied(old, s.Entry, old.Position())
	case keptSuccessor:
		t.drop(old)
		t.addAfter(toStore, old.Entry)
	case keptLeaving:
		old.Entry = toStore
	}
	return Change{Entry: toStore, Kind: kept}
}

// discardCopied removes an upstream that the store lists only because it came back from a copy.
// The caller holds mu.
func (t *Table) discardCopied(old *Instance, last Entry, at infra.Position) Change {
	t.drop(old)
	t.buryLast(last, at)
	return Change{Entry: old.Entry, Kind: "removed"}
}

// buryLast records a removal that another host has seen, with the entry before it. The caller
// holds mu.
func (t *Table) buryLast(last Entry, at infra.Position) {
	buried := t.tombstones[last.ID]
	if buried.last.ID != last.ID || last.Position().After(buried.last.Position()) {
		buried.last = last
	}
	if at.After(buried.at) {
		buried.at = at
	}
	t.tombstones[last.ID] = buried
	if len(t.tombstones) > maxTombstones {
		t.pruneTombstones()
	}
}
