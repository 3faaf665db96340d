package member

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// suspicion holds the accusers of a host that did not answer, and the deadline
// until which it can refute them.
type suspicion struct {
	startedAt time.Time
	deadline  time.Time
	accusers  map[host.ID]bool
}

// minAccusers is how many hosts must accuse another before it is declared dead.
const minAccusers = 2

// maxGossipedAccusers is how many accusations of one host are gossiped.
const maxGossipedAccusers = 3

// mergeSenderRecord processes the sender's own record, which is first-hand
// evidence that the sender is alive, unless it announces its end.
func (c *core) mergeSenderRecord(s record) {
	p, known := c.peers[s.Info.ID]
	switch {
	case s.State == host.Dead:
		if known && p.State != host.Dead {
			c.declareDead(p, s.Incarnation)
		}
		return
	case !known:
		c.declareDeadAt(s.Info.LinkAddr)
		p = c.addPeer(s)
		c.gossipRecord(p.record)
	case s.Incarnation > p.Incarnation:
		c.updateRecord(p, s)
		c.gossipRecord(p.record)
	case p.State == host.Dead:
		c.notifyDeclaredDead(p)
		return
	case s.Incarnation == p.Incarnation && s.State == host.Leaving && p.State != host.Leaving:
		p.State = s.State
		c.markChanged()
		c.gossipRecord(p.record)
	}
	p.heardAt = c.now
	c.clearSuspicion(p)
	if s.Incarnation == p.Incarnation && p.Generation != s.Generation {
		p.Generation = s.Generation
		c.changed = true
	}
}

// declareDeadAt declares dead the hosts at an address at which a new host runs:
// they ended before it could start there.
func (c *core) declareDeadAt(addr netip.AddrPort) {
	c.dropListed(addr)
	for _, id := range sortedIDs(c.peers) {
		if p := c.peers[id]; p.State != host.Dead && p.Info.LinkAddr == addr {
			c.declareDead(p, p.Incarnation)
		}
	}
}

// mergeRecord processes a record of a third host, or of this one.
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
		c.mergeDead(p, r)
	case host.Suspect:
		c.mergeSuspect(p, r)
	default:
		c.mergeAlive(p, r, raw)
	}
}

// declarePredecessorDead declares dead a host that had this host's address: it
// ended before this one could start.
func (c *core) declarePredecessorDead(p *peer, r record) {
	if p == nil {
		p = c.addPeer(r)
	}
	if p.State != host.Dead || p.Incarnation < r.Incarnation {
		c.declareDead(p, r.Incarnation)
	}
}

// mergeUnknown adds a host that is known only from a third host's record. It
// starts as alive if the record calls it suspect.
func (c *core) mergeUnknown(r record, raw cbor.RawMessage) {
	if r.State == host.Suspect {
		r.State, r.Accuser = host.Alive, ""
		raw = encodeRecord(r)
	}
	p := c.addPeer(r)
	if r.State == host.Dead {
		p.deadAt = c.now
		return
	}
	c.queue.addRecord(r, raw, c.isLocal(r.Info.Place), c.transmitLimit())
}

// mergeDead processes the claim that a host is dead. If the host was heard
// recently, it is notified instead, so that it can refute the claim.
func (c *core) mergeDead(p *peer, r record) {
	switch {
	case p.State == host.Dead && r.Incarnation == p.Incarnation:
	case c.now.Sub(p.heardAt) < c.timing.RecentlyHeard:
		c.notifyAccused(p, r)
	default:
		c.declareDead(p, r.Incarnation)
	}
}

// mergeSuspect processes an accusation of a host. If the host was heard recently,
// it is notified instead, so that it can refute the accusation.
func (c *core) mergeSuspect(p *peer, r record) {
	if p.State == host.Dead && r.Incarnation == p.Incarnation {
		return
	}
	if r.Incarnation > p.Incarnation {
		alive := r
		alive.State, alive.Accuser = host.Alive, ""
		c.updateRecord(p, alive)
	}
	if c.now.Sub(p.heardAt) < c.timing.RecentlyHeard {
		c.notifyAccused(p, r)
		return
	}
	c.accuse(p, r.Accuser)
}

func (c *core) mergeAlive(p *peer, r record, raw cbor.RawMessage) {
	newer := r.Incarnation > p.Incarnation
	nowLeaving := r.Incarnation == p.Incarnation && r.State == host.Leaving && p.State < host.Leaving
	newerGeneration := r.Incarnation == p.Incarnation && r.State == p.State && r.Generation > p.Generation
	if !newer && !nowLeaving && !newerGeneration {
		return
	}
	if newer || nowLeaving {
		c.clearSuspicion(p)
	}
	c.updateRecord(p, r)
	c.queue.addRecord(r, raw, c.isLocal(r.Info.Place), c.transmitLimit())
}

