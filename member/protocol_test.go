package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
)

// newTwelveHostNetwork returns a converged fleet of today's size: three hosts in
// each of four data centres.
func newTwelveHostNetwork(t testing.TB, seed uint64) *network {
	n := newNetwork(t, seed)
	for _, centre := range []string{"a1", "a2", "a3", "a4"} {
		n.addMany(3, centre)
	}
	n.await(20*time.Second, n.converged, "the fleet converges")
	return n
}

func TestDeadHostIsFoundAndReplaced(t *testing.T) {
	for seed := range uint64(10) {
		n := newTwelveHostNetwork(t, seed)
		victim := n.nodes[seed%12]
		victim.dead = true
		took := n.await(15*time.Second, func() bool { return n.countViews(victim, host.Dead) == 11 }, "the dead host is found")
		t.Logf("seed %d: dead host known to all after %s", seed, took)
		n.add("a1")
		n.await(15*time.Second, n.converged, "the new host is known to all")
		require.Empty(t, n.falseDeaths)
	}
}

// Guards against hosts that stay in the view after a new host took their address.
// Every host is killed in turn and replaced by one with a new ID at the same
// address, then all but one at once.
func TestWholeFleetReplacedAtTheSameAddresses(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		n := newTwelveHostNetwork(t, 15)
		for _, h := range n.nodes[:12] {
			n.replace(h)
			n.run(pause)
		}
		n.await(30*time.Second, n.converged, "the new hosts know each other and no old one")
		for _, h := range n.nodes[12:23] {
			n.replace(h)
		}
		took := n.await(30*time.Second, n.converged, "eleven new hosts and the one that stayed")
		t.Logf("eleven of twelve replaced at once: settled after %s", took)
	}
}

// With 20% of the datagrams lost, no living host may be declared dead, and a dead
// host must still be.
func TestTwentyPercentLossDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(3) {
		n := newTwelveHostNetwork(t, seed)
		n.loss = 0.2
		n.run(3 * time.Minute)
		t.Logf("seed %d: wrong deaths in 3 minutes: %v", seed, n.falseDeaths)
		require.Empty(t, n.falseDeaths)
		victim := n.nodes[4]
		victim.dead = true
		n.await(30*time.Second, func() bool { return n.countViews(victim, host.Dead) == 11 }, "the dead host is found")
	}
}

// A host whose process resumes after a pause must not declare any other dead. The
// others may declare it dead while it is silent, but must readmit it.
func TestPausedHostDeclaresNobodyDead(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 30 * time.Second, 3 * time.Minute} {
		n := newTwelveHostNetwork(t, 3)
		pausedHost := n.nodes[5]
		n.run(3 * time.Second)
		pausedHost.paused = true
		n.run(pause)
		pausedHost.paused = false
		n.await(30*time.Second, n.converged, "the paused host is readmitted")
		delete(n.falseDeaths, pausedHost.self.Info.ID)
		require.Empty(t, n.falseDeaths, "pause of %s", pause)
	}
}

// A host whose link loses most datagrams must not cause any other host to be
// declared dead.
func TestLossyLinkCausesNoOtherFalseDeaths(t *testing.T) {
	for _, loss := range []float64{0.5, 0.8, 1} {
		n := newTwelveHostNetwork(t, 8)
		lossy := n.nodes[2]
		lossy.loss = loss
		n.run(3 * time.Minute)
		delete(n.falseDeaths, lossy.self.Info.ID)
		require.Empty(t, n.falseDeaths, "loss %v", loss)
		lossy.loss = 0
		n.await(30*time.Second, n.converged, "the link is restored")
	}
}

