package upstream

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/stretchr/testify/require"
)

const (
	testStep             = 20 * time.Millisecond
	testPool             = "engines"
	maxGossipDelayMillis = 800
)

// simulatedServer is the actual state of one upstream, as opposed to what hosts
// believe about it.
type simulatedServer struct {
	id      ID
	listing infra.Listing
	leaving bool
	dead    bool
	// calls counts the calls sent to it, whether they reached it or not.
	calls int
}

type gossipMessage struct {
	arrives time.Time
	from    host.ID
	update  claimUpdate
}

// fleet is several hosts' registries and the simulated upstreams that they share,
// with a simulated clock and a seeded random generator.
type fleet struct {
	now          time.Time
	rand         *rand.Rand
	hosts        []*registry
	servers      []*simulatedServer
	linkBroken   map[host.ID]bool // hosts that reach no upstream
	inFlight     map[host.ID][]gossipMessage
	callsPerStep int // over all hosts
}

func newFleet(seed uint64, hosts, servers, calls int) *fleet {
	f := &fleet{
		now:          time.Unix(1000, 0),
		rand:         rand.New(rand.NewPCG(seed, 0)),
		linkBroken:   make(map[host.ID]bool),
		inFlight:     make(map[host.ID][]gossipMessage),
		callsPerStep: calls,
	}
	for i := range servers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		f.servers = append(f.servers, &simulatedServer{id: ID(addr.String()), listing: infra.Listing{Addr: addr, Pool: testPool, Place: host.Place{DataCentre: "a"}}})
	}
	for i := range hosts {
		info := host.Info{ID: host.ID(fmt.Sprintf("h%d", i)), Place: host.Place{DataCentre: "a"}}
		f.hosts = append(f.hosts, newRegistry(info, DefaultTiming()))
	}
	f.applyList()
	return f
}

func (f *fleet) applyList() {
	var listings []infra.Listing
	for _, s := range f.servers {
		listings = append(listings, s.listing)
	}
	var members []host.Member
	for _, h := range f.hosts {
		members = append(members, host.Member{Info: h.self})
	}
	for _, h := range f.hosts {
		h.applyList(f.now, listings)
		h.assignIdleProbes(newHostsByPlace(h.self, members))
	}
}

func (f *fleet) server(id ID) *simulatedServer {
	for _, s := range f.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// observe returns the evidence that a host's call or probe gets from an upstream.
func (f *fleet) observe(h *registry, id ID) Evidence {
	s := f.server(id)
	switch {
	case f.linkBroken[h.self.ID]:
		return ConnectionLost
	case s.dead:
		return RefusedConnection
	case s.leaving:
		return ReportedLeaving
	}
	return Answered
}

func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(testStep) {
		for range f.callsPerStep {
			f.call(f.hosts[f.rand.IntN(len(f.hosts))])
		}
		for _, h := range f.hosts {
			f.stepHost(h)
		}
	}
}

func (f *fleet) call(h *registry) {
	live := f.live(h)
	if len(live) == 0 {
		return
	}
	id := live[f.rand.IntN(len(live))]
	f.server(id).calls++
	h.report(f.now, id, f.observe(h, id))
	h.updateState(f.now, h.entries[id])
}

func (f *fleet) live(h *registry) []ID {
	var live []*entry
	for _, s := range f.servers {
		if e, ok := h.entries[s.id]; ok && e.State == Live {
			live = append(live, e)
		}
	}
	var ids []ID
	for _, up := range subset(h.self, live, 0) {
		ids = append(ids, up.ID)
	}
	return ids
}

func (f *fleet) stepHost(h *registry) {
	var pending []gossipMessage
	for _, m := range f.inFlight[h.self.ID] {
		if m.arrives.After(f.now) {
			pending = append(pending, m)
			continue
		}
		h.recordClaim(f.now, m.from, m.update.id, m.update.kind)
	}
	f.inFlight[h.self.ID] = pending
	h.updateStates(f.now)
	for _, up := range h.dueProbes(f.now) {
		h.recordProbe(f.now, f.now, up.ID, f.observe(h, up.ID))
	}
	for _, u := range h.pendingClaims(f.now) {
		f.gossip(h, u)
	}
}

func (f *fleet) gossip(from *registry, update claimUpdate) {
	for _, to := range f.hosts {
		if to == from {
			continue
		}
		delay := time.Duration(f.rand.IntN(maxGossipDelayMillis)) * time.Millisecond
		f.inFlight[to.self.ID] = append(f.inFlight[to.self.ID], gossipMessage{arrives: f.now.Add(delay), from: from.self.ID, update: update})
	}
}

func (f *fleet) stateCounts(id ID) map[State]int {
	counts := make(map[State]int)
	for _, h := range f.hosts {
		counts[h.entries[id].State]++
	}
	return counts
}

// A leaving upstream must get no new work from any host after 3 s, with busy and
// with idle hosts, although the host list marks it as leaving only later.
func TestLeavingUpstreamGetsNoWorkAfterThreeSeconds(t *testing.T) {
	for _, calls := range []int{20, 1, 0} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("calls %d seed %d", calls, seed), func(t *testing.T) {
				t.Parallel()
				leaveAndReturn(t, newFleet(seed, 12, 20, calls))
			})
		}
	}
}

func leaveAndReturn(t *testing.T, f *fleet) {
	f.run(5 * time.Second)
	leaver := f.servers[3]
	leaver.leaving = true
	f.run(3 * time.Second)
	leaver.calls = 0
	f.run(20 * time.Second)
	require.Zero(t, leaver.calls)
	leaver.listing.Leaving = true
	f.applyList()
	f.run(time.Second)
	require.Equal(t, map[State]int{Leaving: 12}, f.stateCounts(leaver.id))

	leaver.leaving, leaver.listing.Leaving = false, false
	f.applyList()
	f.run(60 * time.Second)
	require.Equal(t, map[State]int{Live: 12}, f.stateCounts(leaver.id), "the upstream is back in use")
}

