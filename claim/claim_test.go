package claim

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestRepeatGetsRecordedAnswer(t *testing.T) {
	f := newFleet(t, 3, 1, testSettings())
	first := f.nodes[0].mustBegin(t, key("a"), Digest{1})
	require.Equal(t, Run, first.Verdict)
	require.NoError(t, first.Grant.Finish(context.Background(), outcomeWithBody("order 7")))

	for _, n := range f.nodes {
		again := n.mustBegin(t, key("a"), Digest{1})
		require.Equal(t, Replay, again.Verdict)
		require.Equal(t, outcomeWithBody("order 7"), again.Outcome)
		require.Equal(t, Mismatch, n.mustBegin(t, key("a"), Digest{2}).Verdict)
	}
	other := Key{Workspace: "v", Service: "orders", IdempotencyKey: "a"}
	require.Equal(t, Run, f.nodes[1].mustBegin(t, other, Digest{2}).Verdict)
}

func TestRepeatJoinsRunningRequest(t *testing.T) {
	f := newFleet(t, 3, 2, testSettings())
	first := f.nodes[0].mustBegin(t, key("a"), Digest{1})
	require.Equal(t, Run, first.Verdict)
	large := outcomeWithBody(string(make([]byte, 200_000)))
	joined := make(chan Decision, len(f.nodes))
	for _, n := range f.nodes {
		go func() { joined <- n.mustBegin(t, key("a"), Digest{1}) }()
	}
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, first.Grant.Finish(context.Background(), large))
	replays := 0
	for range f.nodes {
		d := <-joined
		if d.Verdict == Replay {
			require.Equal(t, large, d.Outcome)
			replays++
			continue
		}
		// A repeat that came after the outcome was settled finds a truncated answer.
		require.Equal(t, AlreadyRan, d.Verdict)
	}
	require.Positive(t, replays)
	require.Eventually(t, func() bool {
		return f.nodes[2].mustBegin(t, key("a"), Digest{1}).Verdict == AlreadyRan
	}, 5*time.Second, 5*time.Millisecond)
}

func TestReleaseLetsRepeatRun(t *testing.T) {
	f := newFleet(t, 3, 3, testSettings())
	first := f.nodes[0].mustBegin(t, key("a"), Digest{1})
	joined := make(chan Decision, 1)
	go func() { joined <- f.nodes[1].mustBegin(t, key("a"), Digest{1}) }()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, first.Grant.Release(context.Background()))
	second := <-joined
	require.Equal(t, Run, second.Verdict)
	require.NoError(t, second.Grant.Finish(context.Background(), outcomeWithBody("ran")))
	require.Equal(t, Replay, f.nodes[0].mustBegin(t, key("a"), Digest{1}).Verdict)
}

func TestKilledHolderLeavesUnknown(t *testing.T) {
	f := newFleet(t, 4, 4, testSettings())
	holder := f.nodes[0]
	k := key("a")
	if f.preferredOwner(k) == holder {
		holder = f.nodes[1]
	}
	require.Equal(t, Run, holder.mustBegin(t, k, Digest{1}).Verdict)
	f.kill(holder)
	// A new process at the same address must not answer for the dead one.
	restarted := holder.info
	restarted.ID = "host-reborn"
	f.start(t, restarted, 4, testSettings())
	for _, n := range f.nodes {
		if n != holder {
			require.Equal(t, Unknown, n.mustBegin(t, k, Digest{1}).Verdict)
		}
	}
}

func (f *fleet) preferredOwner(k Key) *node {
	shard := shardOf(hashKey(k), testSettings().Shards)
	id := f.nodes[0].preferredOwner(shard)
	for _, n := range f.nodes {
		if n.info.ID == id {
			return n
		}
	}
	return nil
}

