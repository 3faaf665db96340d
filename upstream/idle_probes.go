package upstream

import (
	"github.com/galenaseam/galenaseam/host"
)

// probersPerUpstream is how many hosts probe one idle upstream.
const probersPerUpstream = 2

// hostsByPlace groups the alive hosts by data centre and region, and decides
// whether the local host probes an idle upstream.
type hostsByPlace struct {
	self         host.Info
	all          []host.ID
	byRegion     map[host.Region][]host.ID
	byDataCentre map[host.DataCentre][]host.ID
}

func newHostsByPlace(self host.Info, members []host.Member) *hostsByPlace {
	h := &hostsByPlace{
		self:         self,
		byRegion:     make(map[host.Region][]host.ID),
		byDataCentre: make(map[host.DataCentre][]host.ID),
	}
	for i := range members {
		m := &members[i]
		if m.State != host.Alive && m.ID != self.ID {
			continue
		}
		h.all = append(h.all, m.ID)
		h.byRegion[m.Place.Region] = append(h.byRegion[m.Place.Region], m.ID)
		h.byDataCentre[m.Place.DataCentre] = append(h.byDataCentre[m.Place.DataCentre], m.ID)
	}
	return h
}

// isProber reports whether the local host is one of the probersPerUpstream hosts
// that probe an upstream while it is idle. These are the hosts with the highest
// rendezvous scores in the upstream's data centre or, if that has too few hosts,
// in its region or else in the fleet.
func (h *hostsByPlace) isProber(up Upstream) bool {
	switch {
	case len(h.byDataCentre[up.Place.DataCentre]) >= probersPerUpstream:
		return up.Place.DataCentre == h.self.Place.DataCentre && h.hasTopScore(h.byDataCentre[up.Place.DataCentre], up.ID)
	case len(h.byRegion[up.Place.Region]) >= probersPerUpstream:
		return up.Place.Region == h.self.Place.Region && h.hasTopScore(h.byRegion[up.Place.Region], up.ID)
	}
	return h.hasTopScore(h.all, up.ID)
}

// hasTopScore reports whether the local host has one of the probersPerUpstream
// highest scores for an upstream among hosts.
func (h *hostsByPlace) hasTopScore(hosts []host.ID, id ID) bool {
	own := rendezvousScore(string(h.self.ID), string(id))
	ahead := 0
	for _, other := range hosts {
		if other != h.self.ID && rendezvousScore(string(other), string(id)) > own {
			ahead++
		}
		if ahead >= probersPerUpstream {
			return false
		}
	}
	return true
}

// assignIdleProbes recomputes which upstreams this host probes while they are
// idle.
func (r *registry) assignIdleProbes(hosts *hostsByPlace) {
	clear(r.idleProbes)
	for id, e := range r.entries {
		if hosts.isProber(e.Upstream) {
			r.idleProbes[id] = e
		}
	}
}
