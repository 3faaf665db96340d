package upstream

import (
	"cmp"
	"slices"

	"github.com/galenaseam/galenaseam/host"
	"github.com/zeebo/xxh3"
)

// score is the rendezvous score of a pair; the highest scores win. Adding or
// removing one name moves only the pairs that it wins or held.
func score(hostID, upstreamID string) uint64 {
	return xxh3.HashString(hostID + "\x00" + upstreamID)
}

// nearness orders places as seen from another; smaller is nearer.
func nearness(from, to host.Place) int {
	switch {
	case from.DataCentre == to.DataCentre:
		return 0
	case from.Region == to.Region:
		return 1
	}
	return 2
}

// subset returns the upstreams of a pool that the host sends work to: at most
// size live ones, the nearest first and among equally near ones those with the
// highest score, ordered by ID. It marks them as tracked.
func subset(self host.Info, live []*entry, size int) []Upstream {
	for _, e := range live {
		e.tracked = false
	}
	if size > 0 && len(live) > size {
		slices.SortFunc(live, func(a, b *entry) int {
			return cmp.Or(
				cmp.Compare(nearness(self.Place, a.Place), nearness(self.Place, b.Place)),
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
