package claim

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
)

// writer is an owner that writes entries one by one.
type writer struct {
	*logOwner
	t *testing.T
}

func newWriter(t *testing.T, m *logMachine) *writer {
	o := &logOwner{log: m.newLog()}
	found, err := o.log.readHead(context.Background())
	require.NoError(t, err)
	o.table, err = o.log.takeOver(context.Background(), found, process{ID: "writer"}, logRing)
	require.NoError(t, err)
	return &writer{logOwner: o, t: t}
}

func (w *writer) write(e *entry) {
	if w.log.room() < 2 {
		require.NoError(w.t, w.log.checkpoint(context.Background(), w.table, w.table.horizon))
	}
	rec := &record{Seq: w.log.last + 1, Epoch: w.log.head.Epoch, Batch: w.log.newID(), Entries: []entry{*e}}
	require.NoError(w.t, w.log.append(context.Background(), rec))
	w.table.apply(&rec.Entries[0])
}

func claimOf(number byte, seconds int64) *entry {
	return claimed(claimOp{key: keyID{number}, seconds: seconds, hold: hold{Attempt: attemptID{number}}})
}

// headless is a store whose writes of the head get lost on the way.
type headless struct{ *fakeStore }

func (h headless) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	if key == headKey(0) {
		return 0, infra.ErrUncertain
	}
	return h.fakeStore.CompareAndSwap(ctx, key, expect, value, lease)
}

// TestCheckpointKeepsLaterChange settles a claim between the writing of its
// sealed segment and the head that names the segment.
func TestCheckpointKeepsLaterChange(t *testing.T) {
	m := newLogMachine(1)
	w := newWriter(t, m)
	w.log.segmentBytes = 2 * entryOverheadBytes
	for number := range byte(3) {
		w.write(claimOf(number, 0))
	}
	w.log.store = headless{m.store}
	require.Error(t, w.log.checkpoint(context.Background(), w.table, 0))
	require.NotEmpty(t, w.log.pending.sealed)
	w.log.store = m.store
	settled := ruleSettle(settleOp{key: keyID{0}, attempt: attemptID{0}, outcome: &Outcome{Status: 201}}, w.table.get)
	w.write(settled)
	require.NoError(t, w.log.checkpoint(context.Background(), w.table, 0))
	for number := byte(10); number < 10+2*logRing; number++ {
		w.write(claimOf(number, 0))
	}
	recovered := newWriter(t, m).table.get(keyID{0})
	require.Equal(t, stateDone, recovered.State)
	require.Equal(t, 201, recovered.Outcome.Status)
}

// TestOpaqueKeysOutliveHorizon moves the horizon past every key that carries a
// time, in the owner's memory and in the store.
func TestOpaqueKeysOutliveHorizon(t *testing.T) {
	m := newLogMachine(1)
	w := newWriter(t, m)
	w.log.segmentBytes = 2 * entryOverheadBytes
	for number := range byte(40) {
		w.write(claimOf(number, int64(number%2)*100))
	}
	require.NoError(t, w.log.checkpoint(context.Background(), w.table, 101))
	recovered := newWriter(t, m)
	for _, table := range []*table{w.table, recovered.table} {
		require.Equal(t, 20, table.opaqueCount)
		for number := range byte(40) {
			require.Equal(t, number%2 == 0, table.get(keyID{number}) != nil, "key %d", number)
			op := claimOp{key: keyID{number}, seconds: int64(number%2) * 100, hold: hold{Attempt: attemptID{99}}}
			r, _ := table.ruleClaim(op, table.get)
			require.NotEqual(t, rulingGrant, r)
		}
	}
	require.Less(t, len(recovered.log.head.Segments), 8)
}

// TestSegmentLimitExpiresOldestKeys fills more segments than a shard may have.
func TestSegmentLimitExpiresOldestKeys(t *testing.T) {
	m := newLogMachine(1)
	w := newWriter(t, m)
	w.log.segmentBytes = 2 * entryOverheadBytes
	w.log.maxSegments = 4
	for number := range byte(200) {
		w.write(claimOf(number, 1000+int64(number)))
	}
	require.LessOrEqual(t, len(w.log.head.Segments), w.log.maxSegments+segmentsPerCheckpoint)
	require.Greater(t, w.table.horizon, int64(1000))
	r, _ := w.table.ruleClaim(claimOp{key: keyID{0}, seconds: 1000}, w.table.get)
	require.Equal(t, rulingExpired, r)
}
