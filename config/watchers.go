package config

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
)

// watchersPerDataCentre is how many hosts of a data centre watch the store.
const watchersPerDataCentre = 3

// watchers selects the hosts of a data centre that watch the store. Hosts with
// the same view select the same watchers, and a host that joins or leaves
// changes at most one of them.
func watchers(members []host.Member, dataCentre host.DataCentre) []host.Member {
	var candidates []host.Member
	for _, m := range members {
		if m.Place.DataCentre == dataCentre && m.State == host.Alive {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b host.Member) int {
		return compareRank(a.ID, b.ID)
	})
	return candidates[:min(len(candidates), watchersPerDataCentre)]
}

// compareRank orders hosts by the hash of their IDs.
func compareRank(a, b host.ID) int {
	x, y := xxh3.HashString(string(a)), xxh3.HashString(string(b))
	switch {
	case x < y, x == y && a < b:
		return -1
	case x == y && a == b:
		return 0
	}
	return 1
}

// containsHost reports whether a host is among members.
func containsHost(members []host.Member, id host.ID) bool {
	return slices.ContainsFunc(members, func(m host.Member) bool { return m.ID == id })
}
