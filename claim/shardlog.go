package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// errTakenOver says that another host has taken over the shard.
var errTakenOver = errors.New("claim: shard taken over by another host")

// shardLog writes and recovers the log of one shard. Only one goroutine uses it.
type shardLog struct {
	store        infra.Store
	shard        int
	timeout      time.Duration
	segmentBytes int
	maxSegments  int
	maxOpaque    int
	newID        func() attemptID
	// tableMu guards the table against concurrent readers while a checkpoint
	// seals and drops entries.
	tableMu sync.Locker

	head        head
	headVersion infra.Version
	// slotVersions are the store versions of the ring's slots as last known here.
	slotVersions []infra.Version
	// lastSeq is the sequence number of the newest record known to be in the log.
	lastSeq uint64
	// pending is a checkpoint whose head write has an unknown result.
	pending *pendingCheckpoint
}

func (l *shardLog) slotOf(seq uint64) int { return int(seq % uint64(l.head.Ring)) }

// freeSlots returns how many records fit before a checkpoint is needed.
func (l *shardLog) freeSlots() int {
	return l.head.Ring - int(l.lastSeq-l.head.Checkpoint)
}

func (l *shardLog) get(ctx context.Context, key string) (infra.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	found, err := l.store.Get(ctx, key)
	return found, Error.Wrap(err)
}

func (l *shardLog) compareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte) (infra.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return l.store.CompareAndSwap(ctx, key, expect, value, infra.NoLease)
}

// append writes rec as the next record. After any error but errTakenOver, the
// caller may retry with the same record, but not with another batch, as the first
// write may still take effect. The write compares the slot's version with that of
// the record it replaces: the first writer wins, and the write of a paused former
// owner fails on a changed version.
func (l *shardLog) append(ctx context.Context, rec *record) error {
	value, err := encode(rec)
	if err != nil {
		return err
	}
	slot := l.slotOf(rec.Seq)
	key := slotKey(l.shard, slot)
	version, err := l.compareAndSwap(ctx, key, l.slotVersions[slot], value)
	if err == nil {
		l.advance(rec, version)
		return nil
	}
	if !errors.Is(err, infra.ErrConflict) {
		return Error.Wrap(err)
	}
	return l.resolveConflict(ctx, key, rec)
}

// resolveConflict reads back a slot that was written by someone else or by an
// earlier try. If it holds rec's own batch, an earlier reply was lost.
func (l *shardLog) resolveConflict(ctx context.Context, key string, rec *record) error {
	found, err := l.get(ctx, key)
	if err != nil {
		return err
	}
	var other record
	if err := decode(found.Value, &other); err != nil {
		return err
	}
	if other.Seq == rec.Seq && other.BatchID == rec.BatchID {
		l.advance(rec, found.Version)
		return nil
	}
	return errTakenOver
}

func (l *shardLog) advance(rec *record, version infra.Version) {
	l.slotVersions[l.slotOf(rec.Seq)] = version
	l.lastSeq = rec.Seq
}

// swapHead replaces the head record with next, which must have a new Nonce. If
// the result of the write is unknown, it reads the head back.
func (l *shardLog) swapHead(ctx context.Context, next head) error {
	value, err := encode(next)
	if err != nil {
		return err
	}
	version, err := l.compareAndSwap(ctx, headKey(l.shard), l.headVersion, value)
	if err == nil {
		l.head, l.headVersion = next, version
		return nil
	}
	if !errors.Is(err, infra.ErrConflict) && !errors.Is(err, infra.ErrUncertain) {
		return Error.Wrap(err)
	}
	uncertain := err
	found, err := l.readHead(ctx)
	if err != nil {
		return err
	}
	if found.head.Nonce == next.Nonce {
		l.head, l.headVersion = next, found.version
		return nil
	}
	if found.version == l.headVersion {
		return Error.Wrap(uncertain)
	}
	return errTakenOver
}

// versionedHead is a head record with its store version.
type versionedHead struct {
	head    head
	version infra.Version
}

func (l *shardLog) readHead(ctx context.Context) (versionedHead, error) {
	found, err := l.get(ctx, headKey(l.shard))
	if err != nil {
		return versionedHead{}, err
	}
	read := versionedHead{version: found.Version}
	if found.Version == infra.NoVersion {
		return read, nil
	}
	err = decode(found.Value, &read.head)
	return read, err
}
