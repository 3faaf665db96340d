// Package ownership says which host does a task for the whole fleet. All hosts
// that see the same members name the same host without a word between them;
// when they differ for a moment, a task is done by two hosts, which its owner
// must bear.
package ownership

import (
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
)

// strongShare is the part of the strongest host's capacity from which hosts may
// own tasks: a weak host would be busy with nothing else.
const strongShare = 0.6

// Table names owners. It is safe for concurrent use.
type Table struct {
	fleet host.View
	start time.Time

	avoided Avoided

	mu sync.Mutex // guards what follows
	// members is how many there were when Formed was last asked, and grownAt
	// when that last changed.
	members int
	grownAt time.Time
	formed  bool // Formed said yes once
}

// New makes a table over the members of a fleet that the local host begins to
// learn at start.
func New(fleet host.View, start time.Time) *Table {
	return &Table{fleet: fleet, start: start}
}

// Owner is the host that does a task, by rendezvous hashing over the hosts that
// live and are among the strong ones. own says that it is the local one.
func (t *Table) Owner(task string, now time.Time) (owner host.Info, own bool) {
	self := t.fleet.Self()
	members := t.fleet.Members()
	strongest, newest := 0.0, uint64(0)
	for _, m := range members {
		if m.State == host.Alive {
			strongest = max(strongest, m.Capacity)
			newest = max(newest, m.Generation)
		}
	}
	best, bestRank := self, uint64(0)
	for _, m := range members {
		if newest > 0 && m.Generation == 0 {
			continue // it knows no configuration yet
		}
		if m.State != host.Alive || m.Capacity < strongShare*strongest || t.avoided.Has(m.ID, now) {
			continue
		}
		if rank := xxh3.HashString(task + "\x00" + string(m.ID)); rank >= bestRank {
			best, bestRank = m.Info, rank
		}
	}
	return best, best.ID == self.ID
}

const (
	// formTime is the least time that hosts that start together take to find
	// each other; until then each takes itself for the owner of everything.
	formTime = 400 * time.Millisecond
	// quietTime is how long no other host must have been found: a large fleet
	// forms over several rounds of datagrams.
	quietTime = 300 * time.Millisecond
	// aloneTime is after how long a host that has found no other is alone, and
	// longest after how long one that finds more and more goes on.
	aloneTime = 1200 * time.Millisecond
	longest   = 3 * time.Second
)

// Formed says whether the local host has had the time to find the others. Once
// it has, it stays so.
func (t *Table) Formed(now time.Time) bool {
	members := len(t.fleet.Members())
	t.mu.Lock()
	defer t.mu.Unlock()
	if members != t.members {
		t.members, t.grownAt = members, now
	}
	age := now.Sub(t.start)
	switch {
	case t.formed || age > longest:
		t.formed = true
	case members == 1:
		t.formed = age > aloneTime
	default:
		t.formed = age > formTime && now.Sub(t.grownAt) > quietTime
	}
	return t.formed
}

// Lives says whether the membership hears a host.
func (t *Table) Lives(id host.ID) bool {
	m, known := t.fleet.Lookup(id)
	return known && m.State != host.Suspect && m.State != host.Dead
}

// Avoid passes an owner over for a while.
func (t *Table) Avoid(id host.ID, now time.Time) { t.avoided.Add(id, now) }
