package member

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// Limits and frequencies of probing.
const (
	indirectHelpers   = 3
	maxPriorityProbes = 16
	digestEvery       = 5 // every fifth round also compares digests
	heartbeatEvery    = 2 // every second round also carries heartbeats
	deadProbeEvery    = 5 // every fifth round also probes a dead host
)

// probe is a ping that is not yet answered.
type probe struct {
	number          uint64
	target          host.ID
	started         time.Time
	accuseOnTimeout bool // a missing answer accuses the target
	indirect        bool // other hosts were asked to ping the target
	helpers         int
	nacks           int
}

// relay is a ping sent on behalf of another host.
type relay struct {
	number          uint64 // probe number of the ping sent from here
	requester       host.ID
	requesterNumber uint64 // the requester's probe number
	deadline        time.Time
}

// prober holds the outstanding probes and the order of the next ones.
type prober struct {
	next      time.Time // when the next round starts
	round     int       // rounds so far
	number    uint64    // the last probe number used
	ring      []host.ID // hosts of the scope still to be probed in this pass
	priority  []host.ID // hosts to probe at the next tick
	pending   []*probe
	relays    []*relay
	awareness int // score from 0 to maxAwareness; higher when the local link may be at fault
}

func newProber() prober { return prober{} }

// reset discards all outstanding probes and relays.
func (p *prober) reset(now time.Time) {
	p.pending, p.relays = nil, nil
	p.next = now
}

func (p *prober) raiseAwareness() { p.awareness = min(p.awareness+1, maxAwareness) }

func (p *prober) lowerAwareness() { p.awareness = max(p.awareness-1, 0) }

// probeSoon has a host probed at the next tick, ahead of the ring.
func (p *prober) probeSoon(id host.ID) {
	if len(p.priority) < maxPriorityProbes && !slices.Contains(p.priority, id) {
		p.priority = append(p.priority, id)
	}
}

func (p *prober) recordNack(number uint64) {
	for _, pr := range p.pending {
		if pr.number == number {
			pr.nacks++
		}
	}
}

// scaleByAwareness multiplies a timeout by the awareness score plus one.
func (c *core) scaleByAwareness(d time.Duration) time.Duration {
	return d * time.Duration(1+c.prober.awareness)
}

func (c *core) runProbes() {
	c.checkPending()
	c.checkRelays()
	for _, id := range c.prober.priority {
		if p, known := c.peers[id]; known && c.monitors(p) {
			c.ping(p, true, extras{})
		}
	}
	c.prober.priority = c.prober.priority[:0]
	if c.now.Before(c.prober.next) {
		return
	}
	c.prober.next = c.now.Add(c.scaleByAwareness(c.timing.ProbeInterval))
	c.prober.round++
	c.probeRing()
	c.probeRemote()
	c.probeDead()
}

// probeRing probes the next host of the scope, in a random order that is
// shuffled again after each pass.
func (c *core) probeRing() {
	for range c.currentScope().peers {
		if len(c.prober.ring) == 0 {
			c.refillRing()
		}
		id := c.prober.ring[0]
		c.prober.ring = c.prober.ring[1:]
		if p, known := c.peers[id]; known && c.monitors(p) {
			c.ping(p, true, extras{heartbeats: c.prober.round%heartbeatEvery == 0, digests: c.prober.round%digestEvery == 0})
			return
		}
	}
}

// monitors reports whether this host may accuse p. Hosts outside the scope are
// monitored by the hosts of their own scope.
func (c *core) monitors(p *peer) bool { return p.State != host.Dead && c.isLocal(p.Info.Place) }

func (c *core) refillRing() {
	peers := c.currentScope().peers
	for _, i := range c.rand.Perm(len(peers)) {
		c.prober.ring = append(c.prober.ring, peers[i].Info.ID)
	}
}

// probeRemote sends a ping from a delegate to a delegate of the next remote data
// centre.
func (c *core) probeRemote() {
	s := c.currentScope()
	if !s.isDelegate || len(s.remote) == 0 {
		return
	}
	centre := s.remote[c.prober.round%len(s.remote)]
	delegates := s.delegates[centre]
	c.ping(delegates[c.rand.IntN(len(delegates))], false, extras{heartbeats: true, digests: c.prober.round%digestEvery == 0})
}

// probeDead pings a random dead host at every fifth round, so that the sides of
// a partition find each other again.
func (c *core) probeDead() {
	if c.prober.round%deadProbeEvery != 0 {
		return
	}
	var dead []host.ID
	for id, p := range c.peers {
		if p.State == host.Dead {
			dead = append(dead, id)
		}
	}
	if len(dead) == 0 {
		return
	}
	slices.Sort(dead)
	c.ping(c.peers[dead[c.rand.IntN(len(dead))]], false, extras{heartbeats: true, digests: true})
}

// extras selects what a ping carries besides the probe; its ack carries the same.
type extras struct {
	heartbeats bool
	digests    bool
}

