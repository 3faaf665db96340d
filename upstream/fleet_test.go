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
	testStep    = 20 * time.Millisecond
	testPool    = "engines"
	gossipDelay = 800 // milliseconds at most
)

// server is the truth about one upstream.
type server struct {
	id      ID
	listing infra.Listing
	leaving bool
	dead    bool
	// work counts the calls that reached or were meant for it.
	work int
}

type letter struct {
	at   time.Time
	from host.ID
	told telling
}

// fleet is several registries over one truth, with a clock and chance of its
// own.
type fleet struct {
	now     time.Time
	rand    *rand.Rand
	hosts   []*registry
	servers []*server
	cut     map[host.ID]bool // hosts whose link to all upstreams is broken
	letters map[host.ID][]letter
	calls   int // calls a step over all hosts
}

func newFleet(seed uint64, hosts, servers, calls int) *fleet {
	f := &fleet{
		now:     time.Unix(1000, 0),
		rand:    rand.New(rand.NewPCG(seed, 0)),
		cut:     make(map[host.ID]bool),
		letters: make(map[host.ID][]letter),
		calls:   calls,
	}
	for i := range servers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		f.servers = append(f.servers, &server{id: ID(addr.String()), listing: infra.Listing{Addr: addr, Pool: testPool, Place: host.Place{DataCentre: "a"}}})
	}
	for i := range hosts {
		info := host.Info{ID: host.ID(fmt.Sprintf("h%d", i)), Place: host.Place{DataCentre: "a"}}
		f.hosts = append(f.hosts, newRegistry(info, DefaultTiming()))
	}
	f.list()
	return f
}

func (f *fleet) list() {
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
		h.setDuties(newRoster(h.self, members))
	}
}

func (f *fleet) server(id ID) *server {
	for _, s := range f.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// see is what a call or probe of a host sees at an upstream.
func (f *fleet) see(h *registry, id ID) Evidence {
	s := f.server(id)
	switch {
	case f.cut[h.self.ID]:
		return Lost
	case s.dead:
		return RefusedConnection
	case s.leaving:
		return SaidLeaving
	}
	return Answered
}

func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(testStep) {
		for range f.calls {
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
	f.server(id).work++
	h.report(f.now, id, f.see(h, id))
	h.settleOne(f.now, h.entries[id])
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
	var later []letter
	for _, l := range f.letters[h.self.ID] {
		if l.at.After(f.now) {
			later = append(later, l)
			continue
		}
		h.heard(f.now, l.from, l.told.id, l.told.kind)
	}
	f.letters[h.self.ID] = later
	h.settle(f.now)
	for _, up := range h.dueProbes(f.now) {
		h.probed(f.now, f.now, up.ID, f.see(h, up.ID))
	}
	for _, n := range h.news(f.now) {
		f.spread(h, n)
	}
}

func (f *fleet) spread(from *registry, told telling) {
	for _, to := range f.hosts {
		if to == from {
			continue
		}
		delay := time.Duration(f.rand.IntN(gossipDelay)) * time.Millisecond
		f.letters[to.self.ID] = append(f.letters[to.self.ID], letter{at: f.now.Add(delay), from: from.self.ID, told: told})
	}
}

func (f *fleet) states(id ID) map[State]int {
	counts := make(map[State]int)
	for _, h := range f.hosts {
		counts[h.entries[id].State]++
	}
	return counts
}

// A leaving upstream gets no new work from any host after 3 s, although the
// host list says so only later, with busy and with idle hosts.
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
	leaver.work = 0
	f.run(20 * time.Second)
	require.Zero(t, leaver.work)
	leaver.listing.Leaving = true
	f.list()
	f.run(time.Second)
	require.Equal(t, map[State]int{Leaving: 12}, f.states(leaver.id))

	leaver.leaving, leaver.listing.Leaving = false, false
	f.list()
	f.run(60 * time.Second)
	require.Equal(t, map[State]int{Live: 12}, f.states(leaver.id), "it came back")
}

// A dead upstream costs the fleet a few calls, not a few from each host, and
// comes back into use after its restart.
func TestDeadUpstreamGetsHardlyAnyWork(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 12, 20, 20)
		f.run(5 * time.Second)
		victim := f.servers[3]
		id := victim.id
		victim.dead, victim.work = true, 0
		f.run(30 * time.Second)
		t.Logf("seed %d: %d of %d calls went to the dead upstream", seed, victim.work, 20*int(30*time.Second/testStep))
		require.LessOrEqual(t, victim.work, 24)
		require.Equal(t, map[State]int{Dead: 12}, f.states(id))
		victim.dead = false
		f.run(10 * time.Second)
		require.Equal(t, map[State]int{Live: 12}, f.states(id))
	}
}

