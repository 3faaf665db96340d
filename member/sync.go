package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// Limits and intervals of full state transfers and of joining.
const (
	syncDatagramsPerTick = 8 // datagrams of queued transfers
	minSyncInterval      = 3 * time.Second
	maxSyncQueue         = 1024
	isolatedJoinInterval = 250 * time.Millisecond
	isolatedJoinTargets  = 3
	seedJoinInterval     = time.Second
	isolatedAfter        = 3 * time.Second
	maxJoinsAtOnce       = 4
	syncHistoryTTL       = 10 * time.Second
	seedReplyTimeout     = time.Second      // for listed hosts that don't answer a join
	hostListTimeout      = 10 * time.Second // for a host list that doesn't show this host
)

// syncer holds the state transfers queued for other hosts, and the seeds through
// which this host joins the fleet.
type syncer struct {
	seeds      []netip.AddrPort
	lastJoin   time.Time
	listedAt   time.Time // when the seeds first included this host; the start if there is no host list
	queue      []outgoing
	lastSyncTo map[host.ID]time.Time
}

func newSyncer() syncer { return syncer{lastSyncTo: make(map[host.ID]time.Time)} }

func (s *syncer) forgetOldSyncs(now time.Time) {
	for id, at := range s.lastSyncTo {
		if now.Sub(at) > syncHistoryTTL {
			delete(s.lastSyncTo, id)
		}
	}
}

// sync runs at each tick. It repeats facts, sends the next few datagrams of the
// queued state transfers, and joins through seeds at which no host is known.
func (c *core) sync() {
	c.refreshFacts()
	count := min(syncDatagramsPerTick, len(c.syncer.queue))
	for _, o := range c.syncer.queue[:count] {
		c.sendTo(o.message.To, o.to, o.message)
	}
	c.syncer.queue = c.syncer.queue[count:]
	c.join()
}

// join requests the whole state from seeds at which no host is known. While this
// host knows or hears no other, it asks several seeds at short intervals, otherwise
// one seed every second. It never stops, because hosts that start together first
// form small groups, and because partitions heal.
func (c *core) join() {
	if c.stopping {
		return
	}
	count, interval := 1, seedJoinInterval
	if len(c.currentScope().peers) == 0 || c.now.Sub(c.lastHeardAt) > isolatedAfter {
		count, interval = isolatedJoinTargets, isolatedJoinInterval
	}
	if c.now.Before(c.syncer.lastJoin.Add(interval)) {
		return
	}
	c.syncer.lastJoin = c.now
	unknown := c.unknownSeeds()
	for _, i := range c.rand.Perm(len(unknown))[:min(count, len(unknown))] {
		c.sendTo("", unknown[i], &message{Kind: kindJoin})
	}
}

// setSeeds replaces the addresses to which joins are sent.
func (c *core) setSeeds(now time.Time, seeds []netip.AddrPort) {
	c.syncer.seeds = seeds
	if c.syncer.listedAt.IsZero() && slices.Contains(seeds, c.self.Info.LinkAddr) {
		c.syncer.listedAt = now
	}
}

// hasJoined reports whether the host knows the hosts that started before it. A
// host list that does not yet show this host may lack others too.
func (c *core) hasJoined(now time.Time) bool {
	switch listedAt := c.syncer.listedAt; {
	case now.Sub(c.startedAt) >= hostListTimeout:
		return true
	case listedAt.IsZero():
		return false
	default:
		return now.Sub(listedAt) >= seedReplyTimeout || len(c.unknownSeeds()) == 0
	}
}

// unknownSeeds returns the seeds at which no host is known, or only one that is
// suspect or dead.
func (c *core) unknownSeeds() []netip.AddrPort {
	unknown := slices.DeleteFunc(slices.Clone(c.syncer.seeds), func(a netip.AddrPort) bool { return a == c.self.Info.LinkAddr })
	if len(unknown) == 0 {
		return nil
	}
	seeds := make(map[netip.AddrPort]bool, len(unknown))
	for _, a := range unknown {
		seeds[a] = true
	}
	for _, p := range c.peers {
		if p.State != host.Dead && p.State != host.Suspect && !p.listed {
			delete(seeds, p.Info.LinkAddr)
		}
	}
	return slices.DeleteFunc(unknown, func(a netip.AddrPort) bool { return !seeds[a] })
}

