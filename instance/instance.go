// Package instance keeps the running processes behind the hosts as they
// registered themselves, with what this host has learned about each.
package instance

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// ID names one upstream process.
type ID string

// Entry is what an upstream says of itself.
type Entry struct {
	ID         ID              `cbor:"1,keyasint"`
	Service    string          `cbor:"2,keyasint"`
	Addr       netip.AddrPort  `cbor:"3,keyasint"`
	DataCentre host.DataCentre `cbor:"4,keyasint"`
	// Slots is how many requests it runs at once.
	Slots int `cbor:"5,keyasint"`
	// Leaving upstreams get no new work.
	Leaving bool `cbor:"6,keyasint"`
	// Born tells apart two processes with the same ID. Its zero value is unknown.
	Born time.Time `cbor:"8,keyasint"`
	// Revision is the store's revision of the entry.
	Revision int64 `cbor:"9,keyasint"`
}

// maxRemoved bounds the removals that are remembered: several times the
// upstreams of a large fleet that are replaced within the life of any news.
const maxRemoved = 4096

// How an instance that fails is kept from work.
const (
	// failuresToEject is how many calls in a row fail before an instance is
	// ejected: one may be the request's own fault.
	failuresToEject = 2
	// firstEjection is about the time in which a crashed upstream restarts;
	// each further one in a row doubles it, up to maxEjection.
	firstEjection = 700 * time.Millisecond
	maxEjection   = 4 * time.Second
	// latencyWeight is the weight of the newest answer in the mean.
	latencyWeight = 0.15
	// errorDecay is the weight of the newest outcome in the error rate.
	errorDecay = 0.12
)

// Instance is an upstream with what this host knows of it. Its fields are
// guarded by the table's lock.
type Instance struct {
	Entry
	inFlight     int
	tokens       int // prompt and output tokens in flight
	failures     int
	ejections    int
	ejectedUntil time.Time
	latency      time.Duration // moving mean of successful answers
	errorRate    float64
}

// Status is what a choice is made from.
type Status struct {
	Entry
	InFlight  int
	Tokens    int
	Ejected   bool
	Latency   time.Duration
	ErrorRate float64
}

// Table holds the upstreams of every service. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	byID      map[ID]*Instance
	byService map[string][]*Instance // ordered by ID
	removed   map[ID]int64           // revision of the removal, so that older news changes nothing
	forgotten int64                  // removals before this revision are forgotten
	changed   func(Change)
}

// Change is one change of the table, for the log.
type Change struct {
	Entry
	What string // "added", "leaving", "removed" or "changed"
}

// NewTable makes an empty table. changed is called after each change, without
// a lock held; nil for none.
func NewTable(changed func(Change)) *Table {
	if changed == nil {
		changed = func(Change) {}
	}
	return &Table{
		byID:      make(map[ID]*Instance),
		byService: make(map[string][]*Instance),
		removed:   make(map[ID]int64),
		changed:   changed,
	}
}

// Put takes in an entry unless a newer one is known.
func (t *Table) Put(e Entry) {
	t.mu.Lock()
	what := t.put(e)
	t.mu.Unlock()
	if what != "" {
		t.changed(Change{Entry: e, What: what})
	}
}

func (t *Table) put(e Entry) string {
	if t.removed[e.ID] >= e.Revision {
		return ""
	}
	old := t.byID[e.ID]
	if old == nil {
		t.add(&Instance{Entry: e})
		return "added"
	}
	if old.Revision >= e.Revision {
		return ""
	}
	sameProcess := old.Born.Equal(e.Born) && old.Addr == e.Addr && old.Service == e.Service
	if !sameProcess {
		t.drop(old)
		t.add(&Instance{Entry: e})
		return "added"
	}
	wasLeaving := old.Leaving
	old.Entry = e
	if e.Leaving && !wasLeaving {
		return "leaving"
	}
	return "changed"
}

// Remove takes an upstream out unless a newer entry is known.
func (t *Table) Remove(id ID, revision int64) {
	t.mu.Lock()
	old := t.byID[id]
	gone := old != nil && old.Revision < revision
	if gone {
		t.drop(old)
	}
	t.removed[id] = max(t.removed[id], revision)
	if len(t.removed) > maxRemoved {
		t.forgetRemovals()
	}
	t.mu.Unlock()
	if gone {
		t.changed(Change{Entry: old.Entry, What: "removed"})
	}
}

// forgetRemovals drops the older half of the removals. News of them, which
// takes seconds, has long arrived.
func (t *Table) forgetRemovals() {
	revisions := slices.Sorted(maps.Values(t.removed))
	median := revisions[len(revisions)/2]
	t.forgotten = max(t.forgotten, median)
	maps.DeleteFunc(t.removed, func(_ ID, revision int64) bool { return revision < median })
}

