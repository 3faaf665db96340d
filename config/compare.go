package config

// headRelation is the relation of another head to the one that a host serves.
type headRelation uint8

const (
	// headSame: both are the same generation.
	headSame headRelation = iota
	// headDescendant: a later generation of the same history. Only these are
	// applied.
	headDescendant
	// headOlder: an earlier generation.
	headOlder
	// headFork: a generation of another history.
	headFork
	// headUndecided: a later generation, but so much later that its head no
	// longer lists the served one. The chain of records must be read.
	headUndecided
)

// String returns the relation's name in metrics and logs.
func (r headRelation) String() string {
	return [...]string{"same", "follow", "older", "fork", "walk"}[r]
}

// compareHeads returns the relation of candidate to the served head. The
// Syncer and the Writer both decide by it. spec/config.pml calls it Judge.
func compareHeads(served, candidate *head) headRelation {
	switch {
	case served.hash() == candidate.hash():
		return headSame
	case served == nil:
		return headDescendant
	case candidate.generation() < served.generation():
		return headOlder
	}
	ancestor, listed := candidate.recentHash(served.generation())
	switch {
	case !listed:
		return headUndecided
	case ancestor == served.hash():
		return headDescendant
	}
	return headFork
}
