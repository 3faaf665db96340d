package claim

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
)

// afterHeadStore calls afterWrite once, right after the first write of the head,
// as if the writer were paused there.
type afterHeadStore struct {
	*fakeStore
	afterWrite func()
}

func (a *afterHeadStore) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	version, err := a.fakeStore.CompareAndSwap(ctx, key, expect, value, lease)
	if do := a.afterWrite; do != nil && key == headKey(0) {
		a.afterWrite = nil
		do()
	}
	return version, err
}

// TestPausedTakeoverKeepsLaterRecords guards against a paused takeover that
// overwrites a later owner's records. A host is paused after it wrote the head;
// meanwhile another takes the shard over, moves the checkpoint and writes a whole
// lap of the ring.
func TestPausedTakeoverKeepsLaterRecords(t *testing.T) {
	for extra := range byte(testRingSlots) {
		m := newLogMachine(1)
		first := newLogWriter(t, m)
		for number := range byte(3) {
			first.write(claimEntry(number, 0))
		}
		written := 4 + testRingSlots + extra
		paused := &logOwner{log: m.newLog()}
		paused.log.store = &afterHeadStore{fakeStore: m.store, afterWrite: func() {
			second := newLogWriter(t, m)
			for number := byte(4); number < written; number++ {
				second.write(claimEntry(number, 0))
			}
		}}
		found, err := paused.log.readHead(context.Background())
		require.NoError(t, err)
		_, err = paused.log.takeOver(context.Background(), found, process{ID: "paused"}, testRingSlots)
		require.ErrorIs(t, err, errTakenOver)

		later := newLogWriter(t, m)
		for number := range written {
			if number != 3 {
				require.NotNil(t, later.table.get(keyID{number}), "claim %d of %d is lost", number, written)
			}
		}
	}
}
