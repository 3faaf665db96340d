// Package ownership assigns each task of the fleet to one host, its owner.
// Hosts that see the same members compute the same owner without communication.
// While their views differ, two hosts may run the same task, so tasks must
// tolerate that.
package ownership

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
)

// MinCapacityFraction is the fraction of the strongest host's capacity that a
// host needs to work for other hosts. That work would take up all of a weaker host.
const MinCapacityFraction = 0.6

// Table looks up the owners of tasks. It is safe for concurrent use.
type Table struct {
	fleet host.View
	start time.Time

	avoided Avoided

	mu sync.Mutex // guards the fields below
	// memberCount is the number of members at the last call of Formed.
	// membersChangedAt is when it last changed.
	memberCount      int
	membersChangedAt time.Time
	formed           bool // Formed has returned true
	// configuredAt is when the local host was first seen to have a configuration.
	configuredAt time.Time
}

// New creates a table over the members of a fleet. The local host starts to
// discover them at start.
func New(fleet host.View, start time.Time) *Table {
	return &Table{fleet: fleet, start: start}
}

// Owner returns the host that owns a task, by rendezvous hashing over the addresses of the
// hosts that are alive and strong enough. A process that starts again at its address, as
// all do after a loss of power, owns what the former one owned. own is true if the owner is
// the local host.
func (t *Table) Owner(task string, now time.Time) (owner host.Info, own bool) {
	return t.owner(task, now, func(id host.ID) bool { return t.avoided.Has(id, now) })
}

// AgreedOwner is Owner for a task that two hosts must not do at once for long. It also
// returns hosts that this one avoids: they are replaced only once the membership takes them
// for lost, which all hosts learn.
func (t *Table) AgreedOwner(task string, now time.Time) (owner host.Info, own bool) {
	return t.owner(task, now, func(host.ID) bool { return false })
}

func (t *Table) owner(task string, now time.Time, avoided func(host.ID) bool) (owner host.Info, own bool) {
	self := t.fleet.Self()
	members := t.fleet.Members()
	strongest, configured := 0.0, false
	for _, m := range members {
		if m.State == host.Alive {
			strongest = max(strongest, m.Capacity)
			configured = configured || m.ID == self.ID && m.Generation > 0
		}
	}
	needConfiguration := configured && t.configuredFor(now) >= generationSpreadTime
	best, bestRank := self, uint64(0)
	for _, m := range members {
		if needConfiguration && m.Generation == 0 && !m.Listed {
			continue // the host can't read the store
		}
		if m.State != host.Alive || m.Capacity < MinCapacityFraction*strongest || avoided(m.ID) {
			continue
		}
		if rank := xxh3.HashString(task + "\x00" + m.LinkAddr.String()); rank >= bestRank {
			best, bestRank = m.Info, rank
		}
	}
	return best, best.ID == self.ID
}

// generationSpreadTime is how long after the local host has read its first configuration
// the others' generations have arrived. Until then they say nothing about who has none: hosts
// that start together read it together, and would choose different owners.
const generationSpreadTime = 5 * time.Second

// configuredFor returns for how long the local host, which has a configuration, has had one.
func (t *Table) configuredFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.configuredAt.IsZero() {
		t.configuredAt = now
	}
	return now.Sub(t.configuredAt)
}

const (
	// minFormTime is the least time that hosts which start together need to
	// discover each other. Until then each of them would consider itself the
	// owner of every task.
	minFormTime = 400 * time.Millisecond
	// stableTime is how long the number of members must not change. A large
	// fleet forms over several rounds of datagrams.
	stableTime = 300 * time.Millisecond
	// singleHostTime is how long a host waits for another one to appear.
	// maxFormTime bounds the wait while members keep appearing.
	singleHostTime = 1200 * time.Millisecond
	maxFormTime    = 3 * time.Second
)

// Formed reports whether the local host has had time to discover the other
// members. It stays true from then on.
func (t *Table) Formed(now time.Time) bool {
	members := len(t.fleet.Members())
	t.mu.Lock()
	defer t.mu.Unlock()
	if members != t.memberCount {
		t.memberCount, t.membersChangedAt = members, now
	}
	age := now.Sub(t.start)
	switch {
	case t.formed || age > maxFormTime:
		t.formed = true
	case members == 1:
		t.formed = age > singleHostTime
	default:
		t.formed = age > minFormTime && now.Sub(t.membersChangedAt) > stableTime
	}
	return t.formed
}

// Reachable reports whether the membership considers a host reachable.
func (t *Table) Reachable(id host.ID) bool {
	m, known := t.fleet.Lookup(id)
	return known && m.State != host.Suspect && m.State != host.Dead
}

// IsMember reports whether a host is known and not dead.
func (t *Table) IsMember(id host.ID) bool {
	m, known := t.fleet.Lookup(id)
	return known && m.State != host.Dead
}

// SeesMost reports whether most of the hosts that have not ended are alive as far as the local
// host can tell. One that is cut off from the others suspects them, and would otherwise own
// every task in its own view.
func (t *Table) SeesMost() bool {
	alive, suspect := 0, 0
	for _, m := range t.fleet.Members() {
		switch m.State {
		case host.Alive:
			alive++
		case host.Suspect:
			suspect++
		}
	}
	return alive >= suspect
}

// Avoid excludes a host from ownership for a while.
func (t *Table) Avoid(id host.ID, now time.Time) { t.avoided.Add(id, now) }
