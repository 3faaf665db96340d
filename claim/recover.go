package claim

import (
	"context"
	"errors"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/infra"
)

// recoveryReads is how many reads a recovery has under way at once.
const recoveryReads = 16

// segmentsPerCheckpoint is the most segments that one checkpoint writes: an
// open and a sealed one of each kind.
const segmentsPerCheckpoint = 4

// takeOver makes self the owner of the shard whose head was read as found, and
// returns the shard's table. It returns errDeposed when another host was
// first. The head's compare-and-swap stops the former owner's checkpoints; the
// takeover record stops its claims.
func (l *shardLog) takeOver(ctx context.Context, found versionedHead, self process, ring int) (*table, error) {
	next := found.head
	if found.version == infra.NoVersion {
		next = head{Ring: ring}
	}
	if next.Epoch > 0 {
		next.Garbage = slices.Concat(next.Garbage, l.orphans(next))
	}
	next.Epoch++
	next.Owner = self
	next.Vacant = false
	next.Nonce = l.newID()
	l.head, l.headVersion = found.head, found.version
	if err := l.swapHead(ctx, next); err != nil {
		return nil, err
	}
	folded, err := l.fold(ctx)
	if err != nil {
		return nil, err
	}
	return folded, l.writeTakeover(ctx, folded)
}

// orphans are the segments that the owner of h's epoch may have written without
// naming them in a head.
func (l *shardLog) orphans(h head) []string {
	var names []string
	for i := range uint64(segmentsPerCheckpoint) {
		names = append(names, segmentName(h.Epoch, h.NextSegment+i))
	}
	return names
}

// writeTakeover appends the takeover record. Records that the former owner
// wrote in the meantime are folded first.
func (l *shardLog) writeTakeover(ctx context.Context, t *table) error {
	if l.room() < 1 {
		if err := l.checkpoint(ctx, t, t.horizon); err != nil {
			return err
		}
	}
	rec := &record{Epoch: l.head.Epoch, Batch: l.newID(), Takeover: true}
	for {
		rec.Seq = l.last + 1
		err := l.append(ctx, rec)
		if !errors.Is(err, errDeposed) {
			return err
		}
		if err := l.foldNext(ctx, t); err != nil {
			return err
		}
		if l.room() < 1 {
			return errDeposed
		}
	}
}

// foldNext folds the record that another owner wrote at the next place. A
// record of a later epoch means that the shard is lost again.
func (l *shardLog) foldNext(ctx context.Context, t *table) error {
	slot := l.slotOf(l.last + 1)
	found, err := l.get(ctx, slotKey(l.shard, slot))
	if err != nil {
		return err
	}
	var rec record
	if err := decode(found.Value, &rec); err != nil {
		return err
	}
	if rec.Epoch >= l.head.Epoch || rec.Seq != l.last+1 {
		return errDeposed
	}
	l.foldRecord(t, &rec, found.Version)
	return nil
}

func (l *shardLog) foldRecord(t *table, rec *record, version infra.Version) {
	for i := range rec.Entries {
		t.apply(&rec.Entries[i])
	}
	l.advance(rec, version)
}

// fold reads the segments and the ring: at most one read for each.
func (l *shardLog) fold(ctx context.Context) (*table, error) {
	t := newTable(l.maxOpaque)
	t.horizon = l.head.Horizon
	segments, err := l.readSegments(ctx)
	if err != nil {
		return nil, err
	}
	for i := range segments {
		foldSegment(t, l.head.Segments[i], &segments[i])
	}
	found, err := l.readRing(ctx)
	if err != nil {
		return nil, err
	}
	l.last = l.head.Checkpoint
	return t, l.foldRing(t, found)
}

func foldSegment(t *table, ref segmentRef, s *segment) {
	for i := range s.Entries {
		if ref.Sealed {
			t.applySealed(&s.Entries[i])
			continue
		}
		t.apply(&s.Entries[i])
	}
}

func (l *shardLog) readSegments(ctx context.Context) ([]segment, error) {
	segments := make([]segment, len(l.head.Segments))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(recoveryReads)
	for i, ref := range l.head.Segments {
		group.Go(func() error {
			found, err := l.get(ctx, segmentKey(l.shard, ref.Name))
			if err != nil {
				return err
			}
			if found.Version == infra.NoVersion {
				// Only a later owner's checkpoint deletes a segment that this
				// head names.
				return errDeposed
			}
			return decode(found.Value, &segments[i])
		})
	}
	return segments, group.Wait()
}

func (l *shardLog) readRing(ctx context.Context) ([]infra.Entry, error) {
	found := make([]infra.Entry, l.head.Ring)
	var foundMu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(recoveryReads)
	for slot := range found {
		group.Go(func() error {
			e, err := l.get(ctx, slotKey(l.shard, slot))
			foundMu.Lock()
			defer foundMu.Unlock()
			found[slot] = e
			return err
		})
	}
	return found, group.Wait()
}

// foldRing folds the records after the checkpoint, as far as they follow each
// other. A slot that was read before its record was written ends the fold;
// writeTakeover then finds the record by its conflict. A slot with a record of
// a later round of the ring shows that another owner has moved the checkpoint
// since the head was read: writing there would destroy that record.
func (l *shardLog) foldRing(t *table, found []infra.Entry) error {
	l.slots = make([]infra.Version, len(found))
	for slot, e := range found {
		l.slots[slot] = e.Version
	}
	for range found {
		e := found[l.slotOf(l.last+1)]
		if e.Version == infra.NoVersion {
			return nil
		}
		var rec record
		if err := decode(e.Value, &rec); err != nil {
			return err
		}
		if rec.Seq > l.last+1 {
			return errDeposed
		}
		if rec.Seq < l.last+1 {
			return nil
		}
		l.foldRecord(t, &rec, e.Version)
	}
	return nil
}
