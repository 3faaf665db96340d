package member

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// Counts of the probing.
const (
	indirectHelpers = 3
	maxUrgent       = 16
	digestEvery     = 5 // probes between two that compare digests
	beatsEvery      = 2 // probes between two that carry beats
	deadProbeEvery  = 5 // probes between two that try a dead host
)

// probe is one question to a host that is not yet answered.
type probe struct {
	number   uint64
	target   host.ID
	started  time.Time
	counts   bool // a missing answer is held against the target
	indirect bool // other hosts were asked to try
	helpers  int
	nacks    int
}

// relay is a ping made for another host.
type relay struct {
	number   uint64 // of the ping made here
	asker    host.ID
	asked    uint64 // the asker's number
	deadline time.Time
}

// prober holds the questions that are out and whom to ask next.
type prober struct {
	next      time.Time
	round     int
	number    uint64
	ring      []host.ID
	urgent    []host.ID
	waiting   []*probe
	relays    []*relay
	awareness int // how far this host doubts its own link
}

func newProber() prober { return prober{} }

// reset drops every question that is out.
func (p *prober) reset(now time.Time) {
	p.waiting, p.relays = nil, nil
	p.next = now
}

func (p *prober) doubt() { p.awareness = min(p.awareness+1, maxAwareness) }

func (p *prober) trust() { p.awareness = max(p.awareness-1, 0) }

// urge puts a host ahead of the ring.
func (p *prober) urge(id host.ID) {
	if len(p.urgent) < maxUrgent && !slices.Contains(p.urgent, id) {
		p.urgent = append(p.urgent, id)
	}
}

func (p *prober) takeNack(number uint64) {
	for _, w := range p.waiting {
		if w.number == number {
			w.nacks++
		}
	}
}

// scaled stretches a time by the doubt in the own link.
func (c *core) scaled(d time.Duration) time.Duration {
	return d * time.Duration(1+c.prober.awareness)
}

func (c *core) runProbes() {
	c.checkWaiting()
	c.checkRelays()
	for _, id := range c.prober.urgent {
		if p, known := c.peers[id]; known && c.watched(p) {
			c.ping(p, true, extras{})
		}
	}
	c.prober.urgent = c.prober.urgent[:0]
	if c.now.Before(c.prober.next) {
		return
	}
	c.prober.next = c.now.Add(c.scaled(c.timing.ProbeInterval))
	c.prober.round++
	c.probeRing()
	c.probeRemote()
	c.probeDead()
}

// probeRing asks the next host of the scope, in an order that is shuffled
// anew in each round.
func (c *core) probeRing() {
	for range c.scopeNow().peers {
		if len(c.prober.ring) == 0 {
			c.refillRing()
		}
		id := c.prober.ring[0]
		c.prober.ring = c.prober.ring[1:]
		if p, known := c.peers[id]; known && c.watched(p) {
			c.ping(p, true, extras{beats: c.prober.round%beatsEvery == 0, digests: c.prober.round%digestEvery == 0})
			return
		}
	}
}

// watched says whether this host judges another: those outside its scope it
// leaves to their neighbours.
func (c *core) watched(p *peer) bool { return p.State != host.Dead && c.isLocal(p.Info.Place) }

func (c *core) refillRing() {
	peers := c.scopeNow().peers
	for _, i := range c.rand.Perm(len(peers)) {
		c.prober.ring = append(c.prober.ring, peers[i].Info.ID)
	}
}

// probeRemote has a delegate ask a delegate of the next data centre.
func (c *core) probeRemote() {
	s := c.scopeNow()
	if !s.isSpeaker || len(s.remote) == 0 {
		return
	}
	centre := s.remote[c.prober.round%len(s.remote)]
	delegates := s.delegates[centre]
	c.ping(delegates[c.rand.IntN(len(delegates))], false, extras{beats: true, digests: c.prober.round%digestEvery == 0})
}

// probeDead now and then tries a host that counts as dead, so that the two
// sides of a partition find each other again.
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
	c.ping(c.peers[dead[c.rand.IntN(len(dead))]], false, extras{beats: true, digests: true})
}

// extras is what a ping carries besides the question; its ack does the same.
type extras struct {
	beats   bool
	digests bool
}

// ping asks a host; counts says whether silence is held against it.
func (c *core) ping(p *peer, counts bool, with extras) {
	c.prober.number++
	c.prober.waiting = append(c.prober.waiting, &probe{
		number: c.prober.number, target: p.Info.ID, started: c.now, counts: counts,
	})
	c.sendPing(p, c.prober.number, with)
}