// addPeer adds a host that was not known before.
func (c *core) addPeer(r record) *peer {
	r.Accuser = ""
	c.dropListed(r.Info.LinkAddr)
	p := &peer{record: r}
	c.peers[r.Info.ID] = p
	c.markChanged()
	c.trackCentre(r.Info.Place.DataCentre)
	return p
}

// updateRecord replaces the record of a host by a newer one.
func (c *core) updateRecord(p *peer, r record) {
	r.Accuser = ""
	c.confirm(p)
	p.record = r
	c.markChanged()
}

// markChanged marks the view and the scope as changed.
func (c *core) markChanged() {
	c.changed = true
	c.scope.stale = true
}

// gossipRecord queues a record for gossip.
func (c *core) gossipRecord(r record) {
	c.queue.addRecord(r, encodeRecord(r), c.isLocal(r.Info.Place), c.transmitLimit())
}

// declareDead marks a host as dead, drops its facts and gossips the death.
func (c *core) declareDead(p *peer, incarnation uint64) {
	c.confirm(p)
	p.Incarnation = incarnation
	p.State = host.Dead
	p.deadAt = c.now
	p.suspicion = nil
	delete(c.suspected, p.Info.ID)
	c.facts.dropHost(p.Info.ID)
	c.markChanged()
	c.gossipRecord(p.record)
}

// notifyAccused sends a host the record that calls it suspect or dead, so that it
// can refute it.
func (c *core) notifyAccused(p *peer, r record) {
	c.send(p, &message{Kind: kindGossip, Records: []cbor.RawMessage{encodeRecord(r)}})
}

// notifyDeclaredDead tells a host that it was declared dead, so that it can refute
// it.
func (c *core) notifyDeclaredDead(p *peer) { c.notifyAccused(p, p.record) }

// refute raises the incarnation of this host, and gossips it, if a record calls
// it suspect or dead or has a higher incarnation.
func (c *core) refute(r record) {
	accused := r.State == host.Suspect || r.State == host.Dead
	ahead := r.Incarnation > c.self.Incarnation
	if c.stopping || r.Incarnation < c.self.Incarnation || !accused && !ahead {
		return
	}
	c.self.Incarnation = r.Incarnation + 1
	if r.State == host.Suspect {
		c.prober.raiseAwareness()
	}
	c.gossipSelf()
}

// accuse records that accuser got no answer from p, and brings the deadline of
// the suspicion forward as the number of accusers grows.
func (c *core) accuse(p *peer, accuser host.ID) {
	if !c.monitors(p) || accuser == "" {
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
			c.markChanged()
		}
	}
	s := p.suspicion
	if s.accusers[accuser] {
		return
	}
	s.accusers[accuser] = true
	if len(s.accusers) <= maxGossipedAccusers {
		accused := p.record
		accused.State, accused.Accuser = host.Suspect, accuser
		c.queue.addRecord(accused, encodeRecord(accused), false, c.transmitLimit())
	}
	if len(s.accusers) >= c.accusersRequired(p) {
		earlier := s.startedAt.Add(c.timing.SuspicionMin * 3 / 2)
		if len(s.accusers) > minAccusers {
			earlier = s.startedAt.Add(c.timing.SuspicionMin)
		}
		s.deadline = minTime(s.deadline, earlier)
	}
	if accuser != c.self.Info.ID && c.isVerifier(p) {
		c.prober.probeSoon(p.Info.ID)
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// accusersRequired returns how many accusers it takes to declare a host dead. One
// is enough for a leaving host, or if no other host could confirm.
func (c *core) accusersRequired(p *peer) int {
	if p.State == host.Leaving || c.currentScope().otherMonitors(p) == 0 {
		return 1
	}
	return minAccusers
}

// clearSuspicion removes the suspicion of a host.
func (c *core) clearSuspicion(p *peer) {
	if p.suspicion == nil {
		return
	}
	p.suspicion = nil
	delete(c.suspected, p.Info.ID)
	if p.State == host.Suspect {
		p.State = host.Alive
		c.markChanged()
	}
}

// expireSuspicions declares dead the hosts that did not refute in time, if there
// are enough accusers. A host that only this one accuses stays suspect, until
// DeadRetention has passed: the local link may be at fault. A suspicion that too
// few other hosts share, and this one does not, is dropped.
func (c *core) expireSuspicions() {
	for _, id := range sortedIDs(c.suspected) {
		p := c.suspected[id]
		s := p.suspicion
		switch {
		case c.now.Before(s.deadline):
		case len(s.accusers) >= c.accusersRequired(p), c.now.Sub(s.startedAt) > c.timing.DeadRetention:
			c.declareDead(p, p.Incarnation)
		case s.accusers[c.self.Info.ID]:
			s.deadline = c.now.Add(c.timing.SuspicionMax)
			c.prober.probeSoon(id)
		default:
			c.clearSuspicion(p)
		}
	}
}
