package instance

import "github.com/galenaseam/galenaseam/infra"

// When the store comes back from an older copy, the copy may list upstreams in
// a state that they have left since. A host keeps what it has seen of them
// until a write that the copy can't hold says otherwise.

// tombstone is the removal of an upstream.
type tombstone struct {
	at   infra.Position
	last Entry // the entry that was removed; zero if none was known
}

// Position returns the position of the entry in the store.
func (e Entry) Position() infra.Position { return infra.Position{Era: e.Era, Revision: e.Revision} }

// Position returns the position of the removal in the store.
func (r Removal) Position() infra.Position { return infra.Position{Era: r.Era, Revision: r.Revision} }

// sameProcess reports whether two entries with the same ID are of the same
// process.
func (e Entry) sameProcess(other Entry) bool {
	return e.StartTime.Equal(other.StartTime) && e.Addr == other.Addr && e.Service == other.Service && e.Version == other.Version
}

// bury records the removal of an upstream, whose entry is nil if none is known.
// The caller holds mu.
func (t *Table) bury(id ID, old *Instance, at infra.Position) {
	buried := t.tombstones[id]
	if at.After(buried.at) {
		buried.at = at
		if old != nil && at.After(old.Position()) {
			buried.last = old.Entry
		}
	}
	t.tombstones[id] = buried
}

// Kinds of changes by which an upstream stays as it is although an entry of a new
// era says otherwise.
const (
	keptLeaving   = "kept leaving"
	keptRemoved   = "kept removed"
	keptSuccessor = "kept as successor"
)

// reconcile compares an entry with what is known of its upstream and returns
// the entry to store, or false if there is nothing to store. kept is the kind of
// change if the entry is overruled. The caller holds mu.
func (t *Table) reconcile(e Entry, old *Instance) (toStore Entry, kept string, valid bool) {
	buried := t.tombstones[e.ID]
	if !e.Position().After(buried.at) || old != nil && !e.Position().After(old.Position()) {
		return e, "", false
	}
	last, lastEra := buried.last, buried.at.Era
	if old != nil {
		last, lastEra = old.Entry, old.Era
	}
	if last.ID != e.ID {
		return e, "", true
	}
	toStore, kept = t.overrule(e, last, lastEra, old == nil)
	if kept == keptRemoved {
		t.bury(e.ID, nil, e.Position())
		return e, kept, false
	}
	return toStore, kept, true
}

// overrule compares an entry with the last one known of its upstream, which was valid or was
// removed in an era. It returns the entry to store and the kind of change if the entry is
// overruled. The caller holds mu.
func (t *Table) overrule(e, last Entry, lastEra int64, removed bool) (toStore Entry, kept string) {
	mayPrecede := e.Era > lastEra && e.Revision <= last.Revision && !t.writtenSinceCopy(e.Position())
	succeeded := last.StartTime.After(e.StartTime)
	switch {
	case mayPrecede && !removed && succeeded:
		toStore = last.movedTo(e.Position())
		toStore.Successor = true
		return toStore, keptSuccessor
	case mayPrecede && removed && (succeeded || e.sameProcess(last)):
		return e, keptRemoved
	case e.leftEarlier(last):
		e.Leaving, e.LeftEarlier = true, true
		return e, keptLeaving
	}
	return e, ""
}

// leftEarlier reports whether an entry shows a process as ready that the last
// entry showed as leaving in a former era.
func (e Entry) leftEarlier(last Entry) bool {
	return !e.Leaving && e.sameProcess(last) && last.Leaving && (e.Era > last.Era || last.LeftEarlier)
}

// movedTo returns the entry with another position.
func (e Entry) movedTo(p infra.Position) Entry {
	e.Era, e.Revision = p.Era, p.Revision
	return e
}
