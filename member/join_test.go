package member

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIslandsMeetOnceAllAreListed starts hosts whose first host list shows them
// one neighbour each, as a list that lags does. Once it shows all, the fleet
// must be one within two seconds, not at the next rare look at the list.
func TestIslandsMeetOnceAllAreListed(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		n := newNetwork(t, seed)
		n.addMany(12, "a1")
		var all []netip.AddrPort
		for i, one := range n.nodes {
			all = append(all, one.self.Info.LinkAddr)
			one.syncer.seeds = []netip.AddrPort{n.nodes[i^1].self.Info.LinkAddr}
		}
		n.run(time.Second)
		for _, one := range n.nodes {
			one.syncer.seeds = all
		}
		n.await(2*time.Second, n.converged, "the islands meet")
	}
}

// TestHostHasMetTheOthersOnceTheListShowsIt starts a host whose list lags: an
// empty list says nothing of hosts that started at the same time.
func TestHostHasMetTheOthersOnceTheListShowsIt(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(2, "a1")
	one, other := n.nodes[0], n.nodes[1]
	both := []netip.AddrPort{one.self.Info.LinkAddr, other.self.Info.LinkAddr}
	one.setSeeds(n.now, nil)
	other.setSeeds(n.now, nil)
	n.run(3 * time.Second)
	require.False(t, one.met(n.now), "the list does not show the host")
	one.setSeeds(n.now, both[:1])
	require.True(t, one.met(n.now), "the list shows the host and no other")
	other.setSeeds(n.now, both)
	require.False(t, other.met(n.now), "a listed host has not been asked")
	n.run(time.Second)
	require.True(t, other.met(n.now))
	require.Len(t, other.peers, 1)
}

// TestHostDoesNotWaitForADeadHostOrAList starts hosts that can't meet what they
// wait for.
func TestHostDoesNotWaitForADeadHostOrAList(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(3, "a1")
	n.nodes[2].dead = true
	one, unlisted := n.nodes[0], n.nodes[1]
	one.setSeeds(n.now, []netip.AddrPort{one.self.Info.LinkAddr, n.nodes[2].self.Info.LinkAddr})
	unlisted.setSeeds(n.now, nil)
	n.run(2 * time.Second)
	require.True(t, one.met(n.now), "the listed host is dead")
	n.run(10 * time.Second)
	require.True(t, unlisted.met(n.now), "the list never shows this host")
}
