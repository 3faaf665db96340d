package instance

import (
	"net/netip"
	"time"
)

// pauseReportStep is by how much a pause must grow to be reported again. Many
// answers may extend it by a little.
const pauseReportStep = time.Second

// Pause records that a process has asked this host for no requests until a time.
// Unlike an ejected upstream, a paused one is not used even if there is no other.
// An earlier pause that lasts longer stays in force.
func (t *Table) Pause(p Process, until, now time.Time) {
	t.mu.Lock()
	var change *Change
	if i := t.sender(p, now); i != nil {
		if until.Sub(later(i.pausedUntil, now)) >= pauseReportStep || !now.Before(i.pausedUntil) && until.After(now) {
			change = &Change{Entry: i.Entry, Kind: "paused", Source: SourceAnswer, Until: until}
		}
		i.pausedUntil, i.saidAt = later(i.pausedUntil, until), now
	} else {
		n := t.kept[p.key()].notice
		n.pausedUntil, n.saidAt = later(n.pausedUntil, until), now
		t.keep(p, n)
	}
	t.lastPauseEnd = later(t.lastPauseEnd, until)
	t.mu.Unlock()
	if change != nil {
		t.changed(*change)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Throttle keeps this host from sending a process requests until a time, because of
// the process's limit.
func (t *Table) Throttle(p Process, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.listed(p); i != nil {
		i.throttledUntil = later(i.throttledUntil, until)
		t.lastPauseEnd = later(t.lastPauseEnd, until)
	}
}

// backAt returns when the process may get requests of this host again.
func (n notice) backAt() time.Time { return later(n.pausedUntil, n.throttledUntil) }

func (n notice) isPaused(now time.Time) bool { return now.Before(n.backAt()) }

// ServiceOfFleet returns the upstreams of a service that hosts may send new work
// to, ordered by ID, also those that only this host must not.
func (t *Table) ServiceOfFleet(name string, now time.Time) []Status {
	return t.service(name, now, t.mayGetWork)
}

// PausedUntil returns when a listed upstream that is paused or at its limit is back,
// false if it is neither.
func (t *Table) PausedUntil(id ID, now time.Time) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.byID[id]; i != nil && i.isPaused(now) {
		return i.backAt(), true
	}
	return time.Time{}, false
}

// IsPaused reports whether a process is paused or at its limit. The listed upstream with the
// address is meant if p has no ID.
func (t *Table) IsPaused(p Process, addr netip.AddrPort, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch i := t.sender(p, now); {
	case !now.Before(t.lastPauseEnd):
		return false
	case i != nil:
		return i.isPaused(now)
	case p.ID != "":
		return t.kept[p.key()].isPaused(now)
	}
	for _, i := range t.byID {
		if i.Addr == addr && i.isPaused(now) {
			return true
		}
	}
	return false
}

// FirstBack returns when the first upstream of a service is back. It returns false
// unless all those that may get work later are paused or at their limits, and there is one.
func (t *Table) FirstBack(name string, now time.Time) (first time.Time, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.byService[name] {
		switch {
		case !t.mayGetWork(i):
		case !i.isPaused(now):
			return time.Time{}, false
		case !paused || i.backAt().Before(first):
			first, paused = i.backAt(), true
		}
	}
	return first, paused
}
