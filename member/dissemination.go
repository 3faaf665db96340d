package member

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/galenaseam/galenaseam/host"
)

// transmitLimit returns how often a host sends an item within its scope.
func (c *core) transmitLimit() int {
	return 2 + bits.Len(uint(len(c.currentScope().peers)))
}

// factTransmitLimit returns how often a host sends a fact within its scope.
// Hosts that it does not reach get the fact from refreshFacts.
func (c *core) factTransmitLimit(f factRecord) int {
	if c.isSmallFleet() {
		return smallFleetFactSends(f)
	}
	return 3 + bits.Len(uint(len(c.currentScope().peers)))/2
}

// smallFleetFactSends returns how often a host of a small fleet forwards a fact
// that came directly from its publisher: small ones once, for hosts that missed
// them.
func smallFleetFactSends(f factRecord) int {
	if len(f.Payload) > smallFactBytes {
		return 0
	}
	return 1
}

// isSmallFleet reports whether the fleet is so small that hosts send their facts
// directly to every other.
func (c *core) isSmallFleet() bool {
	s := c.currentScope()
	return s.wholeFleet && len(s.peers) <= smallFleetPeers
}

// sendOwnFacts sends the queued facts of this host, the oldest first, directly to
// every other, within the budgets of urgent and of other facts.
func (c *core) sendOwnFacts() {
	q := &c.queue
	before := q.tokens
	q.tokens = q.urgentTokens
	c.sendDirect(q.directItems(true))
	q.urgentTokens, q.tokens = q.tokens, before
	c.sendDirect(q.directItems(false))
}

// sendDirect sends facts of this host to every other, within the budget.
func (c *core) sendDirect(waiting []*item) {
	peers := c.currentScope().peers
	budget := c.queue.tokens
	var batch []*item
	for _, i := range waiting {
		if budget <= 0 {
			break
		}
		budget -= float64(len(i.raw) * len(peers))
		i.directSendsLeft--
		batch = append(batch, i)
	}
	if len(batch) == 0 {
		return
	}
	for _, p := range peers {
		c.sendItems(p, batch)
	}
}

// directItems returns the facts that are to be sent directly to all hosts, either
// the urgent ones or the others, the oldest first.
func (q *gossipQueue) directItems(urgent bool) []*item {
	var own []*item
	for _, i := range q.items {
		if i.directSendsLeft > 0 && i.urgent == urgent {
			own = append(own, i)
		}
	}
	slices.SortFunc(own, func(a, b *item) int { return cmp.Compare(a.order, b.order) })
	return own
}

func (c *core) sendItems(p *peer, items []*item) {
	m := &message{Kind: kindGossip}
	space := itemSpace(m)
	for _, i := range items {
		var fits bool
		if space, fits = m.addItem(i, space); !fits {
			c.queue.tokens -= headerBytes
			c.send(p, m)
			m = &message{Kind: kindGossip}
			space, _ = m.addItem(i, itemSpace(m))
		}
		c.queue.tokens -= float64(len(i.raw))
	}
	c.queue.tokens -= headerBytes
	c.send(p, m)
}

// itemSpace returns the bytes left for records and facts in a message.
func itemSpace(m *message) int {
	space := maxDatagramBytes - headerBytes
	for _, b := range m.Heartbeats {
		space -= centreEntryBytes + len(b.DataCentre)
	}
	for _, d := range m.Digests {
		space -= centreEntryBytes + len(d.DataCentre)
	}
	for _, raw := range m.Records {
		space -= len(raw)
	}
	return space
}

// addItem adds an item to a message if it fits. It returns the space left and
// whether the item was added.
func (m *message) addItem(i *item, space int) (int, bool) {
	if len(i.raw)+2 > space || len(m.Records)+len(m.Facts) >= maxItems/2 {
		return space, false
	}
	if i.isFact {
		m.Facts = append(m.Facts, i.raw)
	} else {
		m.Records = append(m.Records, i.raw)
	}
	return space - len(i.raw) - 2, true
}

// piggybackRecords adds queued records to a ping or an ack, which is sent anyway.
func (c *core) piggybackRecords(m *message, to *peer) {
	if len(c.queue.items) == 0 || !c.isLocal(to.Info.Place) {
		return
	}
	space := itemSpace(m)
	for _, i := range c.queue.sorted() {
		if i.isFact || space <= 0 {
			break
		}
		var fits bool
		if space, fits = m.addItem(i, space); fits {
			i.sends++
		}
	}
}

// gossip runs a gossip round at every GossipInterval: it sends queued items
// within the budget.
func (c *core) gossip() {
	q := &c.queue
	if c.now.Before(q.nextRound) {
		return
	}
	q.nextRound = c.now.Add(c.timing.GossipInterval)
	q.refill(c.now, c.timing.GossipBytesPerSecond)
	c.sendOwnFacts()
	for _, p := range c.pickRandom(gossipFanout, nil) {
		c.gossipTo(p)
	}
	if c.currentScope().isDelegate {
		c.gossipToRemoteCentres()
	}
	q.announceRounds = max(q.announceRounds-1, 0)
	c.dropFinishedItems()
}

func (c *core) gossipTo(p *peer) {
	q := &c.queue
	m := &message{Kind: kindGossip}
	space := itemSpace(m)
	onReserve := q.tokens <= 0
	for _, i := range q.sorted() {
		if i.sends >= i.maxSends || !q.affords(i, c.timing.GossipBytesPerSecond) {
			continue
		}
		var fits bool
		if space, fits = m.addItem(i, space); fits {
			i.sends++
			onReserve = q.charge(i) && onReserve
		}
	}
	if len(m.Records)+len(m.Facts) == 0 && q.announceRounds == 0 {
		return
	}
	q.chargeHeader(onReserve)
	c.send(p, m)
}

