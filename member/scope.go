package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/zeebo/xxh3"
)

// Sizes of the groups inside the fleet.
const (
	delegatesPerCentre = 3
	verifiersPerHost   = 12
	smallestScope      = 4
)

// scope is the hosts that this one watches and gossips with: its data centre,
// or its region or the whole fleet where those are small.
type scope struct {
	stale     bool
	whole     bool    // every host is in the scope
	peers     []*peer // those not dead, ordered by ID
	local     map[host.DataCentre]bool
	remote    []host.DataCentre           // data centres outside, ordered
	delegates map[host.DataCentre][]*peer // of the remote data centres
	isSpeaker bool                        // this host speaks to the remote ones
	sums      map[host.DataCentre]uint64  // digests of what is known
}

// scopeNow returns the scope, worked out anew after changes.
func (c *core) scopeNow() *scope {
	if !c.scope.stale {
		return &c.scope
	}
	living := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		if p.State != host.Dead {
			living = append(living, p)
		}
	}
	slices.SortFunc(living, func(a, b *peer) int { return compareIDs(a.Info.ID, b.Info.ID) })
	c.scope = scope{
		local:     make(map[host.DataCentre]bool),
		delegates: make(map[host.DataCentre][]*peer),
		sums:      make(map[host.DataCentre]uint64),
	}
	c.scope.peers = c.chooseScope(living)
	c.scope.whole = len(c.scope.peers) == len(living)
	c.divide(living)
	return &c.scope
}

func (c *core) chooseScope(living []*peer) []*peer {
	if len(living) < c.timing.DetailLimit {
		return living
	}
	here := c.self.Info.Place
	near := filter(living, func(p *peer) bool { return p.Info.Place.DataCentre == here.DataCentre })
	if len(near) >= smallestScope {
		return near
	}
	near = filter(living, func(p *peer) bool { return p.Info.Place.Region == here.Region })
	if len(near) >= smallestScope {
		return near
	}
	return living
}

func filter(peers []*peer, keep func(*peer) bool) []*peer {
	var out []*peer
	for _, p := range peers {
		if keep(p) {
			out = append(out, p)
		}
	}
	return out
}

// divide splits the fleet into the scope and the data centres outside it.
func (c *core) divide(living []*peer) {
	s := &c.scope
	s.local[c.self.Info.Place.DataCentre] = true
	for _, p := range s.peers {
		s.local[p.Info.Place.DataCentre] = true
	}
	s.sums[c.self.Info.Place.DataCentre] ^= sumOf(c.self)
	for _, p := range living {
		centre := p.Info.Place.DataCentre
		s.sums[centre] ^= sumOf(p.record)
		if s.local[centre] {
			continue
		}
		if _, seen := s.delegates[centre]; !seen {
			s.remote = append(s.remote, centre)
		}
		s.delegates[centre] = append(s.delegates[centre], p)
	}
	slices.Sort(s.remote)
	for centre, peers := range s.delegates {
		slices.SortFunc(peers, byRank)
		s.delegates[centre] = peers[:min(delegatesPerCentre, len(peers))]
	}
	s.isSpeaker = c.speaks(s.peers)
}

// speaks says whether this host is among the delegates of its scope.
func (c *core) speaks(peers []*peer) bool {
	own := rank(c.self.Info.ID)
	ahead := 0
	for _, p := range peers {
		if p.State == host.Alive && rank(p.Info.ID) < own {
			ahead++
		}
	}
	return ahead < delegatesPerCentre
}

func rank(id host.ID) uint64 { return xxh3.HashString(string(id)) }

func byRank(a, b *peer) int {
	return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(rank(a.Info.ID), rank(b.Info.ID)))
}

// sumOf digests one record; suspicion is not part of it.
func sumOf(r record) uint64 {
	sum := rank(r.Info.ID) ^ r.Incarnation*0x9e3779b97f4a7c15
	if r.State == host.Leaving {
		sum = ^sum
	}
	return sum
}

// othersThan counts the hosts of the scope, besides this one and p, that can
// bear witness.
func (s *scope) othersThan(p *peer) int {
	count := 0
	for _, q := range s.peers {
		if q != p && q.State <= host.Suspect {
			count++
		}
	}
	return count
}

func (c *core) isLocal(place host.Place) bool { return c.scopeNow().local[place.DataCentre] }

func (c *core) remoteCentres() []host.DataCentre { return c.scopeNow().remote }

// verifies says whether this host is one of those that check a suspicion of p.
func (c *core) verifies(p *peer) bool {
	own := rank(c.self.Info.ID + p.Info.ID)
	ahead := 0
	for _, q := range c.scopeNow().peers {
		if q != p && !p.suspicion.accusers[q.Info.ID] && rank(q.Info.ID+p.Info.ID) < own {
			ahead++
		}
	}
	return ahead < verifiersPerHost
}

// pick returns up to count random hosts of the scope that are not left out.
func (c *core) pick(count int, leaveOut map[host.ID]bool) []*peer {
	peers := c.scopeNow().peers
	var picked []*peer
	for _, i := range c.rand.Perm(len(peers)) {
		if len(picked) == count {
			break
		}
		if !leaveOut[peers[i].Info.ID] {
			picked = append(picked, peers[i])
		}
	}
	return picked
}

// centreBeat is the newest sign of life of a data centre and when it came.
type centreBeat struct {
	count uint64
	at    time.Time
}

// seeCentre gives a data centre that was not known time to show life.
func (c *core) seeCentre(centre host.DataCentre) {
	if _, known := c.beats[centre]; !known {
		c.beats[centre] = &centreBeat{at: c.now}
	}
}

func (c *core) mergeBeats(beats []beat) {
	limit := uint64(c.now.Add(c.timing.MaxAge).Unix())
	for _, b := range beats {
		known := c.beats[b.DataCentre]
		if known != nil && b.Count > known.count && b.Count <= limit {
			known.count, known.at = b.Count, c.now
		}
	}
}

// ownBeats returns the beats to send, after renewing the own data centre's.
func (c *core) ownBeats() []beat {
	s := c.scopeNow()
	if len(s.remote) == 0 {
		return nil
	}
	c.seeCentre(c.self.Info.Place.DataCentre)
	if s.isSpeaker {
		own := c.beats[c.self.Info.Place.DataCentre]
		own.count, own.at = max(own.count, uint64(c.now.Unix())), c.now
	}
	beats := make([]beat, 0, len(c.beats))
	for _, centre := range sortedKeys(c.beats) {
		if b := c.beats[centre]; b.count > 0 {
			beats = append(beats, beat{DataCentre: centre, Count: b.count})
		}
	}
	return beats[:min(len(beats), maxBeats)]
}

// silentCentres returns the data centres that are out of reach.
func (c *core) silentCentres(now time.Time) map[host.DataCentre]bool {
	silent := make(map[host.DataCentre]bool)
	for _, centre := range c.remoteCentres() {
		if b := c.beats[centre]; b != nil && now.Sub(b.at) > c.timing.CentreSilence {
			silent[centre] = true
		}
	}
	return silent
}

func sortedIDs[V any](m map[host.ID]V) []host.ID { return sortedKeys(m) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
