// Package instance tracks the upstream processes that have registered
// themselves, and what this host has measured about each.
package instance

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
)

// ID identifies one upstream process.
type ID string

// Entry is the registration of an upstream.
type Entry struct {
	ID         ID              `cbor:"1,keyasint"`
	Service    string          `cbor:"2,keyasint"`
	Addr       netip.AddrPort  `cbor:"3,keyasint"`
	DataCentre host.DataCentre `cbor:"4,keyasint"`
	// Slots is how many requests the upstream runs at once.
	Slots int `cbor:"5,keyasint"`
	// Leaving is true if the upstream must get no new work.
	Leaving bool `cbor:"6,keyasint"`
	// StartTime is the start time of the process and distinguishes two processes
	// with the same ID. The zero value means unknown.
	StartTime time.Time `cbor:"8,keyasint"`
	// Revision is the revision of the entry in the store.
	Revision int64 `cbor:"9,keyasint"`
	// Version is the version of the upstream's software. What two versions write
	// for one stream does not fit together.
	Version string `cbor:"10,keyasint"`
	// Era is the era of the store in which Revision was given out.
	Era int64 `cbor:"20,keyasint,omitempty"`
	// LeftEarlier is true if the process was leaving in a former era, but a
	// later one lists it as ready. Leaving is true then.
	LeftEarlier bool `cbor:"21,keyasint,omitempty"`
	// WarmupLeft is for how long the upstream is still cold by its entry, counted from when
	// the entry arrives.
	WarmupLeft time.Duration `cbor:"22,keyasint,omitempty"`
	// Successor is true if the process is kept although the store, which came back from a
	// copy, lists one that preceded it.
	Successor bool `cbor:"23,keyasint,omitempty"`
	// InvalidWarmup means that the entry states a warm-up time out of bounds, which was ignored or
	// capped.
	InvalidWarmup bool `cbor:"-"`
}

// maxTombstones bounds the removals that are remembered. It is several times
// the number of upstreams that a large fleet replaces while an older update may
// still arrive.
const maxTombstones = 4096

// Ejection of instances that fail, and smoothing of the measurements.
const (
	// failuresToEject is how many calls with the outcome Broke, without one with
	// the outcome Answered in between, eject an instance: a single one may be
	// the request's fault.
	failuresToEject = 2
	// firstEjection is about the time that a crashed upstream takes to restart.
	// Each consecutive ejection doubles the duration, up to maxEjection.
	firstEjection = 700 * time.Millisecond
	maxEjection   = 4 * time.Second
	// latencySmoothing is the weight of the newest answer in the moving average
	// of the latency.
	latencySmoothing = 0.15
	// errorRateSmoothing is the weight of the newest outcome in the error rate.
	errorRateSmoothing = 0.12
)

// Instance is an upstream and what this host has measured about it. Its fields
// are guarded by the table's lock.
type Instance struct {
	Entry
	notice
	cold         coldness
	begunAt      time.Time // when this host last began to send a request there
	inFlight     int
	tokens       int // prompt and output tokens in flight
	failures     int // calls that broke since the last answered one
	ejections    int // since the last answered call
	ejectedUntil time.Time
	unreachable  bool          // when it was last ejected
	latency      time.Duration // moving average over successful answers
	measuredAt   uint64        // the table's count of requests to the service at the last answer
	errorRate    float64       // moving average of the share of calls that failed or broke
}

// Status is a snapshot of an upstream, used to choose one for a request.
type Status struct {
	Entry
	InFlight int
	Tokens   int
	Ejected  bool
	// Unreachable means that the upstream did not listen when this host last ejected it.
	Unreachable bool
	// Cold means that the upstream takes few requests a second from all hosts together.
	Cold    bool
	Latency time.Duration
	// SinceAnswer is how many requests this host has sent to the service since Latency was
	// measured.
	SinceAnswer uint64
	ErrorRate   float64
}

// HasVersion reports whether the upstream has a required version of the software;
// every upstream has version "".
func (e Entry) HasVersion(version string) bool { return version == "" || e.Version == version }

// OfVersion returns the upstreams that have a required version of the software.
// For version "" it returns all.
func OfVersion(all []Status, version string) []Status {
	if version == "" {
		return all
	}
	var of []Status
	for _, s := range all {
		if s.HasVersion(version) {
			of = append(of, s)
		}
	}
	return of
}

