package claim

import (
	"context"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// takeFrom makes another host take a shard from its owner, which does not notice:
// the taker can't reach it for a moment.
func (f *fleet) takeFrom(t *testing.T, stale, taker *node, shard int) {
	f.network.setCut(func(_, to netip.AddrPort) bool { return to == stale.info.LinkAddr })
	defer f.network.setCut(nil)
	taker.rememberOwner(shard, processOf(taker.info))
	taken := taker.mustBegin(t, keyIn(shard, "taken"), Digest{})
	require.Equal(t, Run, taken.Verdict)
	require.NoError(t, taken.Grant.Finish(context.Background(), body("taken")))
	require.True(t, taker.shards[shard].owned())
	require.True(t, stale.shards[shard].owned())
}

// keyIn returns a key of the given shard.
func keyIn(shard int, name string) Key {
	k := key(name)
	for shardOf(idOf(k), testSettings().Shards) != shard {
		k.IdempotencyKey += "."
	}
	return k
}

func (n *node) mustSettle(t *testing.T) {
	ctx, cancel := within(testWait)
	defer cancel()
	require.NoError(t, n.waitIdle(ctx))
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
	require.Equal(t, Run, stale.mustBegin(t, keyIn(shard, "warm"), Digest{}).Verdict)
	var taker, holder *node
	for _, n := range f.nodes {
		if n != stale {
			taker, holder = holder, n
		}
	}
	f.takeFrom(t, stale, taker, shard)
	holder.rememberOwner(shard, processOf(taker.info))
	granted := holder.mustBegin(t, k, Digest{1})
	require.Equal(t, Run, granted.Verdict)

	holder.rememberOwner(shard, processOf(stale.info))
	require.NoError(t, granted.Grant.Finish(context.Background(), body("once")))
	holder.mustSettle(t)
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
	f.takeFrom(t, stale, taker, shard)
	taker.rememberOwner(shard, processOf(taker.info))
	stale.rememberOwner(shard, processOf(taker.info))
	require.NoError(t, first.Grant.Release(context.Background()))
	stale.mustSettle(t)
	second := taker.mustBegin(t, k, Digest{2})
	require.Equal(t, Run, second.Verdict)
	require.NoError(t, second.Grant.Finish(context.Background(), body("second")))
	taker.mustSettle(t)
	stale.rememberOwner(shard, processOf(stale.info))
	require.Equal(t, Replay, stale.mustBegin(t, k, Digest{2}).Verdict)
}
