package config

import (
	"context"
)

// lineage reads the chain of records that ends in a head.
type lineage struct {
	head    *head
	objects objectSource
}

// record reads one record of the chain by its hash.
func (l lineage) record(ctx context.Context, hash Hash) (Record, error) {
	if hash == l.head.hash() {
		return l.head.Record, nil
	}
	have := objectSetOf(nil)
	if err := have.fetchMissing(ctx, l.objects, []Hash{hash}); err != nil {
		return Record{}, err
	}
	return decodeRecord(have.byHash[hash])
}

// walk calls visit for the records at or before generation start, newest
// first, until visit returns false or the chain ends.
func (l lineage) walk(ctx context.Context, start Generation, visit func(Record, Hash) bool) error {
	if l.head == nil || start == 0 {
		return nil
	}
	hash := l.walkStart(start)
	for hash != (Hash{}) {
		record, err := l.record(ctx, hash)
		if err != nil {
			return err
		}
		if record.Generation <= start && !visit(record, hash) {
			return nil
		}
		hash = record.Previous
	}
	return nil
}

// walkStart returns the hash of the oldest record listed by the head that is
// not before generation start.
func (l lineage) walkStart(start Generation) Hash {
	for _, ref := range l.head.Recent {
		if ref.Generation >= start {
			return ref.Record
		}
	}
	return l.head.hash()
}

// recordAt returns the record of a generation and its hash.
func (l lineage) recordAt(ctx context.Context, generation Generation) (Record, Hash, error) {
	var found Record
	var foundHash Hash
	err := l.walk(ctx, generation, func(record Record, hash Hash) bool {
		found, foundHash = record, hash
		return false
	})
	if err != nil {
		return Record{}, Hash{}, err
	}
	if found.Generation != generation || generation == 0 {
		return Record{}, Hash{}, Error.Wrap(ErrUnknownGeneration)
	}
	return found, foundHash, nil
}

// findOperation looks for an operation among the generations after since.
func (l lineage) findOperation(ctx context.Context, id string, since Generation) (recentGeneration, bool, error) {
	if l.head == nil {
		return recentGeneration{}, false, nil
	}
	for _, ref := range l.head.Recent {
		if ref.OperationID == id {
			return ref, true, nil
		}
	}
	oldest := l.head.Recent[0].Generation
	if since+1 >= oldest {
		return recentGeneration{}, false, nil
	}
	var found recentGeneration
	err := l.walk(ctx, oldest-1, func(record Record, hash Hash) bool {
		if record.Operation.ID == id {
			found = recentGeneration{record.Generation, hash, id}
		}
		return found.Generation == 0 && record.Generation > since+1
	})
	return found, found.Generation != 0, err
}

// descendsFrom reports whether the chain contains the record of the served
// head. It decides what compareHeads leaves undecided.
func (l lineage) descendsFrom(ctx context.Context, served *head) (bool, error) {
	_, hash, err := l.recordAt(ctx, served.generation())
	return hash == served.hash(), err
}

// compareHeadsWithHistory is like compareHeads but reads the chain of records
// where the heads alone don't decide.
func compareHeadsWithHistory(ctx context.Context, served, candidate *head, from objectSource) (headRelation, error) {
	relation := compareHeads(served, candidate)
	if relation != headUndecided {
		return relation, nil
	}
	descends, err := lineage{candidate, from}.descendsFrom(ctx, served)
	switch {
	case err != nil:
		return headUndecided, err
	case descends:
		return headDescendant, nil
	}
	return headFork, nil
}
