package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/zeebo/xxh3"
)

// Sizes of the groups of hosts within the fleet.
const (
	delegatesPerCentre  = 3
	verifiersPerSuspect = 12
	minScopePeers       = 4
)

// scope is the set of hosts that this one monitors and gossips with: the whole
// fleet if it is small, else its data centre. If the data centre has too few
// hosts it is the region, and if that has too few the whole fleet.
type scope struct {
	stale      bool
	wholeFleet bool    // every host is in the scope
	peers      []*peer // hosts of the scope that are not dead, ordered by ID
	local      map[host.DataCentre]bool
	remote     []host.DataCentre           // data centres outside the scope, ordered
	delegates  map[host.DataCentre][]*peer // delegates of the remote data centres
	isDelegate bool                        // this host exchanges messages with the remote data centres
	// coDelegates are the other delegates of the scope, if this host is one.
	coDelegates []host.ID
	digests     map[host.DataCentre]uint64 // digest of the known records of each data centre
}

// currentScope returns the scope and recomputes it first if it is stale.
func (c *core) currentScope() *scope {
	if !c.scope.stale {
		return &c.scope
	}
	notDead := make([]*peer, 0, len(c.peers))
	for _, p := range c.peers {
		if p.State != host.Dead {
			notDead = append(notDead, p)
		}
	}
	slices.SortFunc(notDead, func(a, b *peer) int { return compareIDs(a.Info.ID, b.Info.ID) })
	c.scope = scope{
		local:     make(map[host.DataCentre]bool),
		delegates: make(map[host.DataCentre][]*peer),
		digests:   make(map[host.DataCentre]uint64),
	}
	c.scope.peers = c.chooseScope(notDead)
	c.scope.wholeFleet = len(c.scope.peers) == len(notDead)
	c.partitionByScope(notDead)
	return &c.scope
}

