package config

import (
	"context"
)

// lineage reads the chain of records behind a head.
type lineage struct {
	head *head
	from source
}

// record reads one record of the chain by its hash.
func (l lineage) record(ctx context.Context, hash Hash) (Record, error) {
	if hash == l.head.hash() {
		return l.head.Record, nil
	}
	have := contentOf(nil)
	if err := have.need(ctx, l.from, []Hash{hash}); err != nil {
		return Record{}, err
	}
	return decodeRecord(have.byHash[hash])
}

// walk calls visit for the records from the newest at or before a generation
// backwards, until visit returns false or the chain ends.
func (l lineage) walk(ctx context.Context, start Generation, visit func(Record, Hash) bool) error {
	if l.head == nil || start == 0 {
		return nil
	}
	hash := l.nearest(start)
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

// nearest returns the oldest record that the head names at or after a
// generation.
func (l lineage) nearest(start Generation) Hash {
	for _, named := range l.head.Recent {
		if named.Generation >= start {
			return named.Record
		}
	}
	return l.head.hash()
}

// at returns the record of one generation.
func (l lineage) at(ctx context.Context, generation Generation) (Record, Hash, error) {
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

// operation finds an operation among the generations after since.
func (l lineage) operation(ctx context.Context, id string, since Generation) (recent, bool, error) {
	if l.head == nil {
		return recent{}, false, nil
	}
	for _, named := range l.head.Recent {
		if named.OperationID == id {
			return named, true, nil
		}
	}
	oldest := l.head.Recent[0].Generation
	if since+1 >= oldest {
		return recent{}, false, nil
	}
	var found recent
	err := l.walk(ctx, oldest-1, func(record Record, hash Hash) bool {
		if record.Operation.ID == id {
			found = recent{record.Generation, hash, id}
		}
		return found.Generation == 0 && record.Generation > since+1
	})
	return found, found.Generation != 0, err
}

// descends settles verdictWalk: whether the head's chain holds the served one.
func (l lineage) descends(ctx context.Context, served *head) (bool, error) {
	_, hash, err := l.at(ctx, served.generation())
	return hash == served.hash(), err
}

// judgeFully is judge with the chain walked where that is needed.
func judgeFully(ctx context.Context, served, shown *head, from source) (verdict, error) {
	seen := judge(served, shown)
	if seen != verdictWalk {
		return seen, nil
	}
	descends, err := lineage{shown, from}.descends(ctx, served)
	switch {
	case err != nil:
		return verdictWalk, err
	case descends:
		return verdictFollow, nil
	}
	return verdictFork, nil
}
