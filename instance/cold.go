package instance

import (
	"maps"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// An upstream is cold after its start, and may become cold again at any moment. It reports that
// in its entry, about a heartbeat later, and in its answers. A host also treats upstreams as
// cold that report nothing: those that have just started or appeared, those that it could not
// reach a moment ago, and those of a data centre whose evacuation has just ended.

// firstListingTime is how long after its first entry a table may still receive the first
// listing, if nothing marks the listing's end. Upstreams that appear later have started since.
const firstListingTime = 2 * time.Second

// Warmup says how the upstreams of a service warm up.
type Warmup struct {
	// Time is how long an upstream is cold after its start.
	Time time.Duration
	// PerSecond is how many requests a second a cold upstream takes from all hosts together.
	PerSecond float64
}

// coldness is what is known of the times at which an upstream process is cold. It is kept
// apart from its service's warm-up, which the configuration may change.
type coldness struct {
	// from is when the process last began to be cold, as far as this host has to assume.
	from time.Time
	// until is when the process is warm by its own reports.
	until time.Time
}

// SetWarmups sets how the upstreams of each service warm up. Upstreams of services that are
// not in the map are never cold.
func (t *Table) SetWarmups(warmups map[string]Warmup) {
	warmups = maps.Clone(warmups)
	maps.DeleteFunc(warmups, func(_ string, w Warmup) bool { return w.PerSecond <= 0 })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.warmups = warmups
}

// coldUntil returns when an upstream is warm, in the past if it is, and the rate that it takes
// until then. cold is false if its service's upstreams are never cold. The caller holds mu.
func (t *Table) coldUntil(i *Instance) (until time.Time, perSecond float64, cold bool) {
	w, cold := t.warmups[i.Service]
	if !cold {
		return time.Time{}, 0, false
	}
	from := later(i.cold.from, t.coldCentres[i.DataCentre])
	return later(i.cold.until, from.Add(w.Time)), w.PerSecond, true
}

// isCold reports whether an upstream is cold. The caller holds mu.
func (t *Table) isCold(i *Instance, now time.Time) bool {
	until, _, cold := t.coldUntil(i)
	return cold && now.Before(until)
}

// Cold returns how many requests a second an upstream takes from all hosts together because it
// is cold, false if it is not. Calls for a process also reach its successor under its ID, so
// the one that is listed counts.
func (t *Table) Cold(p Process, now time.Time) (perSecond float64, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coldRate(p, now)
}

// coldRate is Cold. The caller holds mu.
func (t *Table) coldRate(p Process, now time.Time) (perSecond float64, cold bool) {
	i := t.byID[p.ID]
	if i == nil {
		return 0, false
	}
	until, perSecond, cold := t.coldUntil(i)
	if !cold || !now.Before(until) {
		return 0, false
	}
	return perSecond, true
}

// MarkCold records that an answer of a process reports it as cold for a time.
func (t *Table) MarkCold(p Process, left time.Duration, now time.Time) {
	if left <= 0 {
		return
	}
	t.mu.Lock()
	var change *Change
	if i := t.sender(p, now); i != nil && t.recordWarmup(i, left, now) {
		change = &Change{Entry: i.Entry, Kind: "cold", Source: SourceAnswer, Until: i.cold.until}
	}
	t.mu.Unlock()
	if change != nil {
		t.changed(*change)
	}
}

// recordWarmup records for how long an upstream reports to be cold. It returns true if it
// counted as warm. The caller holds mu.
func (t *Table) recordWarmup(i *Instance, left time.Duration, now time.Time) (changed bool) {
	if left <= 0 {
		return false
	}
	_, _, has := t.coldUntil(i)
	changed = has && !t.isCold(i, now)
	i.cold.until = later(i.cold.until, now.Add(left))
	return changed
}

// appeared sets from when an upstream that was just added is cold. Those of the first listing
// were there before this host, so that only their start times count. The others have
// started, or have come back, within the time that it takes to learn of them. The caller
// holds mu.
func (t *Table) appeared(i *Instance, now time.Time) {
	if t.firstEntryAt.IsZero() {
		t.firstEntryAt = now
	}
	i.cold.from = now
	if !t.gotListing && now.Sub(t.firstEntryAt) < firstListingTime && i.StartTime.Before(now) {
		i.cold.from = i.StartTime
	}
	t.recordWarmup(i, i.WarmupLeft, now)
}

// markDataCentreCold makes all upstreams of a data centre count as cold for their services'
// warm-up times, also those that register there within it. The caller holds mu.
func (t *Table) markDataCentreCold(dc host.DataCentre, now time.Time) {
	t.coldCentres[dc] = later(t.coldCentres[dc], now)
}

// ColdUpstreams returns the cold upstreams of each service whose upstreams may be cold, with
// how many requests a second each takes from all hosts together.
func (t *Table) ColdUpstreams(now time.Time) map[string]map[ID]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]map[ID]float64, len(t.warmups))
	for name, w := range t.warmups {
		all[name] = make(map[ID]float64)
		for _, i := range t.byService[name] {
			if t.isCold(i, now) {
				all[name][i.ID] = w.PerSecond
			}
		}
	}
	return all
}

// Restraint is what holds back the requests of all hosts to a process: a limit that it has
// named, or that it is cold.
type Restraint struct {
	// PerSecond is the limit in requests a second, and NamedAt when an answer last named it.
	PerSecond float64
	NamedAt   time.Time
	Limited   bool
	// WarmupPerSecond is how many requests a second the process takes while it is cold; 0 if
	// it is not.
	WarmupPerSecond float64
}

// Restraint returns what holds back the requests to a process.
func (t *Table) Restraint(p Process, now time.Time) (r Restraint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.PerSecond, r.NamedAt, r.Limited = t.limitOf(p)
	if len(t.warmups) > 0 {
		r.WarmupPerSecond, _ = t.coldRate(p, now)
	}
	return r
}
