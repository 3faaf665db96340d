package member

import (
	"math/bits"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// Sizes of the spreading of news.
const (
	gossipFanout     = 3
	hurriedRounds    = 3 // rounds in which a new generation is told at once
	largeFactSends   = 3
	smallFactBytes   = 64
	maxQueuedNews    = 4096
	burstSeconds     = 4.0
	headerBytes      = 230 // of a message, signature and UDP/IP headers included
	bytesPerBeat     = 12  // besides the name
	remotePerRound   = 3   // data centres that a delegate tells in one round
	remoteLifetime   = 10 * time.Second
	overdraftSeconds = 1.0
)

// item is one record or fact that is being passed on.
type item struct {
	key      string
	raw      cbor.RawMessage
	isFact   bool
	order    uint64
	sends    int // within the scope
	limit    int
	crosses  bool // a delegate carries it to other data centres
	told     map[host.DataCentre]bool
	queuedAt time.Time
}

// news is the queue of what is passed on, and the budget for it.
type news struct {
	items      map[string]*item
	order      uint64
	next       time.Time
	tokens     float64 // bytes that may be sent now
	refilledAt time.Time
	hurried    int // rounds left in which a new generation is told
	hurriedTo  map[host.DataCentre]bool
	nextRemote int
	dropped    uint64
}

func newNews() news { return news{items: make(map[string]*item)} }

// hurry has the next rounds send messages even without items, so that a new
// generation, which every message carries, gets around.
func (n *news) hurry(remote []host.DataCentre) {
	n.hurried = hurriedRounds
	n.hurriedTo = make(map[host.DataCentre]bool)
	for _, centre := range remote {
		n.hurriedTo[centre] = true
	}
}

func (n *news) add(i *item) {
	n.order++
	i.order = n.order
	if _, queued := n.items[i.key]; !queued && len(n.items) >= maxQueuedNews {
		n.dropped++
		return
	}
	n.items[i.key] = i
}

// addRecord queues a record in place of an older one of the same host.
func (n *news) addRecord(r record, raw cbor.RawMessage, crosses bool, sends int) {
	key := "r\x00" + string(r.Info.ID) + "\x00" + string(r.Accuser)
	n.add(&item{key: key, raw: raw, limit: sends, crosses: crosses && r.State != host.Suspect})
}

// addFact queues a fact in place of an older one of the same key.
func (n *news) addFact(f factRecord, raw cbor.RawMessage, crosses bool, sends int) {
	if len(f.Payload) > smallFactBytes {
		sends = min(sends, largeFactSends)
	}
	key := "f\x00" + string(f.From) + "\x00" + string(f.Topic) + "\x00" + f.Key
	n.add(&item{key: key, raw: raw, isFact: true, limit: sends, crosses: crosses})
}

// refill adds the budget of the time that went by.
func (n *news) refill(now time.Time, rate float64) {
	elapsed := now.Sub(n.refilledAt).Seconds()
	if n.refilledAt.IsZero() || elapsed > burstSeconds {
		elapsed = burstSeconds
	}
	n.refilledAt = now
	n.tokens = min(n.tokens+elapsed*rate, burstSeconds*rate)
}

// queue returns the items in the order in which they are sent: records before
// facts, what was sent least before the rest, the newest first.
func (n *news) queue() []*item {
	items := make([]*item, 0, len(n.items))
	for _, i := range n.items {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *item) int {
		switch {
		case a.isFact != b.isFact:
			return boolOrder(a.isFact)
		case a.sends != b.sends:
			return a.sends - b.sends
		case a.order > b.order:
			return -1
		}
		return 1
	})
	return items
}

func boolOrder(after bool) int {
	if after {
		return 1
	}
	return -1
}

// transmits is how often a host passes an item on inside its scope.
func (c *core) transmits() int {
	return 2 + bits.Len(uint(len(c.scopeNow().peers)))
}

// room is what records and facts may take in a message.
func room(m *message) int {
	left := maxDatagramBytes - headerBytes
	for _, b := range m.Beats {
		left -= bytesPerBeat + len(b.DataCentre)
	}
	for _, d := range m.Digests {
		left -= bytesPerBeat + len(d.DataCentre)
	}
	for _, raw := range m.Records {
		left -= len(raw)
	}
	return left
}

