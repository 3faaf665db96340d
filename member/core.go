package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// maxAwareness bounds the awareness score. A host raises the score when its own
// link or process may be at fault, and its probe timeouts grow with it.
const maxAwareness = 8

// cleanInterval is how often expired state is removed.
const cleanInterval = 5 * time.Second

// awarenessAfterPause is the lowest awareness score of a host whose process has
// just resumed after a pause.
const awarenessAfterPause = 3

// peer is the local host's state for another host.
type peer struct {
	record
	heardAt   time.Time
	suspicion *suspicion
	deadAt    time.Time
	listed    bool // known only from the host list; the record has incarnation 0
}

// core is the protocol's state machine, in the manner of SWIM with Lifeguard. It
// does no I/O and reads no clock: tick and receive are given the time and queue
// the messages and facts that takeOutput returns. The same inputs and random
// seed give the same output. Callers serialise access.
type core struct {
	timing Timing
	rand   *rand.Rand
	now    time.Time

	self             record
	stopping         bool
	newestGeneration uint64 // the highest configuration generation announced by any host
	sequence         uint64
	guard            *replayGuard

	peers      map[host.ID]*peer
	suspected  map[host.ID]*peer
	listedAt   map[netip.AddrPort]host.ID // peers that are known only from the host list
	scope      scope
	heartbeats map[host.DataCentre]*centreHeartbeat

	prober prober
	queue  gossipQueue
	facts  factStore
	syncer syncer

	startedAt   time.Time
	lastHeardAt time.Time // when a datagram of any other host was last accepted
	lastTick    time.Time
	nextClean   time.Time

	out              []outgoing // messages to send
	factsToDeliver   []Fact
	changed          bool // the view changed since the last takeChanged
	unreachableCount int  // unreachable data centres at the last takeChanged
}

func newCore(self host.Info, timing Timing, random *rand.Rand, now time.Time) *core {
	c := &core{
		timing:     timing,
		rand:       random,
		now:        now,
		self:       record{Info: self, Incarnation: 1},
		sequence:   uint64(now.UnixMicro()),
		guard:      newReplayGuard(self.ID, timing.MaxAge),
		peers:      make(map[host.ID]*peer),
		suspected:  make(map[host.ID]*peer),
		listedAt:   make(map[netip.AddrPort]host.ID),
		heartbeats: make(map[host.DataCentre]*centreHeartbeat),
		prober:     newProber(),
		queue:      newGossipQueue(),
		facts:      newFactStore(),
		syncer:     newSyncer(),
		startedAt:  now,
		lastTick:   now,
		changed:    true,
	}
	c.scope.stale = true
	return c
}

// tick runs everything that is due at now.
func (c *core) tick(now time.Time) {
	c.now = now
	if gap := now.Sub(c.lastTick); gap > c.timing.PauseThreshold {
		c.resumeAfterPause(gap)
	}
	c.lastTick = now
	c.expireSuspicions()
	c.runProbes()
	c.gossip()
	c.sync()
	if !now.Before(c.nextClean) {
		c.nextClean = now.Add(cleanInterval)
		c.clean()
	}
}

// resumeAfterPause resets probes and extends deadlines by the length of a pause
// of this process: an answer that is missing from that time says nothing about
// the other hosts.
func (c *core) resumeAfterPause(gap time.Duration) {
	c.prober.reset(c.now)
	c.prober.awareness = max(c.prober.awareness, awarenessAfterPause)
	for _, p := range c.suspected {
		p.suspicion.deadline = p.suspicion.deadline.Add(gap)
	}
	for _, b := range c.heartbeats {
		b.at = b.at.Add(gap)
	}
	c.queue.refilledAt = c.now
}

// receive processes a message whose signature was checked. It returns the cause
// if the message is rejected.
func (c *core) receive(now time.Time, m *message) rejection {
	c.now = now
	if r := c.guard.check(now, m); r != notRejected {
		return r
	}
	records, err := m.decodeRecords()
	if err != nil {
		return rejectedMalformed
	}
	facts, err := m.decodeFacts()
	if err != nil {
		return rejectedMalformed
	}
	c.lastHeardAt = now
	c.mergeSenderRecord(m.Self)
	c.observeGeneration(m.NewestGeneration)
	for i := range records {
		c.mergeRecord(records[i], m.Records[i])
	}
	var merged []string
	for i := range facts {
		if c.mergeFact(facts[i], m.Facts[i]) {
			merged = append(merged, factItemKey(facts[i]))
		}
	}
	c.pushUrgent(merged)
	c.mergeHeartbeats(m.Heartbeats)
	c.compareDigests(m)
	c.dispatch(m)
	return notRejected
}

