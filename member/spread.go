package member

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/galenaseam/galenaseam/host"
)

// transmits is how often a host passes an item on inside its scope.
func (c *core) transmits() int {
	return 2 + bits.Len(uint(len(c.scopeNow().peers)))
}

// factTransmits is how often a host passes a small fact on inside its scope;
// the refresh mends what that misses.
func (c *core) factTransmits(f factRecord) int {
	if c.small() {
		return smallFactSends(f)
	}
	return 3 + bits.Len(uint(len(c.scopeNow().peers)))/2
}

// smallFactSends is how often a fact that came straight from its host is
// passed on: short ones once, for those that missed them.
func smallFactSends(f factRecord) int {
	if len(f.Payload) > smallFactBytes {
		return 0
	}
	return 1
}

// small says whether facts go straight from their host to every other.
func (c *core) small() bool {
	s := c.scopeNow()
	return s.whole && len(s.peers) <= smallFleet
}

// tellAll sends the waiting facts of this host, the oldest first, to every
// other, as far as the budgets go.
func (c *core) tellAll() {
	n := &c.news
	before := n.tokens
	n.tokens = n.urgentTokens
	c.tellOwn(n.oldestOwn(true))
	n.urgentTokens, n.tokens = n.tokens, before
	c.tellOwn(n.oldestOwn(false))
}

// tellOwn sends facts of this host to every other, as far as the budget goes.
func (c *core) tellOwn(waiting []*item) {
	peers := c.scopeNow().peers
	left := c.news.tokens
	var own []*item
	for _, i := range waiting {
		if left <= 0 {
			break
		}
		left -= float64(len(i.raw) * len(peers))
		i.toAll--
		own = append(own, i)
	}
	if len(own) == 0 {
		return
	}
	for _, p := range peers {
		c.tellOne(p, own)
	}
}

// oldestOwn returns the facts that go straight to all, urgent ones or others,
// the oldest first.
func (n *news) oldestOwn(urgent bool) []*item {
	var own []*item
	for _, i := range n.items {
		if i.toAll > 0 && i.urgent == urgent {
			own = append(own, i)
		}
	}
	slices.SortFunc(own, func(a, b *item) int { return cmp.Compare(a.order, b.order) })
	return own
}

func (c *core) tellOne(p *peer, items []*item) {
	m := &message{Kind: kindGossip}
	left := room(m)
	for _, i := range items {
		var fits bool
		if left, fits = m.put(i, left); !fits {
			c.news.tokens -= headerBytes
			c.send(p, m)
			m = &message{Kind: kindGossip}
			left, _ = m.put(i, room(m))
		}
		c.news.tokens -= float64(len(i.raw))
	}
	c.news.tokens -= headerBytes
	c.send(p, m)
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
	c.tellAll()
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
		if i.sends >= i.limit || !n.affords(i, n.tokens, c.timing.BytesPerSecond) {
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

// affords says whether an item may be sent when some of the budget is left:
// records and urgent facts may overdraw it.
func (n *news) affords(i *item, left, rate float64) bool {
	if i.isFact && !i.urgent {
		return left > 0
	}
	return left > -overdraftSeconds*rate
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
		if !i.crosses || i.told[centre] || !n.affords(i, n.tokens, c.timing.BytesPerSecond) {
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
		local := (i.toAll > 0 || i.sends < i.limit) && len(s.peers) > 0
		if !local && !abroad {
			delete(c.news.items, key)
		}
	}
}
