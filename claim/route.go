package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
)

// rankOwners orders the live hosts by rendezvous hashing; the first is the
// preferred owner of the shard. This is only a hint: hosts with other member
// lists may rank differently.
func rankOwners(shard int, members []host.Member) []process {
	type weighted struct {
		process process
		weight  uint64
	}
	var found []weighted
	for _, m := range members {
		if m.State != host.Alive {
			continue
		}
		seed := binary.BigEndian.AppendUint64(nil, uint64(shard))
		weight := xxh3.Hash(append(seed, m.ID...))
		found = append(found, weighted{process: processOf(m.Info), weight: weight})
	}
	slices.SortFunc(found, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.process.ID, b.process.ID)
	})
	ranked := make([]process, len(found))
	for i, w := range found {
		ranked[i] = w.process
	}
	return ranked
}

// nextTarget returns the next host to call for a shard: the last known owner, or
// else the highest-ranked host that is not in failed.
func (s *Service) nextTarget(shard int, failed map[host.ID]bool) (process, bool) {
	s.routeMu.Lock()
	owner, ok := s.owners[shard]
	s.routeMu.Unlock()
	if ok && !failed[owner.ID] {
		return owner, true
	}
	for _, p := range rankOwners(shard, s.cfg.View.Members()) {
		if !failed[p.ID] {
			return p, true
		}
	}
	return process{}, false
}

func (s *Service) rememberOwner(shard int, owner process) {
	s.routeMu.Lock()
	defer s.routeMu.Unlock()
	s.owners[shard] = owner
}

func (s *Service) forgetOwner(shard int, owner process) {
	s.routeMu.Lock()
	defer s.routeMu.Unlock()
	if s.owners[shard].ID == owner.ID {
		delete(s.owners, shard)
	}
}
