package directory

import (
	"net/netip"
	"slices"

	"github.com/galenaseam/galenaseam/routing"
)

// fanOut is how many askers are sent to each host that has asked before.
const fanOut = 2

// spread decides which of the hosts that ask one host for a version are sent to others that have
// asked before: they have the version by then, or soon. The askers form a tree, so that each
// host sends few copies however many ask. It does no I/O, and is not safe for concurrent use.
type spread struct {
	version routing.Version
	askers  []netip.AddrPort // in the order in which they asked
	sent    int              // askers that were sent to others
}

// asked records that a host has asked for a version.
func (s *spread) asked(version routing.Version, asker netip.AddrPort) {
	if s.version != version {
		*s = spread{version: version}
	}
	if !slices.Contains(s.askers, asker) {
		s.askers = append(s.askers, asker)
	}
}

// next returns another host for an asker to ask, or false if there is none.
func (s *spread) next(asker netip.AddrPort) (other netip.AddrPort, found bool) {
	position := slices.Index(s.askers, asker)
	other = s.askers[min(s.sent/fanOut, len(s.askers)-1)]
	if slices.Index(s.askers, other) >= position {
		return netip.AddrPort{}, false
	}
	s.sent++
	return other, true
}