func (c *core) dispatch(m *message) {
	switch m.Kind {
	case kindPing:
		c.handlePing(m)
	case kindAck:
		c.handleAck(m.Probe)
	case kindIndirectPing:
		c.handleIndirectPing(m)
	case kindNack:
		c.prober.recordNack(m.Probe)
	case kindJoin:
		c.handleJoin(m)
	}
}

// send queues a message to a known host.
func (c *core) send(to *peer, m *message) { c.sendTo(to.Info.ID, to.Info.LinkAddr, m) }

func (c *core) sendTo(id host.ID, addr netip.AddrPort, m *message) {
	c.sequence++
	m.To = id
	m.Sequence = c.sequence
	m.SentMillis = c.now.UnixMilli()
	m.Self = c.self
	m.NewestGeneration = c.newestGeneration
	c.out = append(c.out, outgoing{to: addr, message: m})
}

// takeOutput returns and clears the messages to send and the facts to deliver.
func (c *core) takeOutput() ([]outgoing, []Fact) {
	send, deliver := c.out, c.factsToDeliver
	c.out, c.factsToDeliver = nil, nil
	return send, deliver
}

// takeChanged reports whether the view changed since the last call.
func (c *core) takeChanged() bool {
	unreachable := len(c.unreachableCentres(c.now))
	changed := c.changed || unreachable != c.unreachableCount
	c.changed, c.unreachableCount = false, unreachable
	return changed
}

// setGeneration announces the configuration generation that the host serves.
func (c *core) setGeneration(now time.Time, generation uint64) {
	c.now = now
	if generation == c.self.Generation {
		return
	}
	c.self.Generation = generation
	c.changed = true
	c.observeGeneration(generation)
	c.queue.announceGeneration(c.remoteCentres())
	if c.currentScope().wholeFleet {
		c.gossipSelf()
	}
}

func (c *core) observeGeneration(generation uint64) {
	if generation > c.newestGeneration {
		c.newestGeneration = generation
		c.changed = true
	}
}

// leave announces that the host is leaving.
func (c *core) leave(now time.Time) {
	c.now = now
	if c.self.State == host.Leaving {
		return
	}
	c.self.State = host.Leaving
	c.self.Incarnation++
	c.changed = true
	c.gossipSelf()
}

// stopNoticeFanout is how many hosts are sent a notice when this one stops.
const stopNoticeFanout = 8

// stop marks the local host as dead and notifies a few others.
func (c *core) stop(now time.Time) {
	c.now = now
	c.stopping = true
	c.self.State = host.Dead
	for _, p := range c.pickRandom(stopNoticeFanout, nil) {
		c.send(p, &message{Kind: kindGossip})
	}
}

func (c *core) gossipSelf() {
	raw := encodeItem(&c.self)
	c.queue.addRecord(c.self, raw, true, c.transmitLimit())
}

// clean removes expired state, and declares the hosts of a data centre dead when
// it has been unreachable for longer than DeadRetention.
func (c *core) clean() {
	c.guard.forgetIdle(c.now)
	c.syncer.forgetOldSyncs(c.now)
	// The hosts of the scope are probed directly, so their data centres never time
	// out.
	for centre := range c.currentScope().local {
		if b := c.heartbeats[centre]; b != nil {
			b.at = c.now
		}
	}
	for _, id := range sortedIDs(c.peers) {
		p := c.peers[id]
		b := c.heartbeats[p.Info.Place.DataCentre]
		switch {
		case p.State == host.Dead && c.now.Sub(p.deadAt) > c.timing.DeadRetention:
			c.forgetPeer(id)
		case p.State != host.Dead && b != nil && c.now.Sub(b.at) > c.timing.DeadRetention:
			c.declareDead(p, p.Incarnation)
		}
	}
	c.cleanFacts()
}

func (c *core) forgetPeer(id host.ID) {
	if p := c.peers[id]; p != nil && p.listed {
		delete(c.listedAt, p.Info.LinkAddr)
	}
	delete(c.peers, id)
	delete(c.suspected, id)
	c.facts.dropHost(id)
	c.scope.stale = true
	c.changed = true
}

// encodeRecord encodes a record for a message.
func encodeRecord(r record) cbor.RawMessage { return encodeItem(&r) }
