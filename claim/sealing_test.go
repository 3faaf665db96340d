package claim

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
)

// logWriter is an owner that writes one entry per record.
type logWriter struct {
	*logOwner
	t *testing.T
}

func newLogWriter(t *testing.T, m *logMachine) *logWriter {
	o := &logOwner{log: m.newLog()}
	found, err := o.log.readHead(context.Background())
	require.NoError(t, err)
	o.table, err = o.log.takeOver(context.Background(), found, process{ID: "writer"}, testRingSlots)
	require.NoError(t, err)
	return &logWriter{logOwner: o, t: t}
}

func (w *logWriter) write(e *entry) {
	if w.log.freeSlots() < 2 {
		require.NoError(w.t, w.log.checkpoint(context.Background(), w.table, w.table.horizon))
	}
	rec := &record{Seq: w.log.lastSeq + 1, Epoch: w.log.head.Epoch, BatchID: w.log.newID(), Entries: []entry{*e}}
	require.NoError(w.t, w.log.append(context.Background(), rec))
	w.table.apply(&rec.Entries[0])
}

func claimEntry(number byte, keyTime int64) *entry {
	return claimedEntry(claimOp{key: keyID{number}, keyTime: keyTime, holder: claimHolder{Attempt: attemptID{number}}})
}

// headLossStore is a store that drops all writes of the head.
type headLossStore struct{ *fakeStore }

func (h headLossStore) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	if key == headKey(0) {
		return 0, infra.ErrUncertain
	}
	return h.fakeStore.CompareAndSwap(ctx, key, expect, value, lease)
}

// TestCheckpointKeepsLaterChange guards against a checkpoint that seals an outdated
// entry: a claim is settled after its sealed segment was written and before the
// head that refers to the segment.
func TestCheckpointKeepsLaterChange(t *testing.T) {
	m := newLogMachine(1)
	w := newLogWriter(t, m)
	w.log.segmentBytes = 2 * entryOverheadBytes
	for number := range byte(3) {
		w.write(claimEntry(number, 0))
	}
	w.log.store = headLossStore{m.store}
	require.Error(t, w.log.checkpoint(context.Background(), w.table, 0))
	require.NotEmpty(t, w.log.pending.sealed)
	w.log.store = m.store
	settled := settledEntry(settleOp{key: keyID{0}, attempt: attemptID{0}, outcome: &Outcome{Status: 201}}, w.table.get)
	w.write(settled)
	require.NoError(t, w.log.checkpoint(context.Background(), w.table, 0))
	for number := byte(10); number < 10+2*testRingSlots; number++ {
		w.write(claimEntry(number, 0))
	}
	recovered := newLogWriter(t, m).table.get(keyID{0})
	require.Equal(t, stateDone, recovered.State)
	require.Equal(t, 201, recovered.Outcome.Status)
}

// TestOpaqueKeysOutliveHorizon moves the horizon past every key that carries a
// time. The opaque keys must remain in the owner's table and in the store.
func TestOpaqueKeysOutliveHorizon(t *testing.T) {
	m := newLogMachine(1)
	w := newLogWriter(t, m)
	w.log.segmentBytes = 2 * entryOverheadBytes
	for number := range byte(40) {
		w.write(claimEntry(number, int64(number%2)*100))
	}
	require.NoError(t, w.log.checkpoint(context.Background(), w.table, 101))
	recovered := newLogWriter(t, m)
	for _, table := range []*table{w.table, recovered.table} {
		require.Equal(t, 20, table.opaqueCount)
		for number := range byte(40) {
			require.Equal(t, number%2 == 0, table.get(keyID{number}) != nil, "key %d", number)
			op := claimOp{key: keyID{number}, keyTime: int64(number%2) * 100, holder: claimHolder{Attempt: attemptID{99}}}
			r, _ := table.evaluateClaim(op, table.get)
			require.NotEqual(t, resultGrant, r)
		}
	}
	require.Less(t, len(recovered.log.head.Segments), 8)
}

// TestSegmentLimitExpiresOldestKeys writes more segments than a shard may have: the
// oldest keys must expire early.
func TestSegmentLimitExpiresOldestKeys(t *testing.T) {
	m := newLogMachine(1)
	w := newLogWriter(t, m)
	w.log.segmentBytes = 2 * entryOverheadBytes
	w.log.maxSegments = 4
	for number := range byte(200) {
		w.write(claimEntry(number, 1000+int64(number)))
	}
	require.LessOrEqual(t, len(w.log.head.Segments), w.log.maxSegments+maxSegmentsPerCheckpoint)
	require.Greater(t, w.table.horizon, int64(1000))
	r, _ := w.table.evaluateClaim(claimOp{key: keyID{0}, keyTime: 1000}, w.table.get)
	require.Equal(t, resultExpired, r)
}
