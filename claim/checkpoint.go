package claim

import (
	"context"
	"slices"

	"github.com/galenaseam/galenaseam/infra"
)

// pendingCheckpoint is a checkpoint whose segments are written and whose head
// write may or may not have succeeded. The same head is retried until the result
// is known.
type pendingCheckpoint struct {
	next   head
	sealed []*entry
}

// checkpoint moves all records of the ring into segments, so that their slots
// can be reused. It advances the horizon to at least the given Unix second and
// drops the keys before it. The segments are written first and take effect with
// the head's compare-and-swap.
func (l *shardLog) checkpoint(ctx context.Context, t *table, horizon int64) error {
	if l.pending == nil {
		prepared, err := l.prepare(ctx, t, horizon)
		if err != nil {
			return err
		}
		l.pending = prepared
	}
	p := l.pending
	if err := l.swapHead(ctx, p.next); err != nil {
		return err
	}
	l.pending = nil
	l.sealAndExpire(t, p)
	return nil
}

// sealAndExpire applies a checkpoint that is in the store to the table.
func (l *shardLog) sealAndExpire(t *table, p *pendingCheckpoint) {
	l.tableMu.Lock()
	defer l.tableMu.Unlock()
	for _, e := range p.sealed {
		t.seal(e)
	}
	if p.next.Horizon > t.horizon {
		t.dropExpired(p.next.Horizon)
	}
}

