package member

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// Sizes of the exchange of everything.
const (
	syncPerTick      = 8 // datagrams
	syncEvery        = 3 * time.Second
	maxSyncQueue     = 1024
	joinEvery        = 250 * time.Millisecond
	joinTargets      = 3
	seedEvery        = time.Second
	aloneAfter       = 3 * time.Second
	maxJoinsAtOnce   = 4
	joinForgetsAfter = 10 * time.Second
	meetPatience     = time.Second      // for listed hosts that don't answer
	listPatience     = 10 * time.Second // for a host list that doesn't show the host
)

// syncer holds what is owed to hosts that miss something, and how this host
// finds the fleet.
type syncer struct {
	seeds    []netip.AddrPort
	lastJoin time.Time
	listedAt time.Time // when the seeds first showed this host, or had no list to wait for
	queue    []outgoing
	lastTo   map[host.ID]time.Time
}

func newSyncer() syncer { return syncer{lastTo: make(map[host.ID]time.Time)} }

func (s *syncer) forgetOld(now time.Time) {
	for id, at := range s.lastTo {
		if now.Sub(at) > joinForgetsAfter {
			delete(s.lastTo, id)
		}
	}
}

// sync sends what is owed, a few datagrams at a time, and looks for hosts that
// are listed but not known.
func (c *core) sync() {
	c.refresh()
	count := min(syncPerTick, len(c.syncer.queue))
	for _, o := range c.syncer.queue[:count] {
		c.sendTo(o.message.To, o.to, o.message)
	}
	c.syncer.queue = c.syncer.queue[count:]
	c.join()
}

// join asks seeds for everything: several at a time while alone or without any
// datagram from others, else one now and then. Hosts that start together meet
// in small groups first, and partitions end, so that any listed host that is
// not known is worth asking.
func (c *core) join() {
	if c.stopping {
		return
	}
	count, pace := 1, seedEvery
	if len(c.scopeNow().peers) == 0 || c.now.Sub(c.heardAt) > aloneAfter {
		count, pace = joinTargets, joinEvery
	}
	if c.now.Before(c.syncer.lastJoin.Add(pace)) {
		return
	}
	c.syncer.lastJoin = c.now
	strangers := c.strangeSeeds()
	for _, i := range c.rand.Perm(len(strangers))[:min(count, len(strangers))] {
		c.sendTo("", strangers[i], &message{Kind: kindJoin})
	}
}

// setSeeds replaces the addresses at which hosts are looked for.
func (c *core) setSeeds(now time.Time, seeds []netip.AddrPort) {
	c.syncer.seeds = seeds
	if c.syncer.listedAt.IsZero() && slices.Contains(seeds, c.self.Info.LinkAddr) {
		c.syncer.listedAt = now
	}
}

// met says whether the host knows the others that started before it. A list
// that does not show the host itself yet may miss others just as well.
func (c *core) met(now time.Time) bool {
	switch listedAt := c.syncer.listedAt; {
	case now.Sub(c.startedAt) >= listPatience:
		return true
	case listedAt.IsZero():
		return false
	default:
		return now.Sub(listedAt) >= meetPatience || len(c.strangeSeeds()) == 0
	}
}

// strangeSeeds returns the seeds at which no host is known that answers.
func (c *core) strangeSeeds() []netip.AddrPort {
	taken := map[netip.AddrPort]bool{c.self.Info.LinkAddr: true}
	for _, p := range c.peers {
		if p.State != host.Dead && p.State != host.Suspect {
			taken[p.Info.LinkAddr] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(c.syncer.seeds), func(a netip.AddrPort) bool { return taken[a] })
}

// answerJoin sends everything to a host that has just come.
func (c *core) answerJoin(m *message) {
	p, known := c.peers[m.Self.Info.ID]
	if !known || !c.mayOwe(p) {
		return
	}
	c.owe(p, c.itemsOf(func(host.DataCentre) bool { return true }, true))
}

// mayOwe keeps one host from asking for everything time and again.
func (c *core) mayOwe(p *peer) bool {
	last, owed := c.syncer.lastTo[p.Info.ID]
	if owed && c.now.Sub(last) < syncEvery || len(c.syncer.queue) > maxSyncQueue {
		return false
	}
	c.syncer.lastTo[p.Info.ID] = c.now
	return true
}

// itemsOf collects the records of some data centres, and all facts if asked.
func (c *core) itemsOf(wanted func(host.DataCentre) bool, withFacts bool) []*item {
	var items []*item
	if wanted(c.self.Info.Place.DataCentre) {
		items = append(items, &item{raw: rawOf(c.self)})
	}
	for _, id := range sortedIDs(c.peers) {
		if p := c.peers[id]; wanted(p.Info.Place.DataCentre) {
			r := p.record
			if r.State == host.Suspect {
				r.State = host.Alive
			}
			items = append(items, &item{raw: rawOf(r)})
		}
	}
	if !withFacts {
		return items
	}
	for _, name := range c.factNames() {
		items = append(items, &item{raw: c.facts.byKey[name].raw, isFact: true})
	}
	return items
}

func (c *core) factNames() []factKey {
	names := make([]factKey, 0, len(c.facts.byKey))
	for name := range c.facts.byKey {
		names = append(names, name)
	}
	slices.SortFunc(names, compareFactKeys)
	return names
}

func compareFactKeys(a, b factKey) int {
	return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.topic, b.topic), cmp.Compare(a.key, b.key))
}

// shuffle puts names in an order that depends on the seed alone.
func (c *core) shuffle(names []factKey) {
	slices.SortFunc(names, compareFactKeys)
	c.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// owe queues items for one host in as few datagrams as they fit in.
func (c *core) owe(p *peer, items []*item) {
	m := &message{Kind: kindGossip, To: p.Info.ID}
	left := room(m)
	for _, i := range items {
		var fits bool
		if left, fits = m.put(i, left); fits {
			continue
		}
		c.syncer.queue = append(c.syncer.queue, outgoing{to: p.Info.LinkAddr, message: m})
		m = &message{Kind: kindGossip, To: p.Info.ID}
		left, _ = m.put(i, room(m))
	}
	c.syncer.queue = append(c.syncer.queue, outgoing{to: p.Info.LinkAddr, message: m})
}

// digests returns the digest of each data centre.
func (c *core) digests() []digest {
	sums := c.scopeNow().sums
	digests := make([]digest, 0, len(sums))
	for _, centre := range sortedKeys(sums) {
		digests = append(digests, digest{DataCentre: centre, Sum: sums[centre]})
	}
	return digests[:min(len(digests), maxBeats)]
}

// compareDigests sends the records of the data centres on which the sender
// knows something else. The sender does the same with the answer's digests.
func (c *core) compareDigests(m *message) {
	if len(m.Digests) == 0 {
		return
	}
	sums := c.scopeNow().sums
	differs := make(map[host.DataCentre]bool)
	theirs := make(map[host.DataCentre]bool)
	for _, d := range m.Digests {
		theirs[d.DataCentre] = true
		differs[d.DataCentre] = sums[d.DataCentre] != d.Sum
	}
	any := false
	for centre := range sums {
		differs[centre] = differs[centre] || !theirs[centre]
		any = any || differs[centre]
	}
	p, known := c.peers[m.Self.Info.ID]
	if !any || !known || !c.mayOwe(p) {
		return
	}
	c.owe(p, c.itemsOf(func(centre host.DataCentre) bool { return differs[centre] }, false))
}
