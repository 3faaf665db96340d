package upstream

import (
	"github.com/galenaseam/galenaseam/host"
)

// probersPerUpstream is how many hosts probe one idle upstream.
const probersPerUpstream = 2

// hostsByPlace groups the live hosts by data centre and region, and decides
// whether the local host probes an idle upstream.
type hostsByPlace struct {
	self         host.Info
	all          []host.ID
	byRegion     map[host.Region][]host.ID
	byDataCentre map[host.DataCentre][]host.ID
}

func newHostsByPlace(self host.Info, members []host.Member) *hostsByPlace {
	r := &hostsByPlace{
		self:         self,
		byRegion:     make(map[host.Region][]host.ID),
		byDataCentre: make(map[host.DataCentre][]host.ID),
	}
	for i := range members {
		m := &members[i]
		if m.State != host.Alive && m.ID != self.ID {
			continue
		}
		r.all = append(r.all, m.ID)
		r.byRegion[m.Place.Region] = append(r.byRegion[m.Place.Region], m.ID)
		r.byDataCentre[m.Place.DataCentre] = append(r.byDataCentre[m.Place.DataCentre], m.ID)
	}
	return r
}

// isProber reports whether the local host is one of the probersPerUpstream hosts
// that probe an upstream while it is idle. These are the hosts with the highest
// rendezvous scores in the upstream's data centre or, if that has too few hosts,
// in its region or else in the fleet.
func (r *hostsByPlace) isProber(up Upstream) bool {
	switch {
	case len(r.byDataCentre[up.Place.DataCentre]) >= probersPerUpstream:
		return up.Place.DataCentre == r.self.Place.DataCentre && r.hasTopScore(r.byDataCentre[up.Place.DataCentre], up.ID)
	case len(r.byRegion[up.Place.Region]) >= probersPerUpstream:
		return up.Place.Region == r.self.Place.Region && r.hasTopScore(r.byRegion[up.Place.Region], up.ID)
	}
	return r.hasTopScore(r.all, up.ID)
}

// hasTopScore reports whether the local host has one of the probersPerUpstream
// highest scores for an upstream among hosts.
func (r *hostsByPlace) hasTopScore(hosts []host.ID, id ID) bool {
	own := rendezvousScore(string(r.self.ID), string(id))
	ahead := 0
	for _, h := range hosts {
		if h != r.self.ID && rendezvousScore(string(h), string(id)) > own {
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