// Table holds the upstreams of every service. It is safe for concurrent use.
type Table struct {
	mu             sync.Mutex
	byID           map[ID]*Instance
	byService      map[string][]*Instance // ordered by ID
	requests       map[string]uint64      // requests that this host has begun, by service
	tombstones     map[ID]tombstone       // removals; entries up to their positions are ignored
	tombstoneFloor infra.Position         // removals before this position may be missing
	eraBegan       infra.Position         // the first position that was read in the newest era
	// formerVersions is when the last upstream of a software version was removed, by
	// service and version.
	formerVersions map[string]map[string]time.Time
	// completeSince is the time since when the table has received every change.
	completeSince time.Time
	kept          map[processKey]keptNotice
	keptOrder     uint64
	lastPauseEnd  time.Time         // no pause lasts longer
	lastReportEnd time.Time         // no pause that other hosts report lasts longer
	warmups       map[string]Warmup // by service; only of those whose upstreams may be cold
	firstEntryAt  time.Time         // when the first entry arrived
	gotListing    bool              // the first listing has been received completely
	now           func() time.Time
	// coldCentres is when all upstreams of a data centre last began to be cold.
	coldCentres map[host.DataCentre]time.Time
	evacuated   map[host.DataCentre]bool
	changed     func(Change)
}

// Change describes a change of the table, for logging.
type Change struct {
	Entry
	Kind string // "added", "leaving", "paused", "limited", "unlimited", "cold", "removed" or "changed", or one of those in era.go or evacuation.go
	// Source is what told of the change.
	Source Source
	// Until is the end of a pause, or when a cold upstream is warm.
	Until time.Time
	// Limit is a limit that the upstream names, in requests a second.
	Limit float64
	// BegunAt is when this host last began to send a request to an upstream that is leaving or was
	// removed; zero if never.
	BegunAt time.Time
	// Upstreams and InFlight are how many upstreams a data centre has that is evacuated or
	// restored, and how many requests of this host run there.
	Upstreams, InFlight int
}

// Source is what told of a change.
type Source string

// The sources of a change.
const (
	SourceEntry  Source = "entry"  // the upstream's entry in the store
	SourceAnswer Source = "answer" // an answer of the upstream to this host
	SourceHost   Source = "host"   // another host, which has seen the change or got the answer
)

// NewTable creates an empty table. changed, if not nil, is called after each
// change without holding the lock.
func NewTable(changed func(Change)) *Table {
	if changed == nil {
		changed = func(Change) {}
	}
	return &Table{
		byID:       make(map[ID]*Instance),
		byService:  make(map[string][]*Instance),
		requests:   make(map[string]uint64),
		tombstones: make(map[ID]tombstone),
		kept:       make(map[processKey]keptNotice),
		evacuated:  make(map[host.DataCentre]bool),

		coldCentres:    make(map[host.DataCentre]time.Time),
		formerVersions: make(map[string]map[string]time.Time),
		completeSince:  time.Now(),
		now:            time.Now,
		changed:        changed,
	}
}

// Put adds or updates an entry unless a newer one is known.
func (t *Table) Put(e Entry) {
	t.mu.Lock()
	kind := t.put(e)
	change := Change{Entry: e, Kind: kind, Source: SourceEntry}
	if i := t.byID[e.ID]; i != nil && kind == "leaving" {
		change.BegunAt = i.begunAt
	}
	t.mu.Unlock()
	if kind == "cold" {
		change.Until = t.now().Add(e.WarmupLeft)
	}
	if kind != "" {
		t.changed(change)
	}
}

// put adds or updates an entry. It returns what changed, as in Change.Kind, or ""
// if nothing did. The caller holds mu.
func (t *Table) put(e Entry) string {
	old := t.byID[e.ID]
	e, kept, valid := t.reconcile(e, old)
	if !valid {
		return kept
	}
	if old == nil {
		t.addAfter(e, t.tombstones[e.ID].last)
		return cmp.Or(kept, "added")
	}
	if !old.sameProcess(e) {
		t.drop(old)
		t.addAfter(e, old.Entry)
		return "added"
	}
	wasLeaving := old.isLeaving()
	old.Entry = e
	becameCold := t.recordWarmup(old, e.WarmupLeft, t.now())
	if e.Leaving && !wasLeaving {
		return "leaving"
	}
	if becameCold {
		return cmp.Or(kept, "cold")
	}
	return cmp.Or(kept, "changed")
}

// Remove removes an upstream unless a newer entry is known.
func (t *Table) Remove(id ID, at infra.Position) {
	t.mu.Lock()
	if _, buried := t.tombstones[id]; t.byID[id] == nil && !buried {
		t.completeSince = time.Now() // its entry was never received
	}
	removed := t.remove(id, at)
	t.mu.Unlock()
	t.removalDone(removed)
}

