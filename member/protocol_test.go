package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
)

// twelve is today's fleet: three hosts in each of four data centres.
func twelve(t testing.TB, seed uint64) *network {
	n := newNetwork(t, seed)
	for _, centre := range []string{"a1", "a2", "a3", "a4"} {
		n.addMany(3, centre)
	}
	n.await(20*time.Second, n.converged, "the fleet finds itself")
	return n
}

func TestDeadHostIsFoundAndReplaced(t *testing.T) {
	for seed := range uint64(10) {
		n := twelve(t, seed)
		victim := n.nodes[seed%12]
		victim.dead = true
		took := n.await(15*time.Second, func() bool { return n.views(victim, host.Dead) == 11 }, "the dead host is found")
		t.Logf("seed %d: dead host known to all after %s", seed, took)
		n.add("a1")
		n.await(15*time.Second, n.converged, "the new host is known to all")
		require.Empty(t, n.wrongDeaths)
	}
}

// Every host is killed in turn and replaced by one with a new ID at the same
// address; then all but one at once.
func TestWholeFleetReplacedAtTheSameAddresses(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		n := twelve(t, 15)
		for _, one := range n.nodes[:12] {
			n.replace(one)
			n.run(pause)
		}
		n.await(30*time.Second, n.converged, "the new hosts know each other and no old one")
		for _, one := range n.nodes[12:23] {
			n.replace(one)
		}
		took := n.await(30*time.Second, n.converged, "eleven new hosts and the one that stayed")
		t.Logf("eleven of twelve replaced at once: settled after %s", took)
	}
}

// With 20% of the datagrams lost nobody is declared dead, and a dead host still is.
func TestTwentyPercentLossDeclaresNobodyDead(t *testing.T) {
	for seed := range uint64(3) {
		n := twelve(t, seed)
		n.loss = 0.2
		n.run(3 * time.Minute)
		t.Logf("seed %d: wrong deaths in 3 minutes: %v", seed, n.wrongDeaths)
		require.Empty(t, n.wrongDeaths)
		victim := n.nodes[4]
		victim.dead = true
		n.await(30*time.Second, func() bool { return n.views(victim, host.Dead) == 11 }, "the dead host is found")
	}
}

// A paused host wakes, discards its timers and declares nobody dead; the others declare
// it only while it is silent, and take it back.
func TestPausedHostDeclaresNobodyDead(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 30 * time.Second, 3 * time.Minute} {
		n := twelve(t, 3)
		sleeper := n.nodes[5]
		n.run(3 * time.Second)
		sleeper.paused = true
		n.run(pause)
		sleeper.paused = false
		n.await(30*time.Second, n.converged, "the paused host is taken back")
		delete(n.wrongDeaths, sleeper.self.Info.ID)
		require.Empty(t, n.wrongDeaths, "pause of %s", pause)
	}
}

// One host with a link that loses most datagrams has no other declared dead.
func TestBadLinkDeclaresNobodyElseDead(t *testing.T) {
	for _, loss := range []float64{0.5, 0.8, 1} {
		n := twelve(t, 8)
		bad := n.nodes[2]
		bad.loss = loss
		n.run(3 * time.Minute)
		delete(n.wrongDeaths, bad.self.Info.ID)
		require.Empty(t, n.wrongDeaths, "loss %v", loss)
		bad.loss = 0
		n.await(30*time.Second, n.converged, "the link is mended")
	}
}

// What a host asked before a pause and could not hear the answers to is not
// held against anyone.
func TestWakingHostDropsItsTimers(t *testing.T) {
	for seed := range uint64(20) {
		n := twelve(t, seed)
		sleeper := n.nodes[5]
		n.run(time.Duration(seed) * testStep)
		sleeper.accuse(sleeper.peers[n.nodes[6].self.Info.ID], n.nodes[7].self.Info.ID)
		sleeper.accuse(sleeper.peers[n.nodes[6].self.Info.ID], n.nodes[8].self.Info.ID)
		sleeper.paused, sleeper.side = true, 1
		n.run(20 * time.Second)
		sleeper.paused, sleeper.side = false, 0
		n.run(testStep)
		require.LessOrEqual(t, len(sleeper.suspected), 1, "at most the suspicion of before")
		require.GreaterOrEqual(t, sleeper.prober.awareness, wakeAwareness)
		n.run(20 * time.Second)
		delete(n.wrongDeaths, sleeper.self.Info.ID)
		require.Empty(t, n.wrongDeaths)
	}
}

// The sides of a partition find each other by trying the dead, without seeds.
func TestPartitionHeals(t *testing.T) {
	n := twelve(t, 4)
	for _, one := range n.nodes {
		one.syncer.seeds = nil
	}
	for i, one := range n.nodes {
		one.side = i % 2
	}
	n.run(time.Minute)
	require.Equal(t, 6, n.views(n.nodes[0], host.Dead), "each side declares the other dead")
	for _, one := range n.nodes {
		one.side = 0
	}
	took := n.await(time.Minute, n.converged, "the sides find each other")
	t.Logf("healed after %s", took)
}

func TestLeavingAndFarewell(t *testing.T) {
	n := twelve(t, 5)
	leaver := n.nodes[7]
	leaver.leave(n.now)
	n.flush(leaver)
	n.await(3*time.Second, func() bool { return n.views(leaver, host.Leaving) == 11 }, "all know that it leaves")
	n.run(10 * time.Second)
	require.Equal(t, 11, n.views(leaver, host.Leaving), "it stays leaving while it answers")
	leaver.stop(n.now)
	n.flush(leaver)
	leaver.dead = true
	n.await(3*time.Second, func() bool { return n.views(leaver, host.Dead) == 11 }, "all know that it has ended")
}

