package claim

import (
	"context"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// takeOverUnnoticed makes taker take over a shard while its owner, stale, is
// unreachable and does not notice.
func (f *fleet) takeOverUnnoticed(t *testing.T, stale, taker *node, shard int) {
	f.network.setCut(func(_, to netip.AddrPort) bool { return to == stale.info.LinkAddr })
	defer f.network.setCut(nil)
	taker.rememberOwner(shard, processOf(taker.info))
	taken := taker.mustBegin(t, keyInShard(shard, "taken"), Digest{})
	require.Equal(t, Run, taken.Verdict)
	require.NoError(t, taken.Grant.Finish(context.Background(), outcomeWithBody("taken")))
	require.True(t, taker.shards[shard].owned())
	require.True(t, stale.shards[shard].owned())
}

// keyInShard returns a key that belongs to the given shard.
func keyInShard(shard int, name string) Key {
	k := key(name)
	for shardOf(hashKey(k), testSettings().Shards) != shard {
		k.IdempotencyKey += "."
	}
	return k
}

func (n *node) waitSettled(t *testing.T) {
	ctx, cancel := withTimeout(testTimeout)
	defer cancel()
	require.NoError(t, n.waitIdle(ctx))
}

// TestStaleOwnerCannotAcknowledgeOutcome guards against a lost outcome. The outcome
// goes to an owner that lost the shard before the claim was made and has not
// noticed. If that owner acknowledges it, the holder forgets its attempt and a
// repeat runs again. spec/claims.pml found this (mutant SETTLE_UNFENCED).
func TestStaleOwnerCannotAcknowledgeOutcome(t *testing.T) {
	f := newFleet(t, 3, 8, testSettings())
	k := key("a")
	shard := shardOf(hashKey(k), testSettings().Shards)
	stale := f.preferredOwner(k)
	require.Equal(t, Run, stale.mustBegin(t, keyInShard(shard, "warm"), Digest{}).Verdict)
	var taker, holder *node
	for _, n := range f.nodes {
		if n != stale {
			taker, holder = holder, n
		}
	}
	f.takeOverUnnoticed(t, stale, taker, shard)
	holder.rememberOwner(shard, processOf(taker.info))
	granted := holder.mustBegin(t, k, Digest{1})
	require.Equal(t, Run, granted.Verdict)

	holder.rememberOwner(shard, processOf(stale.info))
	require.NoError(t, granted.Grant.Finish(context.Background(), outcomeWithBody("once")))
	holder.waitSettled(t)
	for _, n := range f.nodes {
		require.Equal(t, Replay, n.mustBegin(t, k, Digest{1}).Verdict)
	}
}

// TestStaleOwnerCannotReportMismatch guards against a wrong Mismatch verdict from an
// owner that has lost the shard, for a key that was since released and used for
// another request.
func TestStaleOwnerCannotReportMismatch(t *testing.T) {
	f := newFleet(t, 2, 9, testSettings())
	k := key("a")
	shard := shardOf(hashKey(k), testSettings().Shards)
	stale := f.preferredOwner(k)
	taker := f.nodes[0]
	if taker == stale {
		taker = f.nodes[1]
	}
	first := stale.mustBegin(t, k, Digest{1})
	f.takeOverUnnoticed(t, stale, taker, shard)
	taker.rememberOwner(shard, processOf(taker.info))
	stale.rememberOwner(shard, processOf(taker.info))
	require.NoError(t, first.Grant.Release(context.Background()))
	stale.waitSettled(t)
	second := taker.mustBegin(t, k, Digest{2})
	require.Equal(t, Run, second.Verdict)
	require.NoError(t, second.Grant.Finish(context.Background(), outcomeWithBody("second")))
	taker.waitSettled(t)
	stale.rememberOwner(shard, processOf(stale.info))
	require.Equal(t, Replay, stale.mustBegin(t, k, Digest{2}).Verdict)
}