// One host whose link to every upstream is broken takes none away from the
// others; when a second one breaks, what the others see themselves still wins.
func TestBadLinkOfOneHostCondemnsNothing(t *testing.T) {
	for _, cuts := range []int{1, 2, 4} {
		f := newFleet(7, 12, 20, 20)
		f.run(2 * time.Second)
		for i := range cuts {
			f.cut[f.hosts[i].self.ID] = true
		}
		for range 300 {
			f.run(100 * time.Millisecond)
			for _, h := range f.hosts[cuts:] {
				require.GreaterOrEqual(t, len(f.live(h)), 19, "%d hosts cut, host %s", cuts, h.self.ID)
			}
		}
		require.Empty(t, f.live(f.hosts[0]))
		clear(f.cut)
		f.run(15 * time.Second)
		require.Len(t, f.live(f.hosts[0]), 20)
	}
}

// Hosts without an answer of their own don't believe a single other host.
func TestOneClaimWithoutOwnEvidenceCondemnsNothing(t *testing.T) {
	f := newFleet(6, 12, 20, 0)
	f.run(2 * time.Second)
	f.cut[f.hosts[0].self.ID] = true
	lost := 0
	for range 300 {
		f.run(100 * time.Millisecond)
		for _, h := range f.hosts[1:] {
			require.Len(t, f.live(h), 20)
		}
		lost = max(lost, 20-len(f.live(f.hosts[0])))
	}
	require.Positive(t, lost, "the host that watches them over its bad link finds some dead")
}

// Idle hosts keep an upstream that two others claim is down, by probes of
// their own that come before their last answer is too old.
func TestProbesOutweighClaimsWithoutFlapping(t *testing.T) {
	f := newFleet(6, 12, 20, 0)
	f.run(2 * time.Second)
	f.cut[f.hosts[0].self.ID] = true
	f.cut[f.hosts[1].self.ID] = true
	f.run(5 * time.Second)
	claimed := 0
	for range 1000 {
		f.run(testStep)
		for _, h := range f.hosts[2:] {
			require.Len(t, f.live(h), 20)
			for _, e := range h.entries {
				claimed = max(claimed, len(e.claims))
			}
		}
	}
	require.Equal(t, 2, claimed, "both hosts claim that some upstream is down")
}

// A host in front of many upstreams probes those of its subset only, however
// many of the others are claimed to be down.
func TestClaimsOutsideTheSubsetCostNoProbes(t *testing.T) {
	f := newFleet(1, 1, 500, 0)
	h := f.hosts[0]
	var live []*entry
	for _, e := range h.entries {
		live = append(live, e)
	}
	mine := make(map[ID]bool)
	for _, up := range subset(h.self, live, 64) {
		mine[up.ID] = true
	}
	clear(h.duties)
	for id := range h.entries {
		h.heard(f.now, "x", id, claimDown)
		h.heard(f.now, "y", id, claimDown)
	}
	due := h.dueProbes(f.now)
	require.Len(t, due, 64)
	for _, up := range due {
		require.True(t, mine[up.ID])
	}
}

// The list lags: it names a dead machine, forgets a living one, and gives an
// address to another pool.
func TestLaggingListIsCorrected(t *testing.T) {
	f := newFleet(9, 3, 5, 5)
	f.servers[0].dead = true
	f.run(3 * time.Second)
	deadID := f.servers[0].id
	require.Equal(t, map[State]int{Dead: 3}, f.states(deadID), "listed but dead")

	forgotten := f.servers[1]
	goneID := forgotten.id
	f.servers = append(f.servers[:1], f.servers[2:]...)
	f.list()
	f.servers = append(f.servers, forgotten)
	f.run(10 * time.Second)
	require.Equal(t, map[State]int{Live: 3}, f.states(goneID), "unlisted but alive")
	forgotten.dead = true
	f.run(5 * time.Second)
	require.NotContains(t, f.hosts[0].entries, goneID, "unlisted and dead is forgotten at once")

	reused := f.servers[0]
	reused.dead, reused.listing.Pool = false, "rerankers"
	f.list()
	f.run(100 * time.Millisecond)
	require.Equal(t, map[State]int{Live: 3}, f.states(deadID), "another machine at the address starts afresh")
	require.Equal(t, "rerankers", f.hosts[0].entries[deadID].Pool)
}