func TestOutageRefusesInTimeAndRecovers(t *testing.T) {
	settings := testSettings()
	settings.ClaimTimeout = 500 * time.Millisecond
	f := newFleet(t, 3, 5, settings)
	require.Equal(t, Run, f.nodes[0].mustBegin(t, key("warm"), Digest{}).Verdict)
	f.store.setFaults(storeFaults{down: true})
	started := time.Now()
	require.Equal(t, Unavailable, f.nodes[1].mustBegin(t, key("a"), Digest{1}).Verdict)
	require.Less(t, time.Since(started), 5*time.Second)
	f.store.setFaults(storeFaults{})
	require.Eventually(t, func() bool {
		return f.nodes[2].mustBegin(t, key("a"), Digest{1}).Verdict == Run
	}, 10*time.Second, 10*time.Millisecond)
}

func TestExpiredKeyIsNeverRun(t *testing.T) {
	settings := testSettings()
	settings.Retention = time.Hour
	f := newFleet(t, 2, 6, settings)
	n := f.nodes[0]
	old, err := uuid.NewV7()
	require.NoError(t, err)
	stamp := time.Now().Add(-2 * time.Hour).UnixMilli()
	for i := range uuidTimeBytes {
		old[i] = byte(stamp >> (8 * (uuidTimeBytes - 1 - i)))
	}
	// Enough batches for checkpoints that move the horizon.
	for i := range 200 {
		d := n.mustBegin(t, key(uuid.Must(uuid.NewV7()).String()), Digest{byte(i)})
		require.Equal(t, Run, d.Verdict)
		require.NoError(t, d.Grant.Finish(context.Background(), outcomeWithBody("x")))
	}
	require.Equal(t, Expired, n.mustBegin(t, key(old.String()), Digest{}).Verdict)
}

func TestDrainHandsOffShards(t *testing.T) {
	f := newFleet(t, 3, 7, testSettings())
	k := key("a")
	owner := f.preferredOwner(k)
	d := owner.mustBegin(t, k, Digest{1})
	require.NoError(t, d.Grant.Finish(context.Background(), outcomeWithBody("kept")))
	ctx, cancel := withTimeout(10 * time.Second)
	defer cancel()
	require.NoError(t, owner.Drain(ctx))
	for _, n := range f.nodes {
		if n != owner {
			require.Equal(t, Replay, n.mustBegin(t, k, Digest{1}).Verdict)
		}
	}
}

func TestOutageStillAnswersRepeats(t *testing.T) {
	f := newFleet(t, 3, 8, testSettings())
	n := f.nodes[0]
	d := n.mustBegin(t, key("a"), Digest{1})
	require.NoError(t, d.Grant.Finish(context.Background(), outcomeWithBody("kept")))
	running := n.mustBegin(t, key("b"), Digest{1})
	n.waitDurable(t, key("a"))
	f.store.setFaults(storeFaults{down: true})
	for _, other := range f.nodes {
		require.Equal(t, Replay, other.mustBegin(t, key("a"), Digest{1}).Verdict)
	}
	// A repeat gets the outcome of a finished run before the store is back, and
	// the outcome is kept afterwards.
	require.NoError(t, running.Grant.Finish(context.Background(), outcomeWithBody("late")))
	require.Equal(t, Replay, f.nodes[1].mustBegin(t, key("b"), Digest{1}).Verdict)
	f.store.setFaults(storeFaults{})
	n.waitSettled(t)
	require.Equal(t, Replay, f.nodes[2].mustBegin(t, key("b"), Digest{1}).Verdict)
}

// waitDurable waits until this host has settled all its attempts for k.
func (n *node) waitDurable(t *testing.T, k Key) {
	t.Helper()
	require.Eventually(t, func() bool {
		n.liveMu.Lock()
		defer n.liveMu.Unlock()
		for _, a := range n.live {
			if a.key == hashKey(k) {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
}

func TestShardCountMismatchRefusesToStart(t *testing.T) {
	f := newFleet(t, 1, 9, testSettings())
	settings := testSettings()
	settings.Shards++
	ep := &endpoint{network: newNetwork(), addr: infoOf(1).LinkAddr}
	s, err := New(Config{Store: f.store, View: f.nodes[0].view, Caller: ep, Registrar: ep, Settings: settings})
	require.NoError(t, err)
	ctx, cancel := withTimeout(testTimeout)
	defer cancel()
	require.ErrorContains(t, s.Run(ctx), "shards")
	require.NoError(t, ctx.Err())
}