// affords reports whether an item may be sent with the budget that is left. Records and urgent
// facts may overdraw it. Other facts have a reserve that those can't use up.
func (q *gossipQueue) affords(i *item, rate float64) bool {
	if i.usesReserve() {
		return q.tokens > 0 || q.reserveTokens > 0
	}
	return q.tokens > -overdraftSeconds*rate
}

// charge takes an item's bytes from the budget that pays for it. It reports whether that is the
// reserve.
func (q *gossipQueue) charge(i *item) (reserve bool) {
	if i.usesReserve() && q.tokens <= 0 {
		q.reserveTokens -= float64(len(i.raw))
		return true
	}
	q.tokens -= float64(len(i.raw))
	return false
}

// chargeHeader takes a message's header from the reserve or else from the budget of all items.
func (q *gossipQueue) chargeHeader(reserve bool) {
	if reserve {
		q.reserveTokens -= headerBytes
		return
	}
	q.tokens -= headerBytes
}

// pushUrgent forwards the urgent ones among queued facts at once instead of in the next
// round. In rounds alone, a fact takes over 2 s to reach 600 hosts.
func (c *core) pushUrgent(keys []string) {
	if len(keys) == 0 || c.isSmallFleet() {
		return
	}
	q := &c.queue
	q.refill(c.now, c.timing.GossipBytesPerSecond)
	if q.tokens <= 0 {
		return // the rounds send several facts in one message
	}
	var urgent []*item
	for _, key := range keys {
		if i := q.items[key]; i != nil && i.urgent {
			urgent = append(urgent, i)
		}
	}
	if len(urgent) == 0 {
		return
	}
	for _, p := range c.pickRandom(urgentFanout, nil) {
		c.sendItems(p, urgent)
	}
	for _, i := range urgent {
		i.sends++
	}
	for _, centre := range c.currentScope().remote {
		if c.isPusherTo(centre) {
			c.pushToCentre(centre, urgent)
		}
	}
}

// isPusherTo reports whether this host is one of the two delegates of its scope that forward
// urgent facts to a data centre at once. If all delegates did, one fact would use up their
// budgets.
func (c *core) isPusherTo(centre host.DataCentre) bool {
	s := c.currentScope()
	if !s.isDelegate {
		return false
	}
	own, rankedAhead := rank(c.self.Info.ID+host.ID(centre)), 0
	for _, id := range s.coDelegates {
		if rank(id+host.ID(centre)) < own {
			rankedAhead++
		}
	}
	return rankedAhead < pushersPerCentre
}

// pushToCentre sends those of the items that a data centre has not been sent to one of its
// delegates.
func (c *core) pushToCentre(centre host.DataCentre, items []*item) {
	var unsent []*item
	for _, i := range items {
		if !i.crossCentre || i.sentToCentres[centre] {
			continue
		}
		if i.sentToCentres == nil {
			i.sentToCentres = make(map[host.DataCentre]bool)
		}
		i.sentToCentres[centre] = true
		unsent = append(unsent, i)
	}
	if len(unsent) == 0 {
		return
	}
	delegates := c.currentScope().delegates[centre]
	c.sendItems(delegates[c.rand.IntN(len(delegates))], unsent)
}

// gossipToRemoteCentres sends changes from the local scope to delegates of the
// next few remote data centres.
func (c *core) gossipToRemoteCentres() {
	remote := c.currentScope().remote
	for range min(remoteCentresPerRound, len(remote)) {
		c.queue.nextRemote = (c.queue.nextRemote + 1) % len(remote)
		c.gossipToCentre(remote[c.queue.nextRemote])
	}
}

func (c *core) gossipToCentre(centre host.DataCentre) {
	q := &c.queue
	m := &message{Kind: kindGossip}
	space := itemSpace(m)
	onReserve := q.tokens <= 0
	for _, i := range q.sorted() {
		if !i.crossCentre || i.sentToCentres[centre] || !q.affords(i, c.timing.GossipBytesPerSecond) {
			continue
		}
		var fits bool
		if space, fits = m.addItem(i, space); fits {
			onReserve = q.charge(i) && onReserve
			if i.sentToCentres == nil {
				i.sentToCentres = make(map[host.DataCentre]bool)
			}
			i.sentToCentres[centre] = true
		}
	}
	if len(m.Records)+len(m.Facts) == 0 && !q.centresToNotify[centre] {
		return
	}
	delete(q.centresToNotify, centre)
	q.chargeHeader(onReserve)
	delegates := c.currentScope().delegates[centre]
	c.send(delegates[c.rand.IntN(len(delegates))], m)
}

// dropFinishedItems removes the items that were sent often enough, or that are
// too old to be sent to further data centres.
func (c *core) dropFinishedItems() {
	s := c.currentScope()
	for key, i := range c.queue.items {
		if i.queuedAt.IsZero() {
			i.queuedAt = c.now
		}
		pendingRemote := s.isDelegate && i.crossCentre && len(i.sentToCentres) < len(s.remote) && c.now.Sub(i.queuedAt) < remoteItemLifetime
		pendingLocal := (i.directSendsLeft > 0 || i.sends < i.maxSends) && len(s.peers) > 0
		if !pendingLocal && !pendingRemote {
			delete(c.queue.items, key)
		}
	}
}