// Discard removes an upstream whose entry can't be read, unless a newer one is known.
func (t *Table) Discard(id ID, at infra.Position) {
	t.mu.Lock()
	removed := t.remove(id, at)
	t.mu.Unlock()
	t.removalDone(removed)
}

// remove removes an upstream and returns it, or nil if there is none or a newer entry is
// known. The caller holds mu.
func (t *Table) remove(id ID, at infra.Position) (removed *Instance) {
	old := t.byID[id]
	if old != nil && at.After(old.Position()) {
		t.drop(old)
		removed = old
	}
	t.bury(id, old, at)
	if len(t.tombstones) > maxTombstones {
		t.pruneTombstones()
	}
	return removed
}

// removalDone tells the table's owner of a removal. removed may be nil.
func (t *Table) removalDone(removed *Instance) {
	if removed != nil {
		t.changed(Change{Entry: removed.Entry, Kind: "removed", Source: SourceEntry, BegunAt: removed.begunAt})
	}
}

// MarkGap records that the table was brought up to date from a listing as of a position, so that
// upstreams that came and went before it, and removals, may be missing.
func (t *Table) MarkGap(asOf infra.Position, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completeSince, t.gotListing = now, true
	if asOf.After(t.tombstoneFloor) {
		t.tombstoneFloor = asOf
	}
}

// pruneTombstones drops the older half of the removals. Updates arrive within
// seconds, so no update that these removals would have to suppress is still
// expected.
func (t *Table) pruneTombstones() {
	var positions []infra.Position
	for _, buried := range t.tombstones {
		positions = append(positions, buried.at)
	}
	slices.SortFunc(positions, infra.Position.Compare)
	median := positions[len(positions)/2]
	if median.After(t.tombstoneFloor) {
		t.tombstoneFloor = median
	}
	maps.DeleteFunc(t.tombstones, func(_ ID, buried tombstone) bool { return median.After(buried.at) })
}

