package planner

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
)

// isCandidate reports whether this host is one of the maxCandidates hosts that
// try to acquire a group's lease. Hosts with the same view of the fleet choose
// the same candidates.
func isCandidate(view host.View, group string) bool {
	self := view.Self().ID
	var alive []host.ID
	for _, m := range view.Members() {
		if m.State == host.Alive {
			alive = append(alive, m.ID)
		}
	}
	rank := func(id host.ID) uint64 { return xxh3.HashString(group + "\x00" + string(id)) }
	slices.SortFunc(alive, func(a, b host.ID) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return slices.Contains(alive[:min(len(alive), maxCandidates)], self)
}