func (c *core) chooseScope(notDead []*peer) []*peer {
	if len(notDead) < c.timing.MaxFullScopeHosts {
		return notDead
	}
	here := c.self.Info.Place
	near := filter(notDead, func(p *peer) bool { return p.Info.Place.DataCentre == here.DataCentre })
	if len(near) >= minScopePeers {
		return near
	}
	near = filter(notDead, func(p *peer) bool { return p.Info.Place.Region == here.Region })
	if len(near) >= minScopePeers {
		return near
	}
	return notDead
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

// partitionByScope splits the fleet into the scope and the remote data centres,
// and chooses the delegates of the latter.
func (c *core) partitionByScope(notDead []*peer) {
	s := &c.scope
	s.local[c.self.Info.Place.DataCentre] = true
	for _, p := range s.peers {
		s.local[p.Info.Place.DataCentre] = true
	}
	s.digests[c.self.Info.Place.DataCentre] ^= recordDigest(c.self)
	for _, p := range notDead {
		centre := p.Info.Place.DataCentre
		if !p.listed {
			s.digests[centre] ^= recordDigest(p.record)
		}
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
	s.isDelegate = c.isDelegateAmong(s.peers)
	if s.isDelegate {
		alive := filter(s.peers, func(p *peer) bool { return p.State == host.Alive })
		slices.SortFunc(alive, byRank)
		for _, p := range alive[:min(delegatesPerCentre-1, len(alive))] {
			s.coDelegates = append(s.coDelegates, p.Info.ID)
		}
	}
}

// isDelegateAmong reports whether this host is a delegate of its scope, whose
// other hosts are peers.
func (c *core) isDelegateAmong(peers []*peer) bool {
	own := rank(c.self.Info.ID)
	rankedAhead := 0
	for _, p := range peers {
		if p.State == host.Alive && rank(p.Info.ID) < own {
			rankedAhead++
		}
	}
	return rankedAhead < delegatesPerCentre
}

// rank orders hosts pseudo-randomly. The order is the same on every host.
func rank(id host.ID) uint64 { return xxh3.HashString(string(id)) }

func byRank(a, b *peer) int {
	return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(rank(a.Info.ID), rank(b.Info.ID)))
}

// recordDigest hashes a record's ID, incarnation and whether the host is leaving.
// Suspicion is not included.
func recordDigest(r record) uint64 {
	sum := rank(r.Info.ID) ^ r.Incarnation*0x9e3779b97f4a7c15
	if r.State == host.Leaving {
		sum = ^sum
	}
	return sum
}

// otherMonitors counts the hosts of the scope, besides this one and p, that can
// accuse p.
func (s *scope) otherMonitors(p *peer) int {
	count := 0
	for _, q := range s.peers {
		if q != p && q.State <= host.Suspect {
			count++
		}
	}
	return count
}

func (c *core) isLocal(place host.Place) bool { return c.currentScope().local[place.DataCentre] }

func (c *core) remoteCentres() []host.DataCentre { return c.currentScope().remote }

// isVerifier reports whether this host is one of the verifiersPerSuspect hosts
// that probe p when another host suspects it. The ranking of the hosts differs
// between suspects.
func (c *core) isVerifier(p *peer) bool {
	own := rank(c.self.Info.ID + p.Info.ID)
	rankedAhead := 0
	for _, q := range c.currentScope().peers {
		if q != p && !p.suspicion.accusers[q.Info.ID] && rank(q.Info.ID+p.Info.ID) < own {
			rankedAhead++
		}
	}
	return rankedAhead < verifiersPerSuspect
}

// pickRandom returns up to count random hosts of the scope that are not excluded.
func (c *core) pickRandom(count int, exclude map[host.ID]bool) []*peer {
	peers := c.currentScope().peers
	var picked []*peer
	for _, i := range c.rand.Perm(len(peers)) {
		if len(picked) == count {
			break
		}
		if !exclude[peers[i].Info.ID] {
			picked = append(picked, peers[i])
		}
	}
	return picked
}

// centreHeartbeat is the newest heartbeat of a data centre and the time at which
// it arrived.
type centreHeartbeat struct {
	count uint64
	at    time.Time
}

// trackCentre starts the timeout of a data centre that was not known before.
func (c *core) trackCentre(centre host.DataCentre) {
	if _, known := c.heartbeats[centre]; !known {
		c.heartbeats[centre] = &centreHeartbeat{at: c.now}
	}
}

// mergeHeartbeats stores heartbeats that are newer than the known ones. It ignores
// those more than MaxAge ahead of the local clock.
func (c *core) mergeHeartbeats(beats []heartbeat) {
	limit := uint64(c.now.Add(c.timing.MaxAge).Unix())
	for _, b := range beats {
		known := c.heartbeats[b.DataCentre]
		if known != nil && b.Count > known.count && b.Count <= limit {
			known.count, known.at = b.Count, c.now
		}
	}
}

// currentHeartbeats returns the heartbeats to send. A delegate first renews that
// of its own data centre.
func (c *core) currentHeartbeats() []heartbeat {
	s := c.currentScope()
	if len(s.remote) == 0 {
		return nil
	}
	c.trackCentre(c.self.Info.Place.DataCentre)
	if s.isDelegate {
		own := c.heartbeats[c.self.Info.Place.DataCentre]
		own.count, own.at = max(own.count, uint64(c.now.Unix())), c.now
	}
	beats := make([]heartbeat, 0, len(c.heartbeats))
	for _, centre := range sortedKeys(c.heartbeats) {
		if b := c.heartbeats[centre]; b.count > 0 {
			beats = append(beats, heartbeat{DataCentre: centre, Count: b.count})
		}
	}
	return beats[:min(len(beats), maxCentreEntries)]
}

// unreachableCentres returns the remote data centres whose last heartbeat is
// older than CentreTimeout.
func (c *core) unreachableCentres(now time.Time) map[host.DataCentre]bool {
	unreachable := make(map[host.DataCentre]bool)
	for _, centre := range c.remoteCentres() {
		if b := c.heartbeats[centre]; b != nil && now.Sub(b.at) > c.timing.CentreTimeout {
			unreachable[centre] = true
		}
	}
	return unreachable
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
