package claim

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform"
)

// takeFrom makes another host take a shard while its owner does not notice.
func takeFrom(t *testing.T, taker *node, shard int) {
	sh := taker.shards[shard]
	found, err := sh.log.readHead(context.Background())
	require.NoError(t, err)
	require.NotEqual(t, platform.NoVersion, found.version)
	require.NoError(t, sh.takeOver(context.Background(), found, processOf(taker.info)))
}

// TestStaleOwnerCannotAcknowledgeOutcome sends an outcome to an owner that was
// deposed before the claim and does not know. It was found by spec/claims.pml
// (mutant SETTLE_UNFENCED): the stale owner acknowledged what it had never seen,
// the holder forgot its attempt, and a repeat ran again.
func TestStaleOwnerCannotAcknowledgeOutcome(t *testing.T) {
	f := newFleet(t, 3, 8, testSettings())
	k := key("a")
	shard := shardOf(idOf(k), testSettings().Shards)
	stale := f.hinted(k)
	warm := key("warm")
	for i := 0; shardOf(idOf(warm), testSettings().Shards) != shard; i++ {
		warm.IdempotencyKey += "m"
	}
	require.Equal(t, Run, stale.mustBegin(t, warm, Digest{}).Verdict)
	var taker, holder *node
	for _, n := range f.nodes {
		if n != stale {
			taker, holder = holder, n
		}
	}
	takeFrom(t, taker, shard)
	holder.rememberOwner(shard, processOf(taker.info))
	granted := holder.mustBegin(t, k, Digest{1})
	require.Equal(t, Run, granted.Verdict)

	holder.rememberOwner(shard, processOf(stale.info))
	require.NoError(t, granted.Grant.Finish(context.Background(), body("once")))
	ctx, cancel := within(testWait)
	defer cancel()
	require.NoError(t, holder.waitIdle(ctx))
	for _, n := range f.nodes {
		require.Equal(t, Replay, n.mustBegin(t, k, Digest{1}).Verdict)
	}
}

// TestStaleOwnerCannotCallMismatch asks a deposed owner about a key that was
// released and used for another request since.
func TestStaleOwnerCannotCallMismatch(t *testing.T) {
	f := newFleet(t, 2, 9, testSettings())
	k := key("a")
	shard := shardOf(idOf(k), testSettings().Shards)
	stale := f.hinted(k)
	taker := f.nodes[0]
	if taker == stale {
		taker = f.nodes[1]
	}
	first := stale.mustBegin(t, k, Digest{1})
	takeFrom(t, taker, shard)
	taker.rememberOwner(shard, processOf(taker.info))
	stale.rememberOwner(shard, processOf(taker.info))
	require.NoError(t, first.Grant.Release(context.Background()))
	second := taker.mustBegin(t, k, Digest{2})
	require.Equal(t, Run, second.Verdict)
	require.NoError(t, second.Grant.Finish(context.Background(), body("second")))
	ctx, cancel := within(testWait)
	defer cancel()
	require.NoError(t, taker.waitIdle(ctx))
	stale.rememberOwner(shard, processOf(stale.info))
	require.Equal(t, Replay, stale.mustBegin(t, k, Digest{2}).Verdict)
}
