package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// maxAwareness bounds how far a host slows its probes when it doubts its own
// link.
const maxAwareness = 8

// cleanInterval is how often old state is dropped.
const cleanInterval = 5 * time.Second

// wakeAwareness is the doubt in its own view of a host that was paused.
const wakeAwareness = 3

// peer is another host as this one sees it.
type peer struct {
	record
	heardAt   time.Time
	suspicion *suspicion
	deadAt    time.Time
}

// core decides everything the protocol does. It does no I/O: tick and receive
// take the time and leave what is to be sent and delivered in the core, from
// where take fetches it. With the same inputs and the same seed it does the
// same. Callers serialise its use.
type core struct {
	timing Timing
	rand   *rand.Rand
	now    time.Time

	self     record
	stopping bool
	newest   uint64 // the highest configuration generation heard of
	sequence uint64
	guard    *guard

	peers     map[host.ID]*peer
	suspected map[host.ID]*peer
	scope     scope
	beats     map[host.DataCentre]*centreBeat

	prober prober
	news   news
	facts  factStore
	syncer syncer

	startedAt time.Time
	heardAt   time.Time // when any other host was heard
	lastTick  time.Time
	nextClean time.Time

	out       []outgoing
	delivered []Fact
	changed   bool // the view changed since takeChanged
	silent    int  // data centres out of reach at the last takeChanged
}

func newCore(self host.Info, timing Timing, random *rand.Rand, now time.Time) *core {
	c := &core{
		timing:    timing,
		rand:      random,
		now:       now,
		self:      record{Info: self, Incarnation: 1},
		sequence:  uint64(now.UnixMicro()),
		guard:     newGuard(self.ID, timing.MaxAge),
		peers:     make(map[host.ID]*peer),
		suspected: make(map[host.ID]*peer),
		beats:     make(map[host.DataCentre]*centreBeat),
		prober:    newProber(),
		news:      newNews(),
		facts:     newFactStore(),
		syncer:    newSyncer(),
		startedAt: now,
		lastTick:  now,
		changed:   true,
	}
	c.scope.stale = true
	return c
}

// tick does what is due at now.
func (c *core) tick(now time.Time) {
	c.now = now
	if gap := now.Sub(c.lastTick); gap > c.timing.PauseAfter {
		c.wake(gap)
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

// wake discards the timers that ran on while the process stood still: what was
// not answered in that time says nothing of the others.
func (c *core) wake(gap time.Duration) {
	c.prober.reset(c.now)
	c.prober.awareness = max(c.prober.awareness, wakeAwareness)
	for _, p := range c.suspected {
		p.suspicion.deadline = p.suspicion.deadline.Add(gap)
	}
	for _, b := range c.beats {
		b.at = b.at.Add(gap)
	}
	c.news.refilledAt = c.now
}

// receive takes in an authentic message and says whether it was refused.
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
	c.heardAt = now
	c.hearFrom(m.Self)
	c.noteNewest(m.Newest)
	for i := range records {
		c.mergeRecord(records[i], m.Records[i])
	}
	for i := range facts {
		c.mergeFact(facts[i], m.Facts[i])
	}
	c.mergeBeats(m.Beats)
	c.compareDigests(m)
	c.answer(m)
	return notRejected
}

func (c *core) answer(m *message) {
	switch m.Kind {
	case kindPing:
		c.answerPing(m)
	case kindAck:
		c.takeAck(m.Probe)
	case kindIndirectPing:
		c.relayPing(m)
	case kindNack:
		c.prober.takeNack(m.Probe)
	case kindJoin:
		c.answerJoin(m)
	}
}

// send leaves a message for a host that is known.
func (c *core) send(to *peer, m *message) { c.sendTo(to.Info.ID, to.Info.LinkAddr, m) }

func (c *core) sendTo(id host.ID, addr netip.AddrPort, m *message) {
	c.sequence++
	m.To = id
	m.Sequence = c.sequence
	m.SentMillis = c.now.UnixMilli()
	m.Self = c.self
	m.Newest = c.newest
	c.out = append(c.out, outgoing{to: addr, message: m})
}

// take hands over the messages to send and the facts to deliver.
func (c *core) take() ([]outgoing, []Fact) {
	send, deliver := c.out, c.delivered
	c.out, c.delivered = nil, nil
	return send, deliver
}

// takeChanged says whether the view changed since the last call.
func (c *core) takeChanged() bool {
	silent := len(c.silentCentres(c.now))
	changed := c.changed || silent != c.silent
	c.changed, c.silent = false, silent
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
	c.noteNewest(generation)
	c.news.hurry(c.remoteCentres())
	if c.scopeNow().whole {
		c.spreadSelf()
	}
}

func (c *core) noteNewest(generation uint64) {
	if generation > c.newest {
		c.newest = generation
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
	c.spreadSelf()
}

// lastFarewells is how many hosts are told of the end of this one.
const lastFarewells = 8

// stop tells some hosts that this one has ended.
func (c *core) stop(now time.Time) {
	c.now = now
	c.stopping = true
	c.self.State = host.Dead
	for _, p := range c.pick(lastFarewells, nil) {
		c.send(p, &message{Kind: kindGossip})
	}
}

func (c *core) spreadSelf() {
	raw := encodeItem(&c.self)
	c.news.addRecord(c.self, raw, true, c.transmits())
}

// clean drops what is too old to matter, and gives up data centres that were
// out of reach for long.
func (c *core) clean() {
	c.guard.forgetIdle(c.now)
	c.syncer.forgetOld(c.now)
	for centre := range c.scopeNow().local {
		if b := c.beats[centre]; b != nil {
			b.at = c.now
		}
	}
	for _, id := range sortedIDs(c.peers) {
		p := c.peers[id]
		b := c.beats[p.Info.Place.DataCentre]
		switch {
		case p.State == host.Dead && c.now.Sub(p.deadAt) > c.timing.KeepDead:
			c.forgetPeer(id)
		case p.State != host.Dead && b != nil && c.now.Sub(b.at) > c.timing.KeepDead:
			c.declareDead(p, p.Incarnation)
		}
	}
	c.cleanFacts()
}

func (c *core) forgetPeer(id host.ID) {
	delete(c.peers, id)
	delete(c.suspected, id)
	c.facts.dropHost(id)
	c.scope.stale = true
	c.changed = true
}

// rawOf returns a record encoded, as this host would tell it.
func rawOf(r record) cbor.RawMessage { return encodeItem(&r) }
