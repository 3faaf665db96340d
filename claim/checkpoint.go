package claim

import (
	"context"
	"slices"

	"github.com/galenaseam/galenaseam/infra"
)

// pendingHead is a checkpoint whose segments are written and whose head may
// have been written. It is tried again unchanged until that is settled.
type pendingHead struct {
	next   head
	sealed []*entry
}

// checkpoint folds the whole ring into the segments, so that its slots may be
// written again, moves the horizon to at least the given Unix second if it is
// later, and drops what lies before it. The segments are written first; the
// head's compare-and-swap then makes them count.
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
	l.shrink(t, p)
	return nil
}

// shrink seals and forgets in the table what the checkpoint did in the store.
func (l *shardLog) shrink(t *table, p *pendingHead) {
	l.tableMu.Lock()
	defer l.tableMu.Unlock()
	for _, e := range p.sealed {
		t.seal(e)
	}
	if p.next.Horizon > t.horizon {
		t.forget(p.next.Horizon)
	}
}

func (l *shardLog) prepare(ctx context.Context, t *table, horizon int64) (*pendingHead, error) {
	next := l.head
	next.Nonce = l.newID()
	next.Checkpoint = l.last
	next.Horizon = l.nextHorizon(horizon)
	next.Segments = slices.Clone(l.head.Segments)
	next.Garbage = l.collectGarbage(ctx)
	dropExpired(&next)
	p := &pendingHead{next: next}
	for _, opaque := range [...]bool{false, true} {
		if err := l.writeKind(ctx, t, p, opaque); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// nextHorizon moves the horizon further than asked when the segments are too
// many: the keys of the oldest one then expire early.
func (l *shardLog) nextHorizon(asked int64) int64 {
	next := max(l.head.Horizon, asked)
	excess := len(l.head.Segments) - l.maxSegments
	for _, ref := range l.head.Segments {
		if excess <= 0 {
			break
		}
		if !ref.Opaque && ref.Sealed {
			next = max(next, ref.MaxSeconds+1)
			excess--
		}
	}
	return next
}

// dropExpired takes the segments out of h whose keys all lie before its
// horizon.
func dropExpired(h *head) {
	h.Segments = slices.DeleteFunc(h.Segments, func(ref segmentRef) bool {
		expired := !ref.Opaque && ref.MaxSeconds < h.Horizon
		if expired {
			h.Garbage = append(h.Garbage, ref.Name)
		}
		return expired
	})
}

// garbagePerCheckpoint bounds the deletions of one checkpoint.
const garbagePerCheckpoint = 32

// collectGarbage deletes segments that no head names any more, and returns the
// names that are left to delete or whose deletion is not sure.
func (l *shardLog) collectGarbage(ctx context.Context) []string {
	now := min(len(l.head.Garbage), garbagePerCheckpoint)
	left := slices.Clone(l.head.Garbage[now:])
	for _, name := range l.head.Garbage[:now] {
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

// writeKind replaces the open segment of one kind by one that holds all its
// open entries. When they are too many the oldest are sealed.
func (l *shardLog) writeKind(ctx context.Context, t *table, p *pendingHead, opaque bool) error {
	open := t.openOf(opaque, p.next.Horizon)
	old := slices.IndexFunc(p.next.Segments, func(ref segmentRef) bool {
		return ref.Opaque == opaque && !ref.Sealed
	})
	if old >= 0 {
		p.next.Garbage = append(p.next.Garbage, p.next.Segments[old].Name)
		p.next.Segments = slices.Delete(p.next.Segments, old, old+1)
	}
	seal, keep := splitForSealing(open, l.segmentBytes)
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

// splitForSealing returns the oldest entries to seal, so that those kept are
// within half of a segment, and nothing when all fit into one. Running claims
// are sealed last.
func splitForSealing(open []*entry, segmentBytes int) (seal, keep []*entry) {
	total := 0
	for _, e := range open {
		total += e.sizeBound()
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
				excess -= e.sizeBound()
				continue
			}
			keep = append(keep, e)
		}
		open = keep
	}
	return seal, keep
}

// writeSealed adds entries, without holder and body, to the newest sealed
// segment of the kind, or begins another when that is full.
func (l *shardLog) writeSealed(ctx context.Context, p *pendingHead, opaque bool, seal []*entry) error {
	var merged []*entry
	growing := slices.IndexFunc(p.next.Segments, func(ref segmentRef) bool {
		return ref.Opaque == opaque && ref.Sealed && ref.Count < l.segmentBytes/sealedEntryBytes
	})
	if growing >= 0 {
		ref := p.next.Segments[growing]
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
		p.next.Segments = slices.Delete(p.next.Segments, growing, growing+1)
		p.next.Garbage = append(p.next.Garbage, ref.Name)
	}
	for _, e := range seal {
		merged = append(merged, e.compact())
		p.sealed = append(p.sealed, e)
	}
	return l.writeSegment(ctx, p, segmentRef{Opaque: opaque, Sealed: true}, merged)
}

// writeSegment writes entries under the next name and puts it into p's head.
// Only the owner of an epoch writes under its names, and no head names the
// segment yet, so that an earlier try may be overwritten.
func (l *shardLog) writeSegment(ctx context.Context, p *pendingHead, ref segmentRef, entries []*entry) error {
	s := segment{Entries: make([]entry, len(entries))}
	for i, e := range entries {
		s.Entries[i] = *e
		ref.MaxSeconds = max(ref.MaxSeconds, e.Seconds)
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
	if _, err := l.swap(ctx, key, found.Version, value); err != nil {
		return Error.Wrap(err)
	}
	p.next.NextSegment++
	p.next.Segments = append(p.next.Segments, ref)
	return nil
}