// put adds an item to a message if there is room, and returns the room left.
func (m *message) put(i *item, left int) (int, bool) {
	if len(i.raw)+2 > left || len(m.Records)+len(m.Facts) >= maxItems/2 {
		return left, false
	}
	if i.isFact {
		m.Facts = append(m.Facts, i.raw)
	} else {
		m.Records = append(m.Records, i.raw)
	}
	return left - len(i.raw) - 2, true
}

// fill adds waiting records to a ping or an ack, which is sent anyway.
func (c *core) fill(m *message, to *peer) {
	if len(c.news.items) == 0 || !c.isLocal(to.Info.Place) {
		return
	}
	left := room(m)
	for _, i := range c.news.queue() {
		if i.isFact || left <= 0 {
			break
		}
		var fits bool
		if left, fits = m.put(i, left); fits {
			i.sends++
		}
	}
}

// gossip passes the news on, as far as the budget goes.
func (c *core) gossip() {
	n := &c.news
	if c.now.Before(n.next) {
		return
	}
	n.next = c.now.Add(c.timing.GossipInterval)
	n.refill(c.now, c.timing.BytesPerSecond)
	for _, p := range c.pick(gossipFanout, nil) {
		c.gossipTo(p)
	}
	if c.scopeNow().isSpeaker {
		c.gossipAbroad()
	}
	n.hurried = max(n.hurried-1, 0)
	c.dropSpread()
}

func (c *core) gossipTo(p *peer) {
	n := &c.news
	m := &message{Kind: kindGossip}
	left := room(m)
	for _, i := range n.queue() {
		if i.sends >= i.limit || !n.affords(i, c.timing.BytesPerSecond) {
			continue
		}
		var fits bool
		if left, fits = m.put(i, left); fits {
			i.sends++
			n.tokens -= float64(len(i.raw))
		}
	}
	if len(m.Records)+len(m.Facts) == 0 && n.hurried == 0 {
		return
	}
	n.tokens -= headerBytes
	c.send(p, m)
}

// affords says whether the budget allows an item: records may overdraw it.
func (n *news) affords(i *item, rate float64) bool {
	if i.isFact {
		return n.tokens > 0
	}
	return n.tokens > -overdraftSeconds*rate
}

// gossipAbroad tells the delegates of a few other data centres what came up in
// the own scope.
func (c *core) gossipAbroad() {
	remote := c.scopeNow().remote
	for range min(remotePerRound, len(remote)) {
		c.news.nextRemote = (c.news.nextRemote + 1) % len(remote)
		c.gossipToCentre(remote[c.news.nextRemote])
	}
}

func (c *core) gossipToCentre(centre host.DataCentre) {
	n := &c.news
	m := &message{Kind: kindGossip}
	left := room(m)
	for _, i := range n.queue() {
		if !i.crosses || i.told[centre] || !n.affords(i, c.timing.BytesPerSecond) {
			continue
		}
		var fits bool
		if left, fits = m.put(i, left); fits {
			n.tokens -= float64(len(i.raw))
			if i.told == nil {
				i.told = make(map[host.DataCentre]bool)
			}
			i.told[centre] = true
		}
	}
	if len(m.Records)+len(m.Facts) == 0 && !n.hurriedTo[centre] {
		return
	}
	delete(n.hurriedTo, centre)
	n.tokens -= headerBytes
	delegates := c.scopeNow().delegates[centre]
	c.send(delegates[c.rand.IntN(len(delegates))], m)
}

// dropSpread drops the items that were passed on often enough.
func (c *core) dropSpread() {
	s := c.scopeNow()
	for key, i := range c.news.items {
		if i.queuedAt.IsZero() {
			i.queuedAt = c.now
		}
		abroad := s.isSpeaker && i.crosses && len(i.told) < len(s.remote) && c.now.Sub(i.queuedAt) < remoteLifetime
		local := i.sends < i.limit && len(s.peers) > 0
		if !local && !abroad {
			delete(c.news.items, key)
		}
	}
}
