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

// packet is a datagram in flight.
type packet struct {
	at       time.Time
	order    int
	to       netip.AddrPort
	datagram []byte
}

type packetHeap []packet

func (h packetHeap) Len() int      { return len(h) }
func (h packetHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h packetHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h *packetHeap) Push(x any) { *h = append(*h, x.(packet)) }
func (h *packetHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// node is one host of the simulated network.
type node struct {
	*core
	dead      bool
	paused    bool
	partition int     // hosts in different partitions can't reach each other
	loss      float64 // share of the datagrams to and from this host that is lost
	facts     map[string]string
	sent      int // bytes, including UDP and IP headers
	received  int
	largest   int
}

// network simulates a fleet of cores with its own clock and random source, so
// that a seed reproduces a run.
type network struct {
	t               testing.TB
	now             time.Time
	rand            *rand.Rand
	sealer          *sealer
	nodes           []*node
	byAddr          map[netip.AddrPort]*node
	inFlight        packetHeap
	order           int
	loss            float64
	timing          Timing
	rejected        map[rejection]int
	tap             func(datagram []byte)
	skipDeathChecks bool // don't count false deaths
	// falseDeaths counts, by ID, how often a living host was declared dead in the
	// view of another living host.
	falseDeaths map[host.ID]int
}

const udpHeaderBytes = 28

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)), sealer: newSealer(fleetKey),
		byAddr: make(map[netip.AddrPort]*node), timing: DefaultTiming(),
		rejected: make(map[rejection]int), falseDeaths: make(map[host.ID]int),
	}
}

// add starts a host whose seeds are the first three hosts.
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
	h := &node{core: newCore(info, n.timing, rand.New(rand.NewPCG(uint64(i), n.rand.Uint64())), n.now), facts: make(map[string]string)}
	for _, seed := range n.nodes[:min(3, len(n.nodes))] {
		h.syncer.seeds = append(h.syncer.seeds, seed.self.Info.LinkAddr)
	}
	n.nodes = append(n.nodes, h)
	n.byAddr[addr] = h
	return h
}

func (n *network) addMany(count int, centre string) {
	for range count {
		n.add(centre)
	}
}

func (n *network) run(span time.Duration) {
	for end := n.now.Add(span); n.now.Before(end); {
		n.now = n.now.Add(testStep)
		n.deliverDue()
		for _, h := range n.nodes {
			if h.dead || h.paused {
				continue
			}
			h.tick(n.now)
			n.flush(h)
		}
		n.countFalseDeaths()
	}
}

// deliverDue delivers the datagrams that are due, including replies that become
// due at once.
func (n *network) deliverDue() {
	for len(n.inFlight) > 0 && !n.inFlight[0].at.After(n.now) {
		p := heap.Pop(&n.inFlight).(packet)
		to, known := n.byAddr[p.to]
		if !known || to.dead {
			continue
		}
		if to.paused {
			p.at = n.now.Add(testStep)
			heap.Push(&n.inFlight, p)
			continue
		}
		n.deliver(to, p.at, p.datagram)
	}
}

func (n *network) deliver(to *node, at time.Time, datagram []byte) {
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
	send, deliver := from.takeOutput()
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
		if !known || to.partition != from.partition || n.rand.Float64() < max(n.loss, from.loss, to.loss) {
			continue
		}
		n.order++
		delay := time.Duration(1+n.rand.IntN(10)) * time.Millisecond
		heap.Push(&n.inFlight, packet{at: at.Add(delay), order: n.order, to: o.to, datagram: datagram})
	}
}

// countFalseDeaths counts the living hosts that living hosts have just declared
// dead.
func (n *network) countFalseDeaths() {
	if n.skipDeathChecks {
		return
	}
	for _, h := range n.nodes {
		if h.dead || h.paused || !h.takeChanged() {
			continue
		}
		for _, p := range h.peers {
			if p.State == host.Dead && p.deadAt.Equal(n.now) && !n.byAddr[p.Info.LinkAddr].dead {
				n.falseDeaths[p.Info.ID]++
			}
		}
	}
}

// countViews counts the living hosts that see victim in the given state.
func (n *network) countViews(victim *node, state host.State) int {
	count := 0
	for _, h := range n.nodes {
		p, known := h.peers[victim.self.Info.ID]
		if !h.dead && h != victim && known && p.State == state {
			count++
		}
	}
	return count
}

// converged reports whether every living host sees exactly the living hosts, all
// of them alive.
func (n *network) converged() bool {
	living := 0
	for _, h := range n.nodes {
		if !h.dead {
			living++
		}
	}
	for _, h := range n.nodes {
		if h.dead {
			continue
		}
		members := h.members(n.now)
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

// await runs the network until the condition holds and returns how long it took.
func (n *network) await(limit time.Duration, condition func() bool, what string) time.Duration {
	started := n.now
	for !condition() {
		require.Less(n.t, n.now.Sub(started), limit, what)
		n.run(testStep)
	}
	return n.now.Sub(started)
}
