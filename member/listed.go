package member

import (
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// Hosts that start together discover each other over several rounds of datagrams, and until
// then each would choose other owners of the fleet's tasks. So the hosts of the host list are
// members from the start. Their records have incarnation 0, so that any other record replaces
// them, and are not sent to other hosts: the list may be out of date.

// setListed adds the listed hosts that are not known yet. The list names at most one host
// for each address. Its entry may be of a process that has ended: another one at the same
// address, listed or not, takes its place.
func (c *core) setListed(now time.Time, hosts []host.Info) {
	c.now = now
	taken := make(map[netip.AddrPort]bool, len(c.peers)+1)
	taken[c.self.Info.LinkAddr] = true
	for _, p := range c.peers {
		if p.State != host.Dead && !p.listed {
			taken[p.Info.LinkAddr] = true
		}
	}
	for _, h := range hosts {
		if _, known := c.peers[h.ID]; known || h.ID == "" || taken[h.LinkAddr] {
			continue
		}
		c.addPeer(record{Info: h})
		c.peers[h.ID].listed = true
		c.listedAt[h.LinkAddr] = h.ID
	}
}

// dropListed forgets the host at an address if only the host list told of it.
func (c *core) dropListed(addr netip.AddrPort) {
	if id, listed := c.listedAt[addr]; listed {
		c.forgetPeer(id)
	}
}

// confirm records that there is other evidence of a host than the host list.
func (c *core) confirm(p *peer) {
	if p.listed {
		p.listed = false
		delete(c.listedAt, p.Info.LinkAddr)
	}
}