// A dead upstream must cost the whole fleet only a few calls, not a few from each
// host, and must get work again after its restart.
func TestDeadUpstreamGetsFewCalls(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 12, 20, 20)
		f.run(5 * time.Second)
		victim := f.servers[3]
		id := victim.id
		victim.dead, victim.calls = true, 0
		f.run(30 * time.Second)
		t.Logf("seed %d: %d of %d calls went to the dead upstream", seed, victim.calls, 20*int(30*time.Second/testStep))
		require.LessOrEqual(t, victim.calls, 24)
		require.Equal(t, map[State]int{Dead: 12}, f.stateCounts(id))
		victim.dead = false
		f.run(10 * time.Second)
		require.Equal(t, map[State]int{Live: 12}, f.stateCounts(id))
	}
}

// Guards against a host with a broken link that makes other hosts treat live
// upstreams as dead. With several such hosts, the other hosts' own answers must
// still outweigh the claims.
func TestBrokenLinkOfFewHostsMarksNothingDead(t *testing.T) {
	for _, brokenLinks := range []int{1, 2, 4} {
		f := newFleet(7, 12, 20, 20)
		f.run(2 * time.Second)
		for i := range brokenLinks {
			f.linkBroken[f.hosts[i].self.ID] = true
		}
		for range 300 {
			f.run(100 * time.Millisecond)
			for _, h := range f.hosts[brokenLinks:] {
				require.GreaterOrEqual(t, len(f.live(h)), 19, "%d hosts with broken links, host %s", brokenLinks, h.self.ID)
			}
		}
		require.Empty(t, f.live(f.hosts[0]))
		clear(f.linkBroken)
		f.run(15 * time.Second)
		require.Len(t, f.live(f.hosts[0]), 20)
	}
}

// A host without an answer of its own must not treat an upstream as dead because
// a single other host claims that it is down.
func TestSingleClaimMarksNothingDead(t *testing.T) {
	f := newFleet(6, 12, 20, 0)
	f.run(2 * time.Second)
	f.linkBroken[f.hosts[0].self.ID] = true
	maxLost := 0
	for range 300 {
		f.run(100 * time.Millisecond)
		for _, h := range f.hosts[1:] {
			require.Len(t, f.live(h), 20)
		}
		maxLost = max(maxLost, 20-len(f.live(f.hosts[0])))
	}
	require.Positive(t, maxLost, "the host with the broken link finds those dead that it probes")
}

// Idle hosts must keep using an upstream that two other hosts claim is down: they
// probe it themselves before their last answer is too old to outweigh the claims.
func TestProbesOutweighClaimsWithoutFlapping(t *testing.T) {
	f := newFleet(6, 12, 20, 0)
	f.run(2 * time.Second)
	f.linkBroken[f.hosts[0].self.ID] = true
	f.linkBroken[f.hosts[1].self.ID] = true
	f.run(5 * time.Second)
	maxClaims := 0
	for range 1000 {
		f.run(testStep)
		for _, h := range f.hosts[2:] {
			require.Len(t, f.live(h), 20)
			for _, e := range h.entries {
				maxClaims = max(maxClaims, len(e.claims))
			}
		}
	}
	require.Equal(t, 2, maxClaims, "both hosts claim that some upstream is down")
}

// A host with many upstreams must probe only those in its subset because of
// claims, however many of the others are claimed to be down.
func TestClaimsOutsideSubsetCauseNoProbes(t *testing.T) {
	f := newFleet(1, 1, 500, 0)
	h := f.hosts[0]
	var live []*entry
	for _, e := range h.entries {
		live = append(live, e)
	}
	inSubset := make(map[ID]bool)
	for _, up := range subset(h.self, live, 64) {
		inSubset[up.ID] = true
	}
	clear(h.idleProbes)
	for id := range h.entries {
		h.recordClaim(f.now, "x", id, claimDown)
		h.recordClaim(f.now, "y", id, claimDown)
	}
	due := h.dueProbes(f.now)
	require.Len(t, due, 64)
	for _, up := range due {
		require.True(t, inSubset[up.ID])
	}
}

// The host list may be outdated: it lists a dead upstream, omits a live one, or
// gives an address to another pool. Hosts must correct each of these.
func TestOutdatedHostListIsCorrected(t *testing.T) {
	f := newFleet(9, 3, 5, 5)
	f.servers[0].dead = true
	f.run(3 * time.Second)
	deadID := f.servers[0].id
	require.Equal(t, map[State]int{Dead: 3}, f.stateCounts(deadID), "listed but dead")

	unlisted := f.servers[1]
	unlistedID := unlisted.id
	f.servers = append(f.servers[:1], f.servers[2:]...)
	f.applyList()
	f.servers = append(f.servers, unlisted)
	f.run(10 * time.Second)
	require.Equal(t, map[State]int{Live: 3}, f.stateCounts(unlistedID), "unlisted but alive")
	unlisted.dead = true
	f.run(5 * time.Second)
	require.NotContains(t, f.hosts[0].entries, unlistedID, "unlisted and dead is removed at once")

	reused := f.servers[0]
	reused.dead, reused.listing.Pool = false, "rerankers"
	f.applyList()
	f.run(100 * time.Millisecond)
	require.Equal(t, map[State]int{Live: 3}, f.stateCounts(deadID), "another machine at the address starts as live")
	require.Equal(t, "rerankers", f.hosts[0].entries[deadID].Pool)
}
