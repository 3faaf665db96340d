package member

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
)

// list gives every host the entries of hosts, as the host list would.
func (n *network) list(hosts ...host.Info) {
	for _, h := range n.nodes {
		h.setListed(n.now, hosts)
	}
}

func infoOf(nodes []*node) (all []host.Info) {
	for _, h := range nodes {
		all = append(all, h.self.Info)
	}
	return all
}

// All hosts of a large fleet start at once. Guards against owners of tasks that each host
// chooses among the few hosts that it has heard by then.
func TestListedHostsAreMembersAtOnce(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(70, "a1")
	n.addMany(30, "b1")
	n.list(infoOf(n.nodes)...)
	for _, h := range n.nodes {
		members := h.members(n.now)
		require.Len(t, members, 100)
		for _, m := range members {
			require.Equal(t, m.ID != h.self.Info.ID, m.Listed)
		}
	}
	n.await(20*time.Second, func() bool {
		for _, h := range n.nodes {
			if len(h.listedAt) > 0 {
				return false
			}
		}
		return true
	}, "every host has heard of every other")
}

// The list shows processes that have ended until their leases end. Guards against members
// that stay although another process runs at their address.
func TestListedHostYieldsToTheOneAtItsAddress(t *testing.T) {
	for name, learn := range map[string]func(*network, *node, *node){
		"listed":   func(n *network, h, successor *node) { h.setListed(n.now, []host.Info{successor.self.Info}) },
		"heard":    func(_ *network, h, successor *node) { h.mergeSenderRecord(successor.self) },
		"heard of": func(_ *network, h, successor *node) { h.mergeRecord(successor.self, encodeRecord(successor.self)) },
		"still list": func(n *network, h, successor *node) {
			h.mergeSenderRecord(successor.self)
			n.list(n.nodes[1].self.Info)
		},
	} {
		n := newNetwork(t, 1)
		n.addMany(2, "a1")
		h, former := n.nodes[0], n.nodes[1]
		h.setListed(n.now, []host.Info{former.self.Info})
		successor := n.replace(former)
		learn(n, h, successor)
		members := h.members(n.now)
		require.Len(t, members, 2, name)
		require.Equal(t, successor.self.Info.ID, members[1].ID, name)
	}
}

// Guards against a listed host that has ended and counts as a member for ever, and one that
// is told to hosts which the list has not told of it.
func TestListedHostThatDoesNotAnswerIsDeclaredDead(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(6, "a1")
	gone := n.nodes[5]
	gone.dead = true
	for _, h := range n.nodes[:3] {
		h.setListed(n.now, infoOf(n.nodes))
	}
	n.run(time.Second)
	_, told := n.nodes[4].peers[gone.self.Info.ID]
	require.False(t, told)
	n.await(20*time.Second, func() bool {
		for _, h := range n.nodes[:5] {
			if p, known := h.peers[gone.self.Info.ID]; known && p.State != host.Dead {
				return false
			}
		}
		return true
	}, "the ended host is dead everywhere")
}

// Guards against a host that counts as joined, without the facts of the fleet, because the
// list has told it of the others.
func TestListedHostsAreStillJoined(t *testing.T) {
	n := newNetwork(t, 1)
	n.addMany(2, "a1")
	h := n.nodes[0]
	h.setSeeds(n.now, []netip.AddrPort{h.self.Info.LinkAddr, n.nodes[1].self.Info.LinkAddr})
	n.list(infoOf(n.nodes)...)
	require.False(t, h.hasJoined(n.now))
}
