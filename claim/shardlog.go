package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// errDeposed says that another host has taken the shard over.
var errDeposed = errors.New("claim: shard taken over by another host")

// shardLog writes and recovers one shard's log. It is used by one goroutine.
type shardLog struct {
	store        infra.Store
	shard        int
	timeout      time.Duration
	segmentBytes int
	maxSegments  int
	maxOpaque    int
	newID        func() attemptID
	// tableMu guards the table against its other readers while it shrinks.
	tableMu sync.Locker

	head        head
	headVersion infra.Version
	// slots are the versions of the ring's keys as this owner knows them.
	slots []infra.Version
	// last is the newest record that is known to be in the log.
	last uint64
	// pending is a checkpoint that is not settled.
	pending *pendingHead
}

func (l *shardLog) slotOf(seq uint64) int { return int(seq % uint64(l.head.Ring)) }

// room returns how many records fit before a checkpoint is needed.
func (l *shardLog) room() int {
	return l.head.Ring - int(l.last-l.head.Checkpoint)
}

func (l *shardLog) get(ctx context.Context, key string) (infra.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	found, err := l.store.Get(ctx, key)
	return found, Error.Wrap(err)
}

func (l *shardLog) swap(ctx context.Context, key string, expect infra.Version, value []byte) (infra.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return l.store.CompareAndSwap(ctx, key, expect, value, infra.NoLease)
}

// append writes rec as the next record. It may be called again with the same
// record after any error but errDeposed; with a record of another batch it
// must not, as the first may still land. The slot is compared with the version
// of the record that it replaces: whoever wrote first wins, and the write of a
// paused owner finds another version.
func (l *shardLog) append(ctx context.Context, rec *record) error {
	value, err := encode(rec)
	if err != nil {
		return err
	}
	slot := l.slotOf(rec.Seq)
	key := slotKey(l.shard, slot)
	version, err := l.swap(ctx, key, l.slots[slot], value)
	if err == nil {
		l.advance(rec, version)
		return nil
	}
	if !errors.Is(err, infra.ErrConflict) {
		return Error.Wrap(err)
	}
	return l.settleConflict(ctx, key, rec)
}

// settleConflict reads back the slot that another write has taken. Finding the
// own batch means that an earlier answer was lost.
func (l *shardLog) settleConflict(ctx context.Context, key string, rec *record) error {
	found, err := l.get(ctx, key)
	if err != nil {
		return err
	}
	var other record
	if err := decode(found.Value, &other); err != nil {
		return err
	}
	if other.Seq == rec.Seq && other.Batch == rec.Batch {
		l.advance(rec, found.Version)
		return nil
	}
	return errDeposed
}

func (l *shardLog) advance(rec *record, version infra.Version) {
	l.slots[l.slotOf(rec.Seq)] = version
	l.last = rec.Seq
}

// swapHead replaces the head record by next, which must have a fresh Nonce. A
// lost answer is settled by reading back.
func (l *shardLog) swapHead(ctx context.Context, next head) error {
	value, err := encode(next)
	if err != nil {
		return err
	}
	version, err := l.swap(ctx, headKey(l.shard), l.headVersion, value)
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
	return errDeposed
}

// versionedHead is a head record as read.
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