// Replace takes in a whole reading as of a revision: what it lacks is gone,
// unless it came later.
func (t *Table) Replace(entries []Entry, asOf int64) {
	listed := make(map[ID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		t.Put(e)
	}
	for _, e := range t.Entries() {
		if !listed[e.ID] && e.Revision <= asOf {
			t.Remove(e.ID, asOf+1)
		}
	}
}

func (t *Table) add(i *Instance) {
	t.byID[i.ID] = i
	list := append(t.byService[i.Service], i)
	slices.SortFunc(list, func(a, b *Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	t.byService[i.Service] = list
}

func (t *Table) drop(i *Instance) {
	delete(t.byID, i.ID)
	t.byService[i.Service] = slices.DeleteFunc(t.byService[i.Service], func(o *Instance) bool { return o == i })
}

// Entries returns every entry, in no order.
func (t *Table) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Entry, 0, len(t.byID))
	for _, i := range t.byID {
		all = append(all, i.Entry)
	}
	return all
}

// Service returns the upstreams of a service that may get new work, ordered by
// ID.
func (t *Table) Service(name string, now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Status
	for _, i := range t.byService[name] {
		if i.Leaving {
			continue
		}
		all = append(all, Status{
			Entry: i.Entry, InFlight: i.inFlight, Tokens: i.tokens,
			Ejected: now.Before(i.ejectedUntil), Latency: i.latency, ErrorRate: i.errorRate,
		})
	}
	return all
}

// Removal is an upstream that was taken out.
type Removal struct {
	ID       ID    `cbor:"1,keyasint"`
	Revision int64 `cbor:"2,keyasint"`
}

// Since returns what changed after a revision. known is false when some of it
// is forgotten.
func (t *Table) Since(revision int64) (entries []Entry, removals []Removal, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision < t.forgotten {
		return nil, nil, false
	}
	for _, i := range t.byID {
		if i.Revision > revision {
			entries = append(entries, i.Entry)
		}
	}
	for id, at := range t.removed {
		if at > revision {
			removals = append(removals, Removal{ID: id, Revision: at})
		}
	}
	return entries, removals, true
}

// Lookup returns the entry of an upstream.
func (t *Table) Lookup(id ID) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.byID[id]
	if i == nil {
		return Entry{}, false
	}
	return i.Entry, true
}

// Use is one request that counts as running on one upstream process.
type Use struct {
	table  *Table
	on     *Instance
	tokens int
}

// Begin counts a request as running on an upstream, unless the upstream is
// gone or leaving and must get no new work.
func (t *Table) Begin(id ID, tokens int) (*Use, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.byID[id]
	if i == nil || i.Leaving {
		return nil, false
	}
	i.inFlight++
	i.tokens += tokens
	return &Use{table: t, on: i, tokens: tokens}, true
}

// End counts the request as no longer running and learns from its outcome. took
// is the time to the answer, 0 if there was none. A nil use counts nothing.
func (u *Use) End(outcome Outcome, took time.Duration, now time.Time) {
	if u == nil {
		return
	}
	u.table.mu.Lock()
	defer u.table.mu.Unlock()
	u.on.inFlight--
	u.on.tokens -= u.tokens
	u.on.learn(outcome, took, now)
}

// Outcome is how a call to an upstream ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: the upstream answered, and not with a failure of its own.
	Answered Outcome = iota
	// Failed: the upstream answered with a failure.
	Failed
	// Broke: the connection failed or the answer was unusable.
	Broke
	// Abandoned: this host ended the call; it says nothing of the upstream.
	Abandoned
	// Unreachable: no connection could be made.
	Unreachable
)

// String returns the lower-case name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "broke", "abandoned", "unreachable"}[o]
}

// Unreachable notes that nothing listens at an upstream's address.
func (t *Table) Unreachable(id ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.byID[id]; i != nil {
		i.learn(Unreachable, 0, now)
	}
}

// learn updates the belief in an instance's health.
func (i *Instance) learn(outcome Outcome, took time.Duration, now time.Time) {
	switch outcome {
	case Abandoned:
	case Answered:
		i.failures, i.ejections = 0, 0
		i.errorRate *= 1 - errorDecay
		if i.latency == 0 {
			i.latency = took
		}
		i.latency += time.Duration(latencyWeight * float64(took-i.latency))
	case Failed:
		i.errorRate += errorDecay * (1 - i.errorRate)
	case Unreachable:
		i.eject(now)
	case Broke:
		i.errorRate += errorDecay * (1 - i.errorRate)
		if i.failures++; i.failures >= failuresToEject {
			i.eject(now)
		}
	}
}

// eject keeps work from an instance for a while.
func (i *Instance) eject(now time.Time) {
	if now.Before(i.ejectedUntil) {
		return
	}
	i.ejectedUntil = now.Add(min(firstEjection<<min(i.ejections, 4), maxEjection))
	i.ejections++
}