func (c *core) sendPing(p *peer, number uint64, with extras) {
	m := &message{Kind: kindPing, Probe: number}
	c.attach(m, with)
	if p.State == host.Dead || p.suspicion != nil {
		m.Records = append(m.Records, c.charge(p))
	}
	c.fill(m, p)
	c.send(p, m)
}

// charge is what this host holds against another, for that one to refute.
func (c *core) charge(p *peer) cbor.RawMessage {
	r := p.record
	if r.State != host.Dead {
		r.State, r.Accuser = host.Suspect, c.self.Info.ID
	}
	return rawOf(r)
}

func (c *core) attach(m *message, with extras) {
	if with.beats {
		m.Beats = c.ownBeats()
	}
	if with.digests {
		m.Digests = c.digests()
	}
}

func (c *core) answerPing(m *message) {
	p, known := c.peers[m.Self.Info.ID]
	if !known {
		return
	}
	reply := &message{Kind: kindAck, Probe: m.Probe}
	c.attach(reply, extras{beats: len(m.Beats) > 0, digests: len(m.Digests) > 0})
	c.fill(reply, p)
	c.send(p, reply)
}

// takeAck ends a probe, or passes the answer on to the host that asked.
func (c *core) takeAck(number uint64) {
	for i, w := range c.prober.waiting {
		if w.number != number {
			continue
		}
		c.prober.waiting = slices.Delete(c.prober.waiting, i, i+1)
		if p, known := c.peers[w.target]; known && p.State != host.Dead {
			p.heardAt = c.now
			c.clearSuspicion(p)
		}
		if w.counts {
			c.prober.trust()
		}
		return
	}
	for i, r := range c.prober.relays {
		if r.number == number {
			c.prober.relays = slices.Delete(c.prober.relays, i, i+1)
			c.reply(r, kindAck)
			return
		}
	}
}

func (c *core) reply(r *relay, k kind) {
	if asker, known := c.peers[r.asker]; known {
		c.send(asker, &message{Kind: k, Probe: r.asked})
	}
}

// relayPing pings a third host for the sender.
func (c *core) relayPing(m *message) {
	target, known := c.peers[m.Target]
	if !known || target.State == host.Dead {
		return
	}
	c.prober.number++
	c.prober.relays = append(c.prober.relays, &relay{
		number: c.prober.number, asker: m.Self.Info.ID, asked: m.Probe,
		deadline: c.now.Add(c.timing.DirectTimeout),
	})
	c.sendPing(target, c.prober.number, extras{})
}

func (c *core) checkRelays() {
	var open []*relay
	for _, r := range c.prober.relays {
		if c.now.Before(r.deadline) {
			open = append(open, r)
			continue
		}
		c.reply(r, kindNack)
	}
	c.prober.relays = open
}

// checkWaiting takes the next step on the probes that got no answer in time.
func (c *core) checkWaiting() {
	var open []*probe
	for _, w := range c.prober.waiting {
		age := c.now.Sub(w.started)
		switch {
		case age >= c.scaled(c.timing.ProbeTimeout):
			c.probeFailed(w)
			continue
		case age >= c.scaled(c.timing.DirectTimeout) && !w.indirect && w.counts:
			c.tryIndirect(w)
		}
		open = append(open, w)
	}
	c.prober.waiting = open
}

// tryIndirect asks others to ping the target, and pings it once more.
func (c *core) tryIndirect(w *probe) {
	w.indirect = true
	target, known := c.peers[w.target]
	if !known {
		return
	}
	leaveOut := map[host.ID]bool{w.target: true}
	for id := range c.suspected {
		leaveOut[id] = true
	}
	helpers := c.pick(indirectHelpers, leaveOut)
	w.helpers = len(helpers)
	for _, h := range helpers {
		c.send(h, &message{Kind: kindIndirectPing, Probe: w.number, Target: w.target})
	}
	c.sendPing(target, w.number, extras{})
}

// probeFailed accuses a host that did not answer. When the helpers did not
// answer either, the fault may be with the own link.
func (c *core) probeFailed(w *probe) {
	p, known := c.peers[w.target]
	if !w.counts || !known || p.State == host.Dead {
		return
	}
	if w.nacks < w.helpers || w.helpers == 0 {
		c.prober.doubt()
	}
	if p.heardAt.After(w.started) {
		return
	}
	c.accuse(p, c.self.Info.ID)
}