// ping sends a probe to a host. With accuseOnTimeout, a missing answer accuses
// the host.
func (c *core) ping(p *peer, accuseOnTimeout bool, include extras) {
	c.prober.number++
	c.prober.pending = append(c.prober.pending, &probe{
		number: c.prober.number, target: p.Info.ID, started: c.now, accuseOnTimeout: accuseOnTimeout,
	})
	c.sendPing(p, c.prober.number, include)
}

func (c *core) sendPing(p *peer, number uint64, include extras) {
	m := &message{Kind: kindPing, Probe: number}
	c.attach(m, include)
	if p.State == host.Dead || p.suspicion != nil {
		m.Records = append(m.Records, c.accusation(p))
	}
	c.piggybackRecords(m, p)
	c.send(p, m)
}

// accusation returns the record of p as dead, or as suspected by this host. A
// ping carries it, so that p can refute it.
func (c *core) accusation(p *peer) cbor.RawMessage {
	r := p.record
	if r.State != host.Dead {
		r.State, r.Accuser = host.Suspect, c.self.Info.ID
	}
	return encodeRecord(r)
}

func (c *core) attach(m *message, include extras) {
	if include.heartbeats {
		m.Heartbeats = c.currentHeartbeats()
	}
	if include.digests {
		m.Digests = c.digests()
	}
}

func (c *core) handlePing(m *message) {
	p, known := c.peers[m.Self.Info.ID]
	if !known {
		return
	}
	reply := &message{Kind: kindAck, Probe: m.Probe}
	c.attach(reply, extras{heartbeats: len(m.Heartbeats) > 0, digests: len(m.Digests) > 0})
	c.piggybackRecords(reply, p)
	c.send(p, reply)
}

// handleAck ends a probe, or forwards the ack to the host that requested the
// ping.
func (c *core) handleAck(number uint64) {
	for i, pr := range c.prober.pending {
		if pr.number != number {
			continue
		}
		c.prober.pending = slices.Delete(c.prober.pending, i, i+1)
		if p, known := c.peers[pr.target]; known && p.State != host.Dead {
			p.heardAt = c.now
			c.clearSuspicion(p)
		}
		if pr.accuseOnTimeout {
			c.prober.lowerAwareness()
		}
		return
	}
	for i, r := range c.prober.relays {
		if r.number == number {
			c.prober.relays = slices.Delete(c.prober.relays, i, i+1)
			c.replyToRelay(r, kindAck)
			return
		}
	}
}

func (c *core) replyToRelay(r *relay, k kind) {
	if requester, known := c.peers[r.requester]; known {
		c.send(requester, &message{Kind: k, Probe: r.requesterNumber})
	}
}

// handleIndirectPing pings a third host on behalf of the sender.
func (c *core) handleIndirectPing(m *message) {
	target, known := c.peers[m.Target]
	if !known || target.State == host.Dead {
		return
	}
	c.prober.number++
	c.prober.relays = append(c.prober.relays, &relay{
		number: c.prober.number, requester: m.Self.Info.ID, requesterNumber: m.Probe,
		deadline: c.now.Add(c.timing.DirectTimeout),
	})
	c.sendPing(target, c.prober.number, extras{})
}

func (c *core) checkRelays() {
	var stillOpen []*relay
	for _, r := range c.prober.relays {
		if c.now.Before(r.deadline) {
			stillOpen = append(stillOpen, r)
			continue
		}
		c.replyToRelay(r, kindNack)
	}
	c.prober.relays = stillOpen
}

// checkPending fails the probes that timed out, and starts indirect pings for
// those without an answer within DirectTimeout.
func (c *core) checkPending() {
	var stillPending []*probe
	for _, pr := range c.prober.pending {
		age := c.now.Sub(pr.started)
		switch {
		case age >= c.scaleByAwareness(c.timing.ProbeTimeout):
			c.probeFailed(pr)
			continue
		case age >= c.scaleByAwareness(c.timing.DirectTimeout) && !pr.indirect && pr.accuseOnTimeout:
			c.probeIndirectly(pr)
		}
		stillPending = append(stillPending, pr)
	}
	c.prober.pending = stillPending
}

// probeIndirectly asks other hosts to ping the target, and pings it once more.
func (c *core) probeIndirectly(pr *probe) {
	pr.indirect = true
	target, known := c.peers[pr.target]
	if !known {
		return
	}
	exclude := map[host.ID]bool{pr.target: true}
	for id := range c.suspected {
		exclude[id] = true
	}
	helpers := c.pickRandom(indirectHelpers, exclude)
	pr.helpers = len(helpers)
	for _, h := range helpers {
		c.send(h, &message{Kind: kindIndirectPing, Probe: pr.number, Target: pr.target})
	}
	c.sendPing(target, pr.number, extras{})
}

// probeFailed accuses a host that did not answer. If helpers did not answer
// either, the local link may be at fault, so the awareness score rises.
func (c *core) probeFailed(pr *probe) {
	p, known := c.peers[pr.target]
	if !pr.accuseOnTimeout || !known || p.State == host.Dead {
		return
	}
	if pr.nacks < pr.helpers || pr.helpers == 0 {
		c.prober.raiseAwareness()
	}
	if p.heardAt.After(pr.started) {
		return
	}
	c.accuse(p, c.self.Info.ID)
}
