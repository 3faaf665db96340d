package member

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// suspicion is the doubt about a host that did not answer.
type suspicion struct {
	startedAt time.Time
	deadline  time.Time
	accusers  map[host.ID]bool
}

// accusersNeeded is how many hosts must have missed the answers of another
// before it counts as dead.
const accusersNeeded = 2

// accusersSpread is how many accusations of one host are passed on.
const accusersSpread = 3

// hearFrom takes in a sender's own record, which came from it directly.
func (c *core) hearFrom(s record) {
	p, known := c.peers[s.Info.ID]
	switch {
	case s.State == host.Dead:
		if known && p.State != host.Dead {
			c.declareDead(p, s.Incarnation)
		}
		return
	case !known:
		c.declareDeadAt(s.Info.LinkAddr)
		p = c.admit(s)
		c.spread(p.record)
	case s.Incarnation > p.Incarnation:
		c.replace(p, s)
		c.spread(p.record)
	case p.State == host.Dead:
		c.remind(p)
		return
	case s.Incarnation == p.Incarnation && s.State == host.Leaving && p.State != host.Leaving:
		p.State = s.State
		c.note()
		c.spread(p.record)
	}
	p.heardAt = c.now
	c.clearSuspicion(p)
	if s.Incarnation == p.Incarnation && p.Generation != s.Generation {
		p.Generation = s.Generation
		c.changed = true
	}
}

// declareDeadAt declares the hosts dead whose address a new one has: they ended before it
// could start there.
func (c *core) declareDeadAt(addr netip.AddrPort) {
	for _, id := range sortedIDs(c.peers) {
		if p := c.peers[id]; p.State != host.Dead && p.Info.LinkAddr == addr {
			c.declareDead(p, p.Incarnation)
		}
	}
}

// mergeRecord takes in what the sender tells of a third host, or of this one.
func (c *core) mergeRecord(r record, raw cbor.RawMessage) {
	if r.Info.ID == c.self.Info.ID {
		c.refute(r)
		return
	}
	p, known := c.peers[r.Info.ID]
	if r.Info.LinkAddr == c.self.Info.LinkAddr && r.State != host.Dead {
		c.declarePredecessorDead(p, r)
		return
	}
	if !known {
		c.mergeUnknown(r, raw)
		return
	}
	if r.Incarnation < p.Incarnation {
		return
	}
	switch r.State {
	case host.Dead:
		c.mergeDeath(p, r)
	case host.Suspect:
		c.mergeSuspicion(p, r)
	default:
		c.mergeLife(p, r, raw)
	}
}

// declarePredecessorDead declares a host dead that had this host's address: it ended before
// this one could start.
func (c *core) declarePredecessorDead(p *peer, r record) {
	if p == nil {
		p = c.admit(r)
	}
	if p.State != host.Dead || p.Incarnation < r.Incarnation {
		c.declareDead(p, r.Incarnation)
	}
}

func (c *core) mergeUnknown(r record, raw cbor.RawMessage) {
	if r.State == host.Suspect {
		r.State, r.Accuser = host.Alive, ""
		raw = rawOf(r)
	}
	p := c.admit(r)
	if r.State == host.Dead {
		p.deadAt = c.now
		return
	}
	c.news.addRecord(r, raw, c.isLocal(r.Info.Place), c.transmits())
}

func (c *core) mergeDeath(p *peer, r record) {
	switch {
	case p.State == host.Dead && r.Incarnation == p.Incarnation:
	case c.now.Sub(p.heardAt) < c.timing.RecentlyHeard:
		c.warn(p, r)
	default:
		c.declareDead(p, r.Incarnation)
	}
}

func (c *core) mergeSuspicion(p *peer, r record) {
	if p.State == host.Dead && r.Incarnation == p.Incarnation {
		return
	}
	if r.Incarnation > p.Incarnation {
		alive := r
		alive.State, alive.Accuser = host.Alive, ""
		c.replace(p, alive)
	}
	if c.now.Sub(p.heardAt) < c.timing.RecentlyHeard {
		c.warn(p, r)
		return
	}
	c.accuse(p, r.Accuser)
}

func (c *core) mergeLife(p *peer, r record, raw cbor.RawMessage) {
	newer := r.Incarnation > p.Incarnation
	leaving := r.Incarnation == p.Incarnation && r.State == host.Leaving && p.State < host.Leaving
	served := r.Incarnation == p.Incarnation && r.State == p.State && r.Generation > p.Generation
	if !newer && !leaving && !served {
		return
	}
	if newer || leaving {
		c.clearSuspicion(p)
	}
	c.replace(p, r)
	c.news.addRecord(r, raw, c.isLocal(r.Info.Place), c.transmits())
}

