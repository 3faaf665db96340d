package directory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// Guards against an upstream that gets work for ever, because it was removed before the host that
// others follow had started, or had read everything again.
func TestRemovalsBeforeAListingReachFollowers(t *testing.T) {
	t.Parallel()
	entry, err := cbor.Marshal(instance.Entry{Service: "s"})
	require.NoError(t, err)
	listing := func(asOf int64, ids ...string) *Directory {
		d := newLoneDirectory(&testStore{changed: make(chan struct{})}, nil)
		var items []Item
		for _, id := range ids {
			items = append(items, Item{Key: "up/" + id, Value: entry, Revision: 3})
		}
		d.applySnapshot(items, infra.Position{Revision: asOf}, time.Now())
		return d
	}
	follow := func(follower, followed *Directory) {
		answer, err := followed.serveFollow(t.Context(), followRequest{
			AsOf: follower.Revision(), UpstreamsAsOf: follower.upstreamsAsOf.Revision, Era: new(int64), Apart: true,
		})
		require.NoError(t, err)
		require.True(t, follower.applyAnswer(answer, netip.AddrPort{}))
	}
	knows := func(d *Directory, id instance.ID) bool {
		_, known := d.config.Instances.Lookup(id)
		return known
	}
	started := listing(9, "stays") // "removed" was removed at 7
	first, second := listing(5, "stays", "removed"), listing(6, "stays", "removed")
	follow(first, started)
	require.False(t, knows(first, "removed"), "by a host that has started since")
	follow(second, first)
	require.False(t, knows(second, "removed"), "by one that has got everything from it")
	require.True(t, knows(first, "stays") && knows(second, "stays"))

	ahead := listing(9, "stays", "removed") // and is ahead with changes of upstreams
	require.True(t, ahead.applyItems([]Item{{Key: "up/removed", Revision: 12, Removed: true}}, infra.Position{Revision: 12}, infra.Position{}, time.Now()))
	behind, same := listing(5, "stays", "removed"), listing(9, "stays", "removed")
	follow(behind, ahead)
	require.False(t, knows(behind, "removed"))
	follow(same, behind)
	require.False(t, knows(same, "removed"), "from one at the same position that has a gap")
	require.True(t, knows(same, "stays"))

	reread := listing(4, "stays")
	reread.applySnapshot([]Item{{Key: "up/stays", Value: entry, Revision: 3}}, infra.Position{Revision: 10}, time.Now())
	third := listing(6, "stays", "removed")
	follow(third, reread)
	require.False(t, knows(third, "removed"), "by one that has missed that it came and left")
}