// Guards against accusations after a pause: probes that a host sent before the
// pause, and whose answers it could not receive, must not accuse the targets.
func TestResumedHostDiscardsStaleTimers(t *testing.T) {
	for seed := range uint64(20) {
		n := newTwelveHostNetwork(t, seed)
		pausedHost := n.nodes[5]
		n.run(time.Duration(seed) * testStep)
		pausedHost.accuse(pausedHost.peers[n.nodes[6].self.Info.ID], n.nodes[7].self.Info.ID)
		pausedHost.accuse(pausedHost.peers[n.nodes[6].self.Info.ID], n.nodes[8].self.Info.ID)
		pausedHost.paused, pausedHost.partition = true, 1
		n.run(20 * time.Second)
		pausedHost.paused, pausedHost.partition = false, 0
		n.run(testStep)
		require.LessOrEqual(t, len(pausedHost.suspected), 1, "at most the suspicion from before the pause")
		require.GreaterOrEqual(t, pausedHost.prober.awareness, awarenessAfterPause)
		n.run(20 * time.Second)
		delete(n.falseDeaths, pausedHost.self.Info.ID)
		require.Empty(t, n.falseDeaths)
	}
}

// The sides of a partition must find each other by probing dead hosts, without
// seeds.
func TestPartitionHeals(t *testing.T) {
	n := newTwelveHostNetwork(t, 4)
	for _, h := range n.nodes {
		h.syncer.seeds = nil
	}
	for i, h := range n.nodes {
		h.partition = i % 2
	}
	n.run(time.Minute)
	require.Equal(t, 6, n.countViews(n.nodes[0], host.Dead), "each side declares the other dead")
	for _, h := range n.nodes {
		h.partition = 0
	}
	took := n.await(time.Minute, n.converged, "the sides find each other")
	t.Logf("healed after %s", took)
}

func TestLeaveThenStop(t *testing.T) {
	n := newTwelveHostNetwork(t, 5)
	leaver := n.nodes[7]
	leaver.leave(n.now)
	n.flush(leaver)
	n.await(3*time.Second, func() bool { return n.countViews(leaver, host.Leaving) == 11 }, "all hosts know that it is leaving")
	n.run(10 * time.Second)
	require.Equal(t, 11, n.countViews(leaver, host.Leaving), "it stays in state leaving while it answers")
	leaver.stop(n.now)
	n.flush(leaver)
	leaver.dead = true
	n.await(3*time.Second, func() bool { return n.countViews(leaver, host.Dead) == 11 }, "all hosts know that it has stopped")
}

// Facts must reach all hosts. Newer versions win in whatever order they arrive, a
// host that joins later gets the current ones, and the facts of a dead host are
// removed.
func TestFactsReachAllAndExpireWithTheirHost(t *testing.T) {
	n := newTwelveHostNetwork(t, 6)
	n.loss = 0.1
	for round := range 20 {
		for i, h := range n.nodes {
			require.NoError(t, h.publish(n.now, "test", "k", fmt.Appendf(nil, "%d-%02d", i, round)))
		}
		n.run(500 * time.Millisecond)
	}
	current := func(h *node) bool {
		for i, other := range n.nodes[:12] {
			if other == h || other.dead {
				continue
			}
			if h.facts[string(other.self.Info.ID)+"/k"] != fmt.Sprintf("%d-19", i) {
				return false
			}
		}
		return true
	}
	n.await(20*time.Second, func() bool { return current(n.nodes[0]) && current(n.nodes[11]) }, "the last facts arrive")
	late := n.add("a2")
	n.await(10*time.Second, func() bool { return current(late) }, "a host that joins later gets the facts")

	n.nodes[3].dead = true
	n.await(20*time.Second, func() bool { return n.countViews(n.nodes[3], host.Dead) == 12 }, "the host is declared dead")
	for _, h := range n.nodes {
		require.True(t, h.dead || len(h.core.facts.byHost[n.nodes[3].self.Info.ID]) == 0)
	}
	require.Error(t, n.nodes[0].publish(n.now, "test", "k", make([]byte, MaxFactBytes+1)))
}

// The newest configuration generation must spread within six seconds when each
// host serves it as soon as it hears of it.
func TestGenerationSpreads(t *testing.T) {
	n := newTwelveHostNetwork(t, 9)
	n.nodes[0].setGeneration(n.now, 41)
	took := n.await(6*time.Second, func() bool {
		served := 0
		for _, h := range n.nodes {
			h.setGeneration(n.now, h.newestGeneration)
			if h.self.Generation == 41 {
				served++
			}
		}
		return served == 12
	}, "all hosts serve the generation")
	t.Logf("served by all after %s", took)
	n.run(15 * time.Second)
	for _, m := range n.nodes[5].members(n.now) {
		require.EqualValues(t, 41, m.Generation, "%s", m.ID)
	}
}