// Replace synchronizes the table with a complete listing as of a position.
// Entries that the listing lacks are removed unless they are newer.
func (t *Table) Replace(entries []Entry, asOf infra.Position) {
	listed := make(map[ID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		t.Put(e)
	}
	for _, e := range t.Entries() {
		if !listed[e.ID] && asOf.After(e.Position()) {
			t.Remove(e.ID, asOf)
		}
	}
}

// addAfter adds an upstream. predecessor is the last entry with its ID, zero if none is
// known.
func (t *Table) addAfter(e, predecessor Entry) {
	i := &Instance{Entry: e}
	t.restore(i)
	if predecessor.ID == e.ID {
		t.inherit(i, predecessor.Process())
	}
	t.appeared(i, t.now())
	t.byID[i.ID] = i
	list := append(t.byService[i.Service], i)
	slices.SortFunc(list, func(a, b *Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	t.byService[i.Service] = list
}

func (t *Table) drop(i *Instance) {
	former := t.formerVersions[i.Service]
	if former == nil {
		former = make(map[string]time.Time)
		t.formerVersions[i.Service] = former
	}
	former[i.Version] = time.Now()
	t.keep(i.Process(), i.notice)
	delete(t.byID, i.ID)
	t.byService[i.Service] = slices.DeleteFunc(t.byService[i.Service], func(o *Instance) bool { return o == i })
}

// Versions returns the software versions of a service's upstreams, in no
// particular order: of those that may get new work, those that are leaving, and
// those that were removed after a time. complete is false if the table has missed
// changes since then, so that there may be others.
func (t *Table) Versions(service string, removedAfter time.Time) (all []string, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make(map[string]bool)
	for _, i := range t.byService[service] {
		versions[i.Version] = true
	}
	for version, removed := range t.formerVersions[service] {
		if removed.After(removedAfter) {
			versions[version] = true
		} else {
			delete(t.formerVersions[service], version)
		}
	}
	return slices.Collect(maps.Keys(versions)), t.completeSince.Before(removedAfter)
}

// Entries returns all entries in no particular order.
func (t *Table) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Entry, 0, len(t.byID))
	for _, i := range t.byID {
		all = append(all, i.Entry)
	}
	return all
}

// Service returns the upstreams of a service that this host may send new work to,
// ordered by ID.
func (t *Table) Service(name string, now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	heeded := t.heededReports(name, now)
	return t.service(name, now, func(i *Instance) bool { return t.exclusion(i, heeded, now) == "" })
}

// service returns the upstreams of a service for which usable is true. The caller holds mu.
func (t *Table) service(name string, now time.Time, usable func(*Instance) bool) []Status {
	var all []Status
	_, mayBeCold := t.warmups[name]
	for _, i := range t.byService[name] {
		if !usable(i) {
			continue
		}
		all = append(all, Status{
			Entry: i.Entry, InFlight: i.inFlight, Tokens: i.tokens,
			Ejected: now.Before(i.ejectedUntil), Unreachable: i.unreachable, Cold: mayBeCold && t.isCold(i, now), Latency: i.latency, SinceAnswer: t.requests[name] - i.measuredAt, ErrorRate: i.errorRate,
		})
	}
	return all
}

// Removal is an upstream that was removed.
type Removal struct {
	ID       ID    `cbor:"1,keyasint"`
	Revision int64 `cbor:"2,keyasint"`
	Era      int64 `cbor:"3,keyasint,omitempty"`
}

// ChangesSince returns the changes after a position. known is false if removals since
// then are no longer remembered.
func (t *Table) ChangesSince(position infra.Position) (entries []Entry, removals []Removal, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tombstoneFloor.After(position) {
		return nil, nil, false
	}
	for _, i := range t.byID {
		if i.Position().After(position) {
			entries = append(entries, i.Entry)
		}
	}
	for id, buried := range t.tombstones {
		if buried.at.After(position) {
			removals = append(removals, Removal{ID: id, Revision: buried.at.Revision, Era: buried.at.Era})
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

// Use is a request that counts as running on an upstream process.
type Use struct {
	table    *Table
	instance *Instance
	tokens   int
}

// Begin counts a request as running on an upstream. It fails if the upstream is
// gone, or must get no new work because it is leaving or its data centre is evacuated.
func (t *Table) Begin(id ID, tokens int) (*Use, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.byID[id]
	if i == nil || !t.mayGetWork(i) {
		return nil, false
	}
	t.requests[i.Service]++
	i.begunAt = t.now()
	i.inFlight++
	i.tokens += tokens
	return &Use{table: t, instance: i, tokens: tokens}, true
}

// End stops counting the request as running and records its outcome. took is
// the time to the answer, 0 if there was none. Calling End on a nil Use has no
// effect.
func (u *Use) End(outcome Outcome, took time.Duration, now time.Time) {
	if u == nil {
		return
	}
	u.table.mu.Lock()
	defer u.table.mu.Unlock()
	u.instance.inFlight--
	u.instance.tokens -= u.tokens
	u.instance.recordOutcome(outcome, took, now)
	if outcome == Answered {
		u.instance.measuredAt = u.table.requests[u.instance.Service]
	}
}

// Outcome is how a call to an upstream ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: the upstream answered without a failure of its own.
	Answered Outcome = iota
	// Failed: the upstream answered with a failure.
	Failed
	// Broke: the connection failed or the answer was not usable.
	Broke
	// Abandoned: this host ended the call, so the outcome says nothing about
	// the upstream.
	Abandoned
	// Unreachable: no connection could be established, or another process had
	// the address.
	Unreachable
)

// String returns the lower-case name of the outcome.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "broke", "abandoned", "unreachable"}[o]
}

// MarkUnreachable records that the upstream does not listen at its address.
func (t *Table) MarkUnreachable(id ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.byID[id]; i != nil {
		i.recordOutcome(Unreachable, 0, now)
	}
}

// recordOutcome updates the measurements of an instance and ejects it if it is
// unhealthy.
func (i *Instance) recordOutcome(outcome Outcome, took time.Duration, now time.Time) {
	switch outcome {
	case Abandoned:
	case Answered:
		i.failures, i.ejections = 0, 0
		i.errorRate *= 1 - errorRateSmoothing
		if i.latency == 0 {
			i.latency = took
		}
		i.latency += time.Duration(latencySmoothing * float64(took-i.latency))
	case Failed:
		i.errorRate += errorRateSmoothing * (1 - i.errorRate)
	case Unreachable:
		i.unreachable = true
		i.eject(now)
	case Broke:
		i.errorRate += errorRateSmoothing * (1 - i.errorRate)
		if i.failures++; i.failures >= failuresToEject {
			i.unreachable = false
			i.eject(now)
		}
	}
}

// eject marks an instance as ejected for a while, so that others are preferred.
func (i *Instance) eject(now time.Time) {
	if now.Before(i.ejectedUntil) {
		return
	}
	i.ejectedUntil = now.Add(min(firstEjection<<min(i.ejections, 4), maxEjection))
	i.ejections++
	// It may have crashed, and a new process under its ID is cold.
	i.cold.from = later(i.cold.from, i.ejectedUntil)
}
