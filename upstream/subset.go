package upstream

import (
	"cmp"
	"slices"

	"github.com/galenaseam/galenaseam/host"
	"github.com/zeebo/xxh3"
)

// rendezvousScore returns the rendezvous hash of a host and an upstream; the
// highest scores are selected. Adding or removing a host or upstream changes only
// the selections that include it.
func rendezvousScore(hostID, upstreamID string) uint64 {
	return xxh3.HashString(hostID + "\x00" + upstreamID)
}

// distance ranks a place as seen from another; smaller is nearer.
func distance(from, to host.Place) int {
	switch {
	case from.DataCentre == to.DataCentre:
		return 0
	case from.Region == to.Region:
		return 1
	}
	return 2
}

// subset selects the upstreams of a pool that the host sends work to and returns
// them ordered by ID. It selects at most size live ones, or all if size is 0: the
// nearest first and, among equally near ones, those with the highest scores. It
// marks them as tracked, and the rest as not tracked.
func subset(self host.Info, live []*entry, size int) []Upstream {
	for _, e := range live {
		e.tracked = false
	}
	if size > 0 && len(live) > size {
		slices.SortFunc(live, func(a, b *entry) int {
			return cmp.Or(
				cmp.Compare(distance(self.Place, a.Place), distance(self.Place, b.Place)),
				cmp.Compare(b.score, a.score),
				cmp.Compare(a.ID, b.ID),
			)
		})
		live = live[:size]
	}
	out := make([]Upstream, 0, len(live))
	for _, e := range live {
		e.tracked = true
		out = append(out, e.Upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