// In a large fleet over several data centres, hosts monitor their own data centre
// only. They must still learn of all hosts, and see the hosts of an unreachable
// data centre as suspect.
func TestLargeFleetAcrossDataCentres(t *testing.T) {
	n := newNetwork(t, 11)
	centres := []string{"a1", "a2", "b1", "b2"}
	for _, centre := range centres {
		n.addMany(20, centre)
	}
	n.await(time.Minute, n.converged, "the fleet converges")
	require.Len(t, n.nodes[0].currentScope().peers, 19)

	victim := n.nodes[70]
	victim.dead = true
	took := n.await(30*time.Second, func() bool { return n.countViews(victim, host.Dead) == 79 }, "the death is known in all data centres")
	t.Logf("death known in all data centres after %s", took)
	require.Empty(t, n.falseDeaths)

	for _, h := range n.nodes[60:] {
		h.partition = 1
	}
	n.run(time.Minute)
	for _, m := range n.nodes[0].members(n.now) {
		if m.Place.DataCentre == "b2" {
			require.Equal(t, host.Suspect, m.State, "unreachable, not dead")
		}
	}
	require.Empty(t, n.falseDeaths)
	require.NoError(t, n.nodes[65].publish(n.now, "test", "k", []byte("b2")))
	for _, h := range n.nodes {
		h.partition = 0
	}
	n.await(time.Minute, n.converged, "the data centre is reachable again")
}

// However much is published, a host's traffic must stay under the bound, and
// failure detection must go on working.
func TestPublishingTooMuchStaysInBudget(t *testing.T) {
	const bound, span = 10_000.0, 20 * time.Second
	for _, size := range []int{12, 40} {
		n := newNetwork(t, 13)
		n.addMany(size, "a1")
		n.await(20*time.Second, n.converged, "the fleet converges")
		n.run(10 * time.Second)
		for _, h := range n.nodes {
			h.sent, h.received = 0, 0
		}
		for end := n.now.Add(span); n.now.Before(end); n.run(testStep) {
			for i, h := range n.nodes {
				payload := make([]byte, MaxFactBytes*(i%2)+8*(1-i%2))
				require.NoError(t, h.publish(n.now, "test", fmt.Sprint(n.rand.IntN(20)), payload))
			}
		}
		most := 0.0
		for _, h := range n.nodes {
			most = max(most, float64(h.sent+h.received)/span.Seconds())
			require.LessOrEqual(t, h.largest, maxDatagramBytes+tagBytes)
		}
		t.Logf("%d hosts: at most %.0f B/s sent and received", size, most)
		require.Less(t, most, bound)
		victim := n.nodes[3]
		victim.dead = true
		n.await(15*time.Second, func() bool { return n.countViews(victim, host.Dead) == size-1 }, "the dead host is found")
		require.Empty(t, n.falseDeaths)
	}
}

// The same seed must give the same datagrams, so that a failure can be
// reproduced.
func TestSameSeedSameDatagrams(t *testing.T) {
	trace := func() uint64 {
		sum := xxh3.New()
		n := newNetwork(t, 14)
		n.tap = func(datagram []byte) { _, _ = sum.Write(datagram) }
		for _, centre := range []string{"a1", "a2", "b1", "b2"} {
			n.addMany(18, centre)
		}
		n.loss = 0.05
		n.run(5 * time.Second)
		n.nodes[5].dead = true
		for i, h := range n.nodes {
			h.setGeneration(n.now, uint64(i))
			require.NoError(t, h.publish(n.now, "test", "k", []byte{byte(i)}))
		}
		n.run(10 * time.Second)
		n.add("a1")
		n.run(5 * time.Second)
		return sum.Sum64()
	}
	require.Equal(t, trace(), trace())
}
