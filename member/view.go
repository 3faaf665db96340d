package member

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// members returns every host that is not dead, ordered by ID. Alive hosts of an
// unreachable data centre are returned as suspect.
func (c *core) members(now time.Time) []host.Member {
	unreachable := c.unreachableCentres(now)
	list := make([]host.Member, 0, len(c.peers)+1)
	list = append(list, memberOf(c.self))
	for _, p := range c.peers {
		if p.State == host.Dead {
			continue
		}
		m := memberOf(p.record)
		m.Listed = p.listed
		if unreachable[m.Place.DataCentre] && m.State == host.Alive {
			m.State = host.Suspect
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b host.Member) int { return compareIDs(a.ID, b.ID) })
	return list
}

func memberOf(r record) host.Member {
	return host.Member{Info: r.Info, State: r.State, Incarnation: r.Incarnation, Generation: r.Generation}
}

func compareIDs(a, b host.ID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