// admit adds a host that was not known.
func (c *core) admit(r record) *peer {
	r.Accuser = ""
	p := &peer{record: r}
	c.peers[r.Info.ID] = p
	c.note()
	c.seeCentre(r.Info.Place.DataCentre)
	return p
}

// replace takes over a newer record.
func (c *core) replace(p *peer, r record) {
	r.Accuser = ""
	p.record = r
	c.note()
}

// note marks the view and the scope as changed.
func (c *core) note() {
	c.changed = true
	c.scope.stale = true
}

// spread passes a record on.
func (c *core) spread(r record) {
	c.news.addRecord(r, rawOf(r), c.isLocal(r.Info.Place), c.transmits())
}

// declareDead marks a host as dead and tells the others.
func (c *core) declareDead(p *peer, incarnation uint64) {
	p.Incarnation = incarnation
	p.State = host.Dead
	p.deadAt = c.now
	p.suspicion = nil
	delete(c.suspected, p.Info.ID)
	c.facts.dropHost(p.Info.ID)
	c.note()
	c.spread(p.record)
}

// warn tells a host that was heard of lately what is said of it, so that it
// can refute.
func (c *core) warn(p *peer, r record) {
	c.send(p, &message{Kind: kindGossip, Records: []cbor.RawMessage{rawOf(r)}})
}

// remind tells a host that it counts as dead, so that it can refute.
func (c *core) remind(p *peer) { c.warn(p, p.record) }

// refute answers what is said of this host with a higher incarnation.
func (c *core) refute(r record) {
	accused := r.State == host.Suspect || r.State == host.Dead
	stale := r.Incarnation > c.self.Incarnation
	if c.stopping || r.Incarnation < c.self.Incarnation || !accused && !stale {
		return
	}
	c.self.Incarnation = r.Incarnation + 1
	if r.State == host.Suspect {
		c.prober.doubt()
	}
	c.spreadSelf()
}

// accuse records that a host missed the answers of another.
func (c *core) accuse(p *peer, accuser host.ID) {
	if !c.watched(p) || accuser == "" {
		return
	}
	if p.suspicion == nil {
		p.suspicion = &suspicion{
			startedAt: c.now,
			deadline:  c.now.Add(c.timing.SuspicionMax),
			accusers:  make(map[host.ID]bool),
		}
		c.suspected[p.Info.ID] = p
		if p.State == host.Alive {
			p.State = host.Suspect
			c.note()
		}
	}
	s := p.suspicion
	if s.accusers[accuser] {
		return
	}
	s.accusers[accuser] = true
	if len(s.accusers) <= accusersSpread {
		accused := p.record
		accused.State, accused.Accuser = host.Suspect, accuser
		c.news.addRecord(accused, rawOf(accused), false, c.transmits())
	}
	if len(s.accusers) >= c.needed(p) {
		soon := s.startedAt.Add(c.timing.SuspicionMin * 3 / 2)
		if len(s.accusers) > accusersNeeded {
			soon = s.startedAt.Add(c.timing.SuspicionMin)
		}
		s.deadline = minTime(s.deadline, soon)
	}
	if accuser != c.self.Info.ID && c.verifies(p) {
		c.prober.urge(p.Info.ID)
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// needed is how many accusers it takes to declare a host dead.
func (c *core) needed(p *peer) int {
	if p.State == host.Leaving || c.scopeNow().othersThan(p) == 0 {
		return 1
	}
	return accusersNeeded
}

// clearSuspicion ends the doubt about a host.
func (c *core) clearSuspicion(p *peer) {
	if p.suspicion == nil {
		return
	}
	p.suspicion = nil
	delete(c.suspected, p.Info.ID)
	if p.State == host.Suspect {
		p.State = host.Alive
		c.note()
	}
}

// expireSuspicions declares dead the hosts that did not refute in time, if enough
// others missed them too. A host that only this one misses stays suspect: the
// fault may be with the own link.
func (c *core) expireSuspicions() {
	for _, id := range sortedIDs(c.suspected) {
		p := c.suspected[id]
		s := p.suspicion
		switch {
		case c.now.Before(s.deadline):
		case len(s.accusers) >= c.needed(p), c.now.Sub(s.startedAt) > c.timing.KeepDead:
			c.declareDead(p, p.Incarnation)
		case s.accusers[c.self.Info.ID]:
			s.deadline = c.now.Add(c.timing.SuspicionMax)
			c.prober.urge(id)
		default:
			c.clearSuspicion(p)
		}
	}
}