// Facts reach all, newer ones win whatever the order, late hosts get the
// current ones, and a dead host's facts go with it.
func TestFactsReachAllAndEndWithTheirHost(t *testing.T) {
	n := twelve(t, 6)
	n.loss = 0.1
	for round := range 20 {
		for i, one := range n.nodes {
			require.NoError(t, one.publish(n.now, "test", "k", fmt.Appendf(nil, "%d-%02d", i, round)))
		}
		n.run(500 * time.Millisecond)
	}
	current := func(one *node) bool {
		for i, other := range n.nodes[:12] {
			if other == one || other.dead {
				continue
			}
			if one.facts[string(other.self.Info.ID)+"/k"] != fmt.Sprintf("%d-19", i) {
				return false
			}
		}
		return true
	}
	n.await(20*time.Second, func() bool { return current(n.nodes[0]) && current(n.nodes[11]) }, "the last facts arrive")
	late := n.add("a2")
	n.await(10*time.Second, func() bool { return current(late) }, "a late host gets the facts")

	n.nodes[3].dead = true
	n.await(20*time.Second, func() bool { return n.views(n.nodes[3], host.Dead) == 12 }, "the host is declared dead")
	for _, one := range n.nodes {
		require.True(t, one.dead || len(one.core.facts.byHost[n.nodes[3].self.Info.ID]) == 0)
	}
	require.Error(t, n.nodes[0].publish(n.now, "test", "k", make([]byte, MaxFactBytes+1)))
}

// The newest configuration generation gets around as fast as each host serves
// it.
func TestGenerationSpreads(t *testing.T) {
	n := twelve(t, 9)
	n.nodes[0].setGeneration(n.now, 41)
	took := n.await(6*time.Second, func() bool {
		served := 0
		for _, one := range n.nodes {
			one.setGeneration(n.now, one.newest)
			if one.self.Generation == 41 {
				served++
			}
		}
		return served == 12
	}, "all serve the generation")
	t.Logf("served by all after %s", took)
	n.run(15 * time.Second)
	for _, m := range n.nodes[5].members(n.now) {
		require.EqualValues(t, 41, m.Generation, "%s", m.ID)
	}
}

// In a fleet over several data centres hosts watch their own one only, still
// learn of all, and see a data centre that is out of reach as suspect.
func TestDataCentresInDigests(t *testing.T) {
	n := newNetwork(t, 11)
	centres := []string{"a1", "a2", "b1", "b2"}
	for _, centre := range centres {
		n.addMany(20, centre)
	}
	n.await(time.Minute, n.converged, "the fleet finds itself")
	require.Len(t, n.nodes[0].scopeNow().peers, 19)

	victim := n.nodes[70]
	victim.dead = true
	took := n.await(30*time.Second, func() bool { return n.views(victim, host.Dead) == 79 }, "a death is known everywhere")
	t.Logf("death known in all data centres after %s", took)
	require.Empty(t, n.wrongDeaths)

	for _, one := range n.nodes[60:] {
		one.side = 1
	}
	n.run(time.Minute)
	for _, m := range n.nodes[0].members(n.now) {
		if m.Place.DataCentre == "b2" {
			require.Equal(t, host.Suspect, m.State, "out of reach, not dead")
		}
	}
	require.Empty(t, n.wrongDeaths)
	require.NoError(t, n.nodes[65].publish(n.now, "test", "k", []byte("b2")))
	for _, one := range n.nodes {
		one.side = 0
	}
	n.await(time.Minute, n.converged, "the data centre is back")
}

// However much is published, a host stays under its bytes a second, and the
// membership goes on working.
func TestPublishingTooMuchStaysInBudget(t *testing.T) {
	const bound, span = 10_000.0, 20 * time.Second
	for _, size := range []int{12, 40} {
		n := newNetwork(t, 13)
		n.addMany(size, "a1")
		n.await(20*time.Second, n.converged, "the fleet finds itself")
		n.run(10 * time.Second)
		for _, one := range n.nodes {
			one.sent, one.received = 0, 0
		}
		for end := n.now.Add(span); n.now.Before(end); n.run(testStep) {
			for i, one := range n.nodes {
				payload := make([]byte, MaxFactBytes*(i%2)+8*(1-i%2))
				require.NoError(t, one.publish(n.now, "test", fmt.Sprint(n.rand.IntN(20)), payload))
			}
		}
		most := 0.0
		for _, one := range n.nodes {
			most = max(most, float64(one.sent+one.received)/span.Seconds())
			require.LessOrEqual(t, one.largest, maxDatagramBytes+tagBytes)
		}
		t.Logf("%d hosts: at most %.0f B/s sent and received", size, most)
		require.Less(t, most, bound)
		victim := n.nodes[3]
		victim.dead = true
		n.await(15*time.Second, func() bool { return n.views(victim, host.Dead) == size-1 }, "the dead host is found")
		require.Empty(t, n.wrongDeaths)
	}
}

// The same seed gives the same datagrams, so that what went wrong once can be
// run again.
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
		for i, one := range n.nodes {
			one.setGeneration(n.now, uint64(i))
			require.NoError(t, one.publish(n.now, "test", "k", []byte{byte(i)}))
		}
		n.run(10 * time.Second)
		n.add("a1")
		n.run(5 * time.Second)
		return sum.Sum64()
	}
	require.Equal(t, trace(), trace())
}
