package upstream

import (
	"github.com/galenaseam/galenaseam/host"
)

// watchersPerUpstream is how many hosts keep watch over one idle upstream.
const watchersPerUpstream = 2

// roster is the living hosts by place, to share out the watch over upstreams.
type roster struct {
	self    host.Info
	all     []host.ID
	regions map[host.Region][]host.ID
	centres map[host.DataCentre][]host.ID
}

func newRoster(self host.Info, members []host.Member) *roster {
	r := &roster{
		self:    self,
		regions: make(map[host.Region][]host.ID),
		centres: make(map[host.DataCentre][]host.ID),
	}
	for i := range members {
		m := &members[i]
		if m.State != host.Alive && m.ID != self.ID {
			continue
		}
		r.all = append(r.all, m.ID)
		r.regions[m.Place.Region] = append(r.regions[m.Place.Region], m.ID)
		r.centres[m.Place.DataCentre] = append(r.centres[m.Place.DataCentre], m.ID)
	}
	return r
}

// watches says whether the local host is one of those that keep watch over an
// upstream: the highest scores among the hosts of its data centre, or of its
// region, or of all, where enough hosts are.
func (r *roster) watches(up Upstream) bool {
	switch {
	case len(r.centres[up.Place.DataCentre]) >= watchersPerUpstream:
		return up.Place.DataCentre == r.self.Place.DataCentre && r.leads(r.centres[up.Place.DataCentre], up.ID)
	case len(r.regions[up.Place.Region]) >= watchersPerUpstream:
		return up.Place.Region == r.self.Place.Region && r.leads(r.regions[up.Place.Region], up.ID)
	}
	return r.leads(r.all, up.ID)
}

func (r *roster) leads(hosts []host.ID, id ID) bool {
	own := score(string(r.self.ID), string(id))
	ahead := 0
	for _, h := range hosts {
		if h != r.self.ID && score(string(h), string(id)) > own {
			ahead++
		}
		if ahead >= watchersPerUpstream {
			return false
		}
	}
	return true
}

// setDuties shares out the watch anew.
func (r *registry) setDuties(hosts *roster) {
	clear(r.duties)
	for id, e := range r.entries {
		if hosts.watches(e.Upstream) {
			r.duties[id] = e
		}
	}
}
