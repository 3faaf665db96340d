package infra

import "cmp"

// Position is a point in the store's history. Revisions only order changes
// within one era: when the store comes back from an older copy, its era rises
// by one and it gives revisions out again.
type Position struct {
	Era      int64 // 0 if the store states none
	Revision int64
}

// Compare returns -1, 0 or 1 if p is before, at or after other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p is later than other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }
