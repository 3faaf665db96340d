package member

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a fleet that stays split after a lagging host list. Each host
// first has one other host as its only seed, so that pairs form. Once the seeds
// are complete, the fleet must converge within two seconds.
func TestFleetConvergesOnceSeedListsAreComplete(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		n := newNetwork(t, seed)
		n.addMany(12, "a1")
		var all []netip.AddrPort
		for i, h := range n.nodes {
			all = append(all, h.self.Info.LinkAddr)
			h.syncer.seeds = []netip.AddrPort{n.nodes[i^1].self.Info.LinkAddr}
		}
		n.run(time.Second)
		for _, h := range n.nodes {
			h.syncer.seeds = all
		}
		n.await(2*time.Second, n.converged, "the pairs merge into one fleet")
	}
}

// Guards against a host that counts as joined while the host list lags. A list
// that does not show the host itself may lack others that started at the same
// time.
func TestJoinCompletesOnlyAfterHostListShowsSelf(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(2, "a1")
	h, other := n.nodes[0], n.nodes[1]
	both := []netip.AddrPort{h.self.Info.LinkAddr, other.self.Info.LinkAddr}
	h.setSeeds(n.now, nil)
	other.setSeeds(n.now, nil)
	n.run(3 * time.Second)
	require.False(t, h.hasJoined(n.now), "the list does not show the host")
	h.setSeeds(n.now, both[:1])
	require.True(t, h.hasJoined(n.now), "the list shows the host and no other")
	other.setSeeds(n.now, both)
	require.False(t, other.hasJoined(n.now), "a listed host has not been asked")
	n.run(time.Second)
	require.True(t, other.hasJoined(n.now))
	require.Len(t, other.peers, 1)
}

// A dead seed or a host list that never shows the host must not keep it from
// counting as joined.
func TestJoinCompletesDespiteDeadSeedOrMissingEntry(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(3, "a1")
	n.nodes[2].dead = true
	h, unlisted := n.nodes[0], n.nodes[1]
	h.setSeeds(n.now, []netip.AddrPort{h.self.Info.LinkAddr, n.nodes[2].self.Info.LinkAddr})
	unlisted.setSeeds(n.now, nil)
	n.run(2 * time.Second)
	require.True(t, h.hasJoined(n.now), "the listed host is dead")
	n.run(10 * time.Second)
	require.True(t, unlisted.hasJoined(n.now), "the list never shows this host")
}
