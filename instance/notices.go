package instance

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"syscall"
	"time"
)

// Process identifies an upstream process. A later process may have the same ID.
type Process struct {
	ID        ID
	StartTime time.Time
}

// Process returns the process that the entry describes.
func (e Entry) Process() Process { return Process{ID: e.ID, StartTime: e.StartTime} }

// key returns the process as a map key: equal times may differ in location.
func (p Process) key() processKey {
	return processKey{id: p.ID, startMS: p.StartTime.UnixMilli()}
}

type processKey struct {
	id      ID
	startMS int64 // Unix time
}

// notice is what a process has said about itself in its answers to this host, and what
// other hosts report that it has said of limits and pauses to them. It is not part of the
// entry, so no entry overrides it.
type notice struct {
	leaving bool
	// pausedUntil is when the process accepts requests of this host again.
	pausedUntil time.Time
	// reportedUntil is the end of a pause that the process has asked another host for.
	reportedUntil time.Time
	// throttledUntil is when this host may ask again to send the process a request
	// within its limit.
	throttledUntil time.Time
	limit          limit
	// saidAt is when the process last said that it is leaving, asked for a pause or
	// named a limit.
	saidAt time.Time
}

// isEmpty reports whether the process has said nothing that still matters.
func (n notice) isEmpty() bool {
	n.saidAt = time.Time{}
	return n == (notice{})
}

// keptNotice is the notice of a process that is not listed.
type keptNotice struct {
	notice
	order uint64 // grows with each kept notice
}

// maxKeptNotices bounds the notices of processes that are not listed. The older
// half is dropped above it.
const maxKeptNotices = 4096

// MarkLeaving records that a process has said in an answer that it is leaving. It
// gets no new work from this host, whatever a later entry of the same process
// says, also if its entry is removed and returns.
func (t *Table) MarkLeaving(p Process, now time.Time) {
	t.mu.Lock()
	var change *Change
	if i := t.sender(p, now); i != nil {
		if !i.isLeaving() {
			change = &Change{Entry: i.Entry, Kind: "leaving", Source: SourceAnswer}
		}
		i.leaving, i.saidAt = true, now
	} else {
		n := t.kept[p.key()].notice
		n.leaving, n.saidAt = true, now
		t.keep(p, n)
	}
	t.mu.Unlock()
	if change != nil {
		t.changed(*change)
	}
}

// Notice is what is known of the limit and the pauses of a listed upstream, from answers to this
// host and from other hosts.
type Notice struct {
	Process   Process
	PerSecond float64
	NamedAt   time.Time
	Limited   bool
	// PausedUntil is the end of the longest pause, in the past if there is none.
	PausedUntil time.Time
}

// Notices returns the notices of the listed upstreams that name a limit or have asked a host for
// a pause that lasts.
func (t *Table) Notices(now time.Time) (all []Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.byID {
		until := later(i.pausedUntil, i.reportedUntil)
		if i.limit.named || now.Before(until) {
			all = append(all, Notice{i.Process(), i.limit.perSecond, i.limit.namedAt, i.limit.named, until})
		}
	}
	return all
}

// ProcessAt returns the listed upstream with an address. It ignores the one with
// the ID except.
func (t *Table) ProcessAt(addr netip.AddrPort, except ID) (Process, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.byID {
		if i.Addr == addr && i.ID != except {
			return i.Process(), true
		}
	}
	return Process{}, false
}

// Withheld returns the upstreams of a service that this host must not send new work
// to because of their answers to it, so that other hosts may not know.
func (t *Table) Withheld(name string, now time.Time) (all []ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	heeded := t.heededReports(name, now)
	for _, i := range t.byService[name] {
		if i.leaving || i.isPaused(now) || heeded[i.Version] && i.isReported(now) {
			all = append(all, i.ID)
		}
	}
	return all
}

// RefusesAsLeaving reports whether err, of a connection to a process, is a refusal, and the process
// is leaving or has left, as far as this host knows. It then says nothing about the process: it may
// have closed its listener and complete the work that it has.
func (t *Table) RefusesAsLeaving(p Process, err error) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.listed(p)
	return i == nil || i.isLeaving()
}

// isLeaving reports whether the entry or an answer says that the upstream is
// leaving.
func (i *Instance) isLeaving() bool { return i.Leaving || i.leaving }

// listed returns the upstream if the table lists this process, otherwise nil. The
// caller holds mu.
func (t *Table) listed(p Process) *Instance {
	if i := t.byID[p.ID]; i != nil && i.Process().key() == p.key() {
		return i
	}
	return nil
}

const (
	// maxClockError is how far the clocks of a host and an upstream may differ when the
	// host decides which of two processes gave an answer.
	maxClockError = time.Second
	// maxUnlistedTime is how long a process may serve before the host learns of its
	// entry, because the store is away or has come back from an older copy.
	maxUnlistedTime = time.Minute
)

// ranUnlisted reports whether the process already ran at a time at which the host did
// not know its entry yet, by more than margin.
func (e Entry) ranUnlisted(at time.Time, margin time.Duration) bool {
	age := at.Sub(e.StartTime)
	return age > margin && age < maxUnlistedTime
}

// sender returns the listed upstream whose answer to a call for process p arrived now,
// nil if it is not listed. Answers state an ID at most, so it is the successor of p
// under its ID if that has started since. The caller holds mu.
func (t *Table) sender(p Process, now time.Time) *Instance {
	return t.senderByClock(p, now, maxClockError)
}

// pausingSender is sender for an answer that asks for a pause, without a margin for clocks that
// differ: a process that starts may ask for a pause at once, and one that is counted for the wrong
// process ends. The caller holds mu.
func (t *Table) pausingSender(p Process, now time.Time) *Instance {
	return t.senderByClock(p, now, 0)
}

func (t *Table) senderByClock(p Process, now time.Time, clockError time.Duration) *Instance {
	if i := t.listed(p); i != nil {
		return i
	}
	if i := t.byID[p.ID]; i != nil && i.StartTime.After(p.StartTime) && i.ranUnlisted(now, clockError) {
		return i
	}
	return nil
}

// inherit gives an upstream the notice that was recorded for its predecessor after it had
// started itself: until its entry arrived, its answers were taken for those of the
// predecessor. The caller holds mu.
func (t *Table) inherit(i *Instance, predecessor Process) {
	former, found := t.kept[predecessor.key()]
	switch {
	case !found || !i.isEmpty() || !i.StartTime.After(predecessor.StartTime):
	case i.ranUnlisted(former.saidAt, maxClockError):
		i.notice = former.notice
		delete(t.kept, predecessor.key())
	case i.ranUnlisted(former.saidAt, 0):
		i.pausedUntil, i.saidAt = former.pausedUntil, former.saidAt // see pausingSender
	}
}

// keep remembers the notice of a process that is not listed. The caller holds mu.
func (t *Table) keep(p Process, n notice) {
	if n.isEmpty() {
		delete(t.kept, p.key())
		return
	}
	t.keptOrder++
	t.kept[p.key()] = keptNotice{notice: n, order: t.keptOrder}
	if len(t.kept) <= maxKeptNotices {
		return
	}
	var orders []uint64
	for _, k := range t.kept {
		orders = append(orders, k.order)
	}
	slices.Sort(orders)
	median := orders[len(orders)/2]
	maps.DeleteFunc(t.kept, func(_ processKey, k keptNotice) bool { return k.order < median })
}

// restore gives a listed upstream the notice that was kept for it. The caller
// holds mu.
func (t *Table) restore(i *Instance) {
	i.notice = t.kept[i.Process().key()].notice
	delete(t.kept, i.Process().key())
}
