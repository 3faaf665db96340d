package claim

import (
	"context"
	"errors"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/infra"
)

// maxRecoveryReads is how many store reads a recovery has in flight at once.
const maxRecoveryReads = 16

// maxSegmentsPerCheckpoint is the most segments that one checkpoint writes: one
// open and one sealed for opaque keys, and the same for keys with a time.
const maxSegmentsPerCheckpoint = 4

// takeOver makes self the owner of the shard whose head was read as found, and
// returns the shard's table. It returns errTakenOver when another host was
// first. The head's compare-and-swap blocks the former owner's checkpoints; the
// takeover record blocks its claims.
func (l *shardLog) takeOver(ctx context.Context, found versionedHead, self process, ring int) (*table, error) {
	next := found.head
	if found.version == infra.NoVersion {
		next = head{Ring: ring}
	}
	if next.Epoch > 0 {
		next.Garbage = slices.Concat(next.Garbage, l.orphanNames(next))
	}
	next.Epoch++
	next.Owner = self
	next.Vacant = false
	next.Nonce = l.newID()
	l.head, l.headVersion = found.head, found.version
	if err := l.swapHead(ctx, next); err != nil {
		return nil, err
	}
	loaded, err := l.loadTable(ctx)
	if err != nil {
		return nil, err
	}
	return loaded, l.writeTakeover(ctx, loaded)
}

// orphanNames returns the names of segments that the owner of h's epoch may have
// written without a head that refers to them.
func (l *shardLog) orphanNames(h head) []string {
	var names []string
	for i := range uint64(maxSegmentsPerCheckpoint) {
		names = append(names, segmentName(h.Epoch, h.NextSegment+i))
	}
	return names
}

// writeTakeover appends the takeover record. If the former owner has written
// further records since the ring was read, it replays them first.
func (l *shardLog) writeTakeover(ctx context.Context, t *table) error {
	if l.freeSlots() < 1 {
		if err := l.checkpoint(ctx, t, t.horizon); err != nil {
			return err
		}
	}
	rec := &record{Epoch: l.head.Epoch, BatchID: l.newID(), Takeover: true}
	for {
		rec.Seq = l.lastSeq + 1
		err := l.append(ctx, rec)
		if !errors.Is(err, errTakenOver) {
			return err
		}
		if err := l.replayNext(ctx, t); err != nil {
			return err
		}
		if l.freeSlots() < 1 {
			return errTakenOver
		}
	}
}

// replayNext reads and replays the next record, which another owner wrote. It
// returns errTakenOver if the slot holds a record of this or a later epoch, or one
// that does not come next.
func (l *shardLog) replayNext(ctx context.Context, t *table) error {
	slot := l.slotOf(l.lastSeq + 1)
	found, err := l.get(ctx, slotKey(l.shard, slot))
	if err != nil {
		return err
	}
	var rec record
	if err := decode(found.Value, &rec); err != nil {
		return err
	}
	if rec.Epoch >= l.head.Epoch || rec.Seq != l.lastSeq+1 {
		return errTakenOver
	}
	l.replayRecord(t, &rec, found.Version)
	return nil
}

func (l *shardLog) replayRecord(t *table, rec *record, version infra.Version) {
	for i := range rec.Entries {
		t.apply(&rec.Entries[i])
	}
	l.advance(rec, version)
}

// loadTable builds the table from the segments and the ring. It reads each
// segment and each slot once.
func (l *shardLog) loadTable(ctx context.Context) (*table, error) {
	t := newTable(l.maxOpaque)
	t.horizon = l.head.Horizon
	segments, err := l.readSegments(ctx)
	if err != nil {
		return nil, err
	}
	for i := range segments {
		loadSegment(t, l.head.Segments[i], &segments[i])
	}
	found, err := l.readRing(ctx)
	if err != nil {
		return nil, err
	}
	l.lastSeq = l.head.Checkpoint
	return t, l.replayRing(t, found)
}

func loadSegment(t *table, ref segmentRef, s *segment) {
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
	group.SetLimit(maxRecoveryReads)
	for i, ref := range l.head.Segments {
		group.Go(func() error {
			found, err := l.get(ctx, segmentKey(l.shard, ref.Name))
			if err != nil {
				return err
			}
			if found.Version == infra.NoVersion {
				// Only a checkpoint of a later owner deletes a segment that this
				// head refers to.
				return errTakenOver
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
	group.SetLimit(maxRecoveryReads)
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

// replayRing replays the records after the checkpoint in sequence, up to the first
// slot without the next record. If the next record was written after its slot was
// read, writeTakeover detects it by the write conflict. A record of a later lap of
// the ring shows that another owner has moved the checkpoint since the head was
// read: writing to that slot would destroy the record.
func (l *shardLog) replayRing(t *table, found []infra.Entry) error {
	l.slotVersions = make([]infra.Version, len(found))
	for slot, e := range found {
		l.slotVersions[slot] = e.Version
	}
	for range found {
		e := found[l.slotOf(l.lastSeq+1)]
		if e.Version == infra.NoVersion {
			return nil
		}
		var rec record
		if err := decode(e.Value, &rec); err != nil {
			return err
		}
		if rec.Seq > l.lastSeq+1 {
			return errTakenOver
		}
		if rec.Seq < l.lastSeq+1 {
			return nil
		}
		l.replayRecord(t, &rec, e.Version)
	}
	return nil
}
