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
// An earlier pause that lasts longer stays in force. It returns true if other hosts may not
// know of it: neither this host nor they have reported one that lasts about as long.
func (t *Table) Pause(p Process, until, now time.Time) (isNews bool) {
	t.mu.Lock()
	var change *Change
	_, known := t.noticeOf(p, now)
	isNews = until.Sub(later(later(known.pausedUntil, known.reportedUntil), now)) >= pauseReportStep ||
		until.After(now) && !now.Before(known.pausedUntil) && !now.Before(known.reportedUntil)
	if i := t.pausingSender(p, now); i != nil {
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
	return isNews
}

// MaxReportedPause bounds a pause that is known only from another host, so that one answer
// of an upstream can't take it out of use everywhere for hours.
const MaxReportedPause = 30 * time.Second

// ReportPause records that a process has asked another host for no requests until a time.
// This host leaves the upstream out of its choices until then, but not if less than half of
// the service's upstreams of its software version that work would be left: refusals may come
// from too much load, which the rest could not carry.
func (t *Table) ReportPause(p Process, until, now time.Time) {
	if limit := now.Add(MaxReportedPause); until.After(limit) {
		until = limit
	}
	if !until.After(now) {
		return
	}
	t.mu.Lock()
	i, n := t.noticeOfExactly(p)
	isNews := !now.Before(n.reportedUntil) && !now.Before(n.pausedUntil)
	n.reportedUntil = later(n.reportedUntil, until)
	t.lastReportEnd = later(t.lastReportEnd, until)
	if i == nil {
		t.keep(p, *n)
	}
	t.mu.Unlock()
	if i != nil && isNews {
		t.changed(Change{Entry: i.Entry, Kind: "paused", Source: SourceHost, Until: until})
	}
}

// isReported reports whether another host has been asked for a pause that lasts.
func (n notice) isReported(now time.Time) bool { return now.Before(n.reportedUntil) }

// heededReports returns the software versions of a service of which this host leaves out the
// upstreams that have asked only other hosts for a pause, nil if there are none: requests may
// need a version. The caller holds mu.
func (t *Table) heededReports(name string, now time.Time) map[string]bool {
	if !now.Before(t.lastReportEnd) {
		return nil
	}
	type count struct{ usable, reported int }
	counts := make(map[string]count)
	for _, i := range t.byService[name] {
		if t.exclusionByAll(i) != "" || i.isPaused(now) || now.Before(i.ejectedUntil) {
			continue
		}
		c := counts[i.Version]
		c.usable++
		if i.isReported(now) {
			c.reported++
		}
		counts[i.Version] = c
	}
	heeded := make(map[string]bool, len(counts))
	for version, c := range counts {
		heeded[version] = 2*c.reported <= c.usable
	}
	return heeded
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
	t.mu.Lock()
	defer t.mu.Unlock()
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
	switch i := t.pausingSender(p, now); {
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
