package resume

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
)

const (
	// replicaCount is how many hosts beside the one that began a stream hold its
	// record.
	replicaCount = 3
	// askedCount is how many hosts are asked for a record. It is larger than
	// replicaCount because hosts that died or joined since the record was stored
	// shift the order.
	askedCount = replicaCount + 2
)

// storeOn returns the hosts, other than the local one, that a record is sent to:
// the first replicaCount living ones by rendezvous hashing of the attempt's ID.
func storeOn(attempt string, fleet host.View, avoid func(host.ID) bool) []host.Member {
	return firstRanked(attempt, fleet, replicaCount, func(m host.Member) bool {
		return m.State == host.Alive && !avoid(m.ID)
	})
}

// askFor returns the hosts, other than the local one, that may hold a record.
// Those that leave or may be dead count too, since they were alive when it was
// stored.
func askFor(attempt string, fleet host.View) []host.Member {
	return firstRanked(attempt, fleet, askedCount, func(m host.Member) bool { return m.State != host.Dead })
}

// firstRanked returns the first n hosts in the order of an attempt's ID, without
// the local host.
func firstRanked(attempt string, fleet host.View, n int, usable func(host.Member) bool) []host.Member {
	type ranked struct {
		host.Member
		rank uint64
	}
	self := fleet.Self().ID
	var all []ranked
	for _, m := range fleet.Members() {
		if m.ID != self && usable(m) {
			all = append(all, ranked{m, xxh3.HashString(attempt + "\x00" + string(m.ID))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var first []host.Member
	for _, m := range all[:min(n, len(all))] {
		first = append(first, m.Member)
	}
	return first
}