// prepare deletes unused segments, writes the segments of a checkpoint, and returns
// the checkpoint with the head that is to refer to them.
func (l *shardLog) prepare(ctx context.Context, t *table, horizon int64) (*pendingCheckpoint, error) {
	next := l.head
	next.Nonce = l.newID()
	next.Checkpoint = l.lastSeq
	next.Horizon = l.nextHorizon(horizon)
	next.Segments = slices.Clone(l.head.Segments)
	next.Garbage = l.collectGarbage(ctx)
	dropExpiredSegments(&next)
	p := &pendingCheckpoint{next: next}
	for _, opaque := range [...]bool{false, true} {
		if err := l.writeSegmentsOfKind(ctx, t, p, opaque); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// nextHorizon returns the horizon asked for, or a later one if the shard has too
// many segments: the keys of its oldest segments then expire early.
func (l *shardLog) nextHorizon(asked int64) int64 {
	next := max(l.head.Horizon, asked)
	excess := len(l.head.Segments) - l.maxSegments
	for _, ref := range l.head.Segments {
		if excess <= 0 {
			break
		}
		if !ref.Opaque && ref.Sealed {
			next = max(next, ref.MaxKeyTime+1)
			excess--
		}
	}
	return next
}

// dropExpiredSegments removes the segments from h whose keys are all before its
// horizon.
func dropExpiredSegments(h *head) {
	h.Segments = slices.DeleteFunc(h.Segments, func(ref segmentRef) bool {
		expired := !ref.Opaque && ref.MaxKeyTime < h.Horizon
		if expired {
			h.Garbage = append(h.Garbage, ref.Name)
		}
		return expired
	})
}

// maxDeletesPerCheckpoint bounds the segment deletions of one checkpoint.
const maxDeletesPerCheckpoint = 32

// collectGarbage deletes segments that the head no longer refers to. It returns
// the names that remain to be deleted, including those whose deletion failed.
func (l *shardLog) collectGarbage(ctx context.Context) []string {
	count := min(len(l.head.Garbage), maxDeletesPerCheckpoint)
	left := slices.Clone(l.head.Garbage[count:])
	for _, name := range l.head.Garbage[:count] {
		if l.deleteSegment(ctx, name) != nil {
			left = append(left, name)
		}
	}
	return left
}

func (l *shardLog) deleteSegment(ctx context.Context, name string) error {
	key := segmentKey(l.shard, name)
	found, err := l.get(ctx, key)
	if err != nil || found.Version == infra.NoVersion {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return l.store.CompareAndDelete(ctx, key, found.Version)
}

// writeSegmentsOfKind writes the open entries of one kind, opaque or not, into a
// new open segment that replaces the previous one. If they exceed one segment, it
// seals the oldest.
func (l *shardLog) writeSegmentsOfKind(ctx context.Context, t *table, p *pendingCheckpoint, opaque bool) error {
	entries := t.openEntries(opaque, p.next.Horizon)
	old := slices.IndexFunc(p.next.Segments, func(ref segmentRef) bool {
		return ref.Opaque == opaque && !ref.Sealed
	})
	if old >= 0 {
		p.next.Garbage = append(p.next.Garbage, p.next.Segments[old].Name)
		p.next.Segments = slices.Delete(p.next.Segments, old, old+1)
	}
	seal, keep := splitForSealing(entries, l.segmentBytes)
	if len(seal) > 0 {
		if err := l.writeSealed(ctx, p, opaque, seal); err != nil {
			return err
		}
	}
	if len(keep) == 0 {
		return nil
	}
	return l.writeSegment(ctx, p, segmentRef{Opaque: opaque}, keep)
}

// splitForSealing divides the open entries into those to seal and those to keep
// open. If all fit into one segment, it seals none; otherwise it seals the oldest,
// running claims last, until the rest fits into half a segment.
func splitForSealing(open []*entry, segmentBytes int) (seal, keep []*entry) {
	total := 0
	for _, e := range open {
		total += e.maxEncodedBytes()
	}
	if total <= segmentBytes {
		return nil, open
	}
	excess := total - segmentBytes/2
	for _, running := range [...]bool{false, true} {
		keep = nil
		for _, e := range open {
			if excess > 0 && (e.State == stateClaimed) == running {
				seal = append(seal, e)
				excess -= e.maxEncodedBytes()
				continue
			}
			keep = append(keep, e)
		}
		open = keep
	}
	return seal, keep
}

// writeSealed adds entries, without their holders and bodies, to the sealed
// segment of the kind that still has room, or starts a new one. Either way it
// writes under a new name.
func (l *shardLog) writeSealed(ctx context.Context, p *pendingCheckpoint, opaque bool, seal []*entry) error {
	var merged []*entry
	partial := slices.IndexFunc(p.next.Segments, func(ref segmentRef) bool {
		return ref.Opaque == opaque && ref.Sealed && ref.Count < l.segmentBytes/approxSealedEntryBytes
	})
	if partial >= 0 {
		ref := p.next.Segments[partial]
		found, err := l.get(ctx, segmentKey(l.shard, ref.Name))
		if err != nil {
			return err
		}
		var s segment
		if err := decode(found.Value, &s); err != nil {
			return err
		}
		for i := range s.Entries {
			merged = append(merged, &s.Entries[i])
		}
		p.next.Segments = slices.Delete(p.next.Segments, partial, partial+1)
		p.next.Garbage = append(p.next.Garbage, ref.Name)
	}
	for _, e := range seal {
		merged = append(merged, e.compact())
		p.sealed = append(p.sealed, e)
	}
	return l.writeSegment(ctx, p, segmentRef{Opaque: opaque, Sealed: true}, merged)
}

// writeSegment writes entries under the next segment name and adds the segment
// to p's head. Only the owner of an epoch writes under the epoch's names, and no
// head refers to the segment yet, so it may overwrite an earlier try.
func (l *shardLog) writeSegment(ctx context.Context, p *pendingCheckpoint, ref segmentRef, entries []*entry) error {
	s := segment{Entries: make([]entry, len(entries))}
	for i, e := range entries {
		s.Entries[i] = *e
		ref.MaxKeyTime = max(ref.MaxKeyTime, e.KeyTime)
	}
	value, err := encode(s)
	if err != nil {
		return err
	}
	ref.Name = segmentName(p.next.Epoch, p.next.NextSegment)
	ref.Count = len(entries)
	key := segmentKey(l.shard, ref.Name)
	found, err := l.get(ctx, key)
	if err != nil {
		return err
	}
	if _, err := l.compareAndSwap(ctx, key, found.Version, value); err != nil {
		return Error.Wrap(err)
	}
	p.next.NextSegment++
	p.next.Segments = append(p.next.Segments, ref)
	return nil
}
