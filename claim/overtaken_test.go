package claim

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
)

// afterHead is a store that lets something happen right after the first write
// of a head, as when the writer is paused there.
type afterHead struct {
	*fakeStore
	do func()
}

func (a *afterHead) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	version, err := a.fakeStore.CompareAndSwap(ctx, key, expect, value, lease)
	if do := a.do; do != nil && key == headKey(0) {
		a.do = nil
		do()
	}
	return version, err
}

// A host that takes a shard over is paused after it wrote the head. Meanwhile
// another takes the shard, moves the checkpoint and writes a whole round of the
// ring. The first must not write over those records.
func TestOvertakenTakeoverDestroysNoRecord(t *testing.T) {
	for extra := range byte(logRing) {
		m := newLogMachine(1)
		first := newWriter(t, m)
		for number := range byte(3) {
			first.write(claimOf(number, 0))
		}
		written := 4 + logRing + extra
		paused := &logOwner{log: m.newLog()}
		paused.log.store = &afterHead{fakeStore: m.store, do: func() {
			second := newWriter(t, m)
			for number := byte(4); number < written; number++ {
				second.write(claimOf(number, 0))
			}
		}}
		found, err := paused.log.readHead(context.Background())
		require.NoError(t, err)
		_, err = paused.log.takeOver(context.Background(), found, process{ID: "paused"}, logRing)
		require.ErrorIs(t, err, errDeposed)

		later := newWriter(t, m)
		for number := range written {
			if number != 3 {
				require.NotNil(t, later.table.get(keyID{number}), "claim %d of %d is lost", number, written)
			}
		}
	}
}