// handleJoin queues all records and facts for a host that joins.
func (c *core) handleJoin(m *message) {
	p, known := c.peers[m.Self.Info.ID]
	if !known || !c.allowSync(p) {
		return
	}
	c.queueSync(p, c.syncItems(func(host.DataCentre) bool { return true }, true))
}

// allowSync limits state transfers to one host by rate, and those to all hosts by
// the length of the queue.
func (c *core) allowSync(p *peer) bool {
	last, syncedBefore := c.syncer.lastSyncTo[p.Info.ID]
	if syncedBefore && c.now.Sub(last) < minSyncInterval || len(c.syncer.queue) > maxSyncQueue {
		return false
	}
	c.syncer.lastSyncTo[p.Info.ID] = c.now
	return true
}

// syncItems returns the records of the wanted data centres and, with withFacts,
// all facts.
func (c *core) syncItems(wanted func(host.DataCentre) bool, withFacts bool) []*item {
	var items []*item
	if wanted(c.self.Info.Place.DataCentre) {
		items = append(items, &item{raw: encodeRecord(c.self)})
	}
	for _, id := range sortedIDs(c.peers) {
		if p := c.peers[id]; !p.listed && wanted(p.Info.Place.DataCentre) {
			r := p.record
			if r.State == host.Suspect {
				r.State = host.Alive
			}
			items = append(items, &item{raw: encodeRecord(r)})
		}
	}
	if !withFacts {
		return items
	}
	for _, key := range c.sortedFactKeys() {
		items = append(items, &item{raw: c.facts.byKey[key].raw, isFact: true})
	}
	return items
}

func (c *core) sortedFactKeys() []factKey {
	keys := make([]factKey, 0, len(c.facts.byKey))
	for key := range c.facts.byKey {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareFactKeys)
	return keys
}

func compareFactKeys(a, b factKey) int {
	return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.topic, b.topic), cmp.Compare(a.key, b.key))
}

// shuffleFactKeys shuffles keys. It sorts them first, so that the result depends
// on the random seed alone.
func (c *core) shuffleFactKeys(keys []factKey) {
	slices.SortFunc(keys, compareFactKeys)
	c.rand.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
}

// queueSync queues items for one host, packed into as few datagrams as possible.
func (c *core) queueSync(p *peer, items []*item) {
	m := &message{Kind: kindGossip, To: p.Info.ID}
	space := itemSpace(m)
	for _, i := range items {
		var fits bool
		if space, fits = m.addItem(i, space); fits {
			continue
		}
		c.syncer.queue = append(c.syncer.queue, outgoing{to: p.Info.LinkAddr, message: m})
		m = &message{Kind: kindGossip, To: p.Info.ID}
		space, _ = m.addItem(i, itemSpace(m))
	}
	c.syncer.queue = append(c.syncer.queue, outgoing{to: p.Info.LinkAddr, message: m})
}

// digests returns the digest of each data centre.
func (c *core) digests() []digest {
	sums := c.currentScope().digests
	digests := make([]digest, 0, len(sums))
	for _, centre := range sortedKeys(sums) {
		digests = append(digests, digest{DataCentre: centre, Sum: sums[centre]})
	}
	return digests[:min(len(digests), maxCentreEntries)]
}

// compareDigests sends this host's records of the data centres whose digests differ
// from the sender's. The sender does the same with the digests in the ack.
func (c *core) compareDigests(m *message) {
	if len(m.Digests) == 0 {
		return
	}
	sums := c.currentScope().digests
	differs := make(map[host.DataCentre]bool)
	senderHas := make(map[host.DataCentre]bool)
	for _, d := range m.Digests {
		senderHas[d.DataCentre] = true
		differs[d.DataCentre] = sums[d.DataCentre] != d.Sum
	}
	anyDiffers := false
	for centre := range sums {
		differs[centre] = differs[centre] || !senderHas[centre]
		anyDiffers = anyDiffers || differs[centre]
	}
	p, known := c.peers[m.Self.Info.ID]
	if !anyDiffers || !known || !c.allowSync(p) {
		return
	}
	c.queueSync(p, c.syncItems(func(centre host.DataCentre) bool { return differs[centre] }, false))
}
