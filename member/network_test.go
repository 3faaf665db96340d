package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/stretchr/testify/require"
)

const testStep = 100 * time.Millisecond

var fleetKey = []byte("a key for tests")

// flight is one datagram under way.
type flight struct {
	at       time.Time
	order    int
	to       netip.AddrPort
	datagram []byte
}

type flights []flight

func (f flights) Len() int      { return len(f) }
func (f flights) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f flights) Less(i, j int) bool {
	if f[i].at.Equal(f[j].at) {
		return f[i].order < f[j].order
	}
	return f[i].at.Before(f[j].at)
}
func (f *flights) Push(x any) { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// node is one host of the network.
type node struct {
	*core
	dead     bool
	paused   bool
	side     int     // hosts on different sides don't reach each other
	loss     float64 // of what it sends and receives
	facts    map[string]string
	sent     int // bytes, UDP and IP headers included
	received int
	largest  int
}

// network is a fleet of cores under a clock and chance of its own.
type network struct {
	t        testing.TB
	now      time.Time
	rand     *rand.Rand
	sealer   *sealer
	nodes    []*node
	byAddr   map[netip.AddrPort]*node
	air      flights
	order    int
	loss     float64
	timing   Timing
	rejected map[rejection]int
	tap      func(datagram []byte)
	blind    bool // no count of wrong deaths
	// wrongDeaths counts, by name of the victim, views in which a living host
	// turned up as dead.
	wrongDeaths map[host.ID]int
}

const udpHeaderBytes = 28

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), sealer: newSealer(fleetKey),
		byAddr: make(map[netip.AddrPort]*node), timing: DefaultTiming(),
		rejected: make(map[rejection]int), wrongDeaths: make(map[host.ID]int),
	}
}

// add starts a host that knows the first hosts as seeds.
func (n *network) add(centre string) *node {
	i := len(n.nodes)
	return n.addAt(centre, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000))
}

// replace kills a host and starts another, with a new ID, at its address.
func (n *network) replace(old *node) *node {
	old.dead = true
	return n.addAt(string(old.self.Info.Place.DataCentre), old.self.Info.LinkAddr)
}

func (n *network) addAt(centre string, addr netip.AddrPort) *node {
	i := len(n.nodes)
	info := host.Info{
		ID:       host.ID(fmt.Sprintf("host-%05d", i)),
		Place:    host.Place{DataCentre: host.DataCentre(centre), Region: host.Region("r" + centre[:1])},
		LinkAddr: addr, HTTPAddr: netip.AddrPortFrom(addr.Addr(), 80),
	}
	one := &node{core: newCore(info, n.timing, rand.New(rand.NewPCG(uint64(i), n.rand.Uint64())), n.now), facts: make(map[string]string)}
	for _, seed := range n.nodes[:min(3, len(n.nodes))] {
		one.syncer.seeds = append(one.syncer.seeds, seed.self.Info.LinkAddr)
	}
	n.nodes = append(n.nodes, one)
	n.byAddr[addr] = one
	return one
}

func (n *network) addMany(count int, centre string) {
	for range count {
		n.add(centre)
	}
}

func (n *network) run(span time.Duration) {
	for end := n.now.Add(span); n.now.Before(end); {
		n.now = n.now.Add(testStep)
		n.land()
		for _, one := range n.nodes {
			if one.dead || one.paused {
				continue
			}
			one.tick(n.now)
			n.flush(one)
		}
		n.watch()
	}
}

// land hands over the datagrams that have arrived, and what they cause.
func (n *network) land() {
	for len(n.air) > 0 && !n.air[0].at.After(n.now) {
		f := heap.Pop(&n.air).(flight)
		to, known := n.byAddr[f.to]
		if !known || to.dead {
			continue
		}
		if to.paused {
			f.at = n.now.Add(testStep)
			heap.Push(&n.air, f)
			continue
		}
		n.hand(to, f.at, f.datagram)
	}
}

func (n *network) hand(to *node, at time.Time, datagram []byte) {
	to.received += len(datagram) + udpHeaderBytes
	message, cause := n.sealer.open(datagram)
	if cause == notRejected {
		cause = to.receive(at, message)
	}
	if cause != notRejected {
		n.rejected[cause]++
		return
	}
	n.flushAt(to, at)
}

func (n *network) flush(from *node) { n.flushAt(from, n.now) }

func (n *network) flushAt(from *node, at time.Time) {
	send, deliver := from.take()
	for _, f := range deliver {
		from.facts[string(f.From)+"/"+f.Key] = string(f.Payload)
	}
	for _, o := range send {
		datagram, err := n.sealer.seal(o.message)
		require.NoError(n.t, err)
		from.sent += len(datagram) + udpHeaderBytes
		from.largest = max(from.largest, len(datagram))
		if n.tap != nil {
			n.tap(datagram)
		}
		to, known := n.byAddr[o.to]
		if !known || to.side != from.side || n.rand.Float64() < max(n.loss, from.loss, to.loss) {
			continue
		}
		n.order++
		delay := time.Duration(1+n.rand.IntN(10)) * time.Millisecond
		heap.Push(&n.air, flight{at: at.Add(delay), order: n.order, to: o.to, datagram: datagram})
	}
}

// watch counts living hosts that living hosts take for dead.
func (n *network) watch() {
	if n.blind {
		return
	}
	for _, one := range n.nodes {
		if one.dead || one.paused || !one.takeChanged() {
			continue
		}
		for _, p := range one.peers {
			if p.State == host.Dead && p.deadAt.Equal(n.now) && !n.byAddr[p.Info.LinkAddr].dead {
				n.wrongDeaths[p.Info.ID]++
			}
		}
	}
}

// views counts the living hosts whose view of victim is the given state.
func (n *network) views(victim *node, state host.State) int {
	count := 0
	for _, one := range n.nodes {
		p, known := one.peers[victim.self.Info.ID]
		if !one.dead && one != victim && known && p.State == state {
			count++
		}
	}
	return count
}

// converged says whether every living host sees exactly the living hosts, all
// alive.
func (n *network) converged() bool {
	living := 0
	for _, one := range n.nodes {
		if !one.dead {
			living++
		}
	}
	for _, one := range n.nodes {
		if one.dead {
			continue
		}
		members := one.members(n.now)
		if len(members) != living {
			return false
		}
		for _, m := range members {
			if m.State != host.Alive {
				return false
			}
		}
	}
	return true
}

// await runs until the condition holds and returns how long it took.
func (n *network) await(limit time.Duration, condition func() bool, what string) time.Duration {
	started := n.now
	for !condition() {
		require.Less(n.t, n.now.Sub(started), limit, what)
		n.run(testStep)
	}
	return n.now.Sub(started)
}
