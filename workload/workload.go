// Package workload estimates how long work takes at each upstream: from what the
// upstream last reported about its load and pace, and from what requests that look
// alike have cost. It does no I/O and takes the time from the caller.
package workload

import (
	"math"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
)

const (
	// paceTimeConstant is the time constant of the filter over reported paces. Pace
	// changes about every 600 ms, so that a report older than that says little.
	paceTimeConstant = 200 * time.Millisecond
	// minPaceWeight is the least weight of a new report. The newest one is the best
	// estimate even if the one before it is a moment old.
	minPaceWeight = 0.5
	// reportHalfLife is the age at which a report counts half: pace has returned half of
	// the way to 1, and load half of the way to that of the other upstreams.
	reportHalfLife = 600 * time.Millisecond
	// slownessSmoothing is the weight of the newest call in an upstream's slowness.
	slownessSmoothing = 0.15
	// slownessHalfLife is how long after the last call a slowness counts half, so that
	// an upstream that was slow is tried again.
	slownessHalfLife = 5 * time.Second
	// maxSlowness bounds the slowness that one call shows.
	maxSlowness = 20
	// minPace and maxPace bound the paces that hosts pass on to each other.
	minPace = 0.05
	maxPace = 20
	// maxUpstreams bounds the upstreams that are remembered. It is above the number of
	// upstreams of the largest fleets.
	maxUpstreams = 16384
)

// Table holds what is known about each upstream, and what requests cost. It is safe for
// concurrent use. Methods of a nil Table know nothing: the estimate is off.
type Table struct {
	metrics *metrics

	mu        sync.Mutex // guards the fields below
	upstreams map[instance.ID]*upstream
	costs     map[Class]*cost
}

// upstream is what one process has reported, and how its calls went.
type upstream struct {
	process    instance.Process
	service    string
	load       call.Load // the last report
	pace       float64   // filtered; 0 if none was reported
	reportedAt time.Time // zero if nothing was reported
	pacedAt    time.Time
	slowness   float64 // duration of calls relative to the expected one
	measuredAt time.Time
	malformed  bool // a malformed report was logged
}

// State is an estimate of an upstream's state.
type State struct {
	// Known means that the upstream has reported its load.
	Known bool
	// Weight is how much the last report still says, from 1, just received, to 0.
	Weight float64
	// Pace is how long work takes relative to the usual, 1 if unknown.
	Pace float64
	// Outstanding is the number of requests running and waiting in the last report.
	Outstanding int
	// Slots is the number of slots in the last report; 0 if unknown.
	Slots int
	// Slowness is how long calls to the upstream take relative to similar calls to
	// the others of its service at the same pace, 1 if unknown.
	Slowness float64
}

// unknown is the state of an upstream about which nothing is known.
var unknown = State{Pace: 1, Slowness: 1}

// NewTable creates an empty table. registerer may be nil.
func NewTable(registerer prometheus.Registerer) *Table {
	t := &Table{metrics: newMetrics(), upstreams: make(map[instance.ID]*upstream), costs: make(map[Class]*cost)}
	if registerer != nil {
		registerer.MustRegister(t.metrics.all()...)
		registerer.MustRegister(&loadCollector{t})
	}
	return t
}

// Report records what an upstream reported about itself.
func (t *Table) Report(e instance.Entry, load call.Load, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(e, now)
	t.metrics.reports.WithLabelValues(e.Service, "valid").Inc()
	if load.Pace > 0 {
		u.setPace(load.Pace, now)
	}
	u.load, u.reportedAt = load, now
}

// ReportPace records a pace that an upstream reported to another host. Values that no
// upstream reports are ignored.
func (t *Table) ReportPace(e instance.Entry, pace float64, now time.Time) {
	if t == nil || !(pace >= minPace && pace <= maxPace) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upstream(e, now).setPace(pace, now)
}

func (u *upstream) setPace(pace float64, now time.Time) {
	weight := max(minPaceWeight, 1-math.Exp(-now.Sub(u.pacedAt).Seconds()/paceTimeConstant.Seconds()))
	if u.pace == 0 {
		weight = 1
	}
	u.pace += weight * (pace - u.pace)
	u.pacedAt = now
}

// ReportMalformed counts a malformed report of an upstream. first is true if it is the
// first of its process.
func (t *Table) ReportMalformed(e instance.Entry, now time.Time) (first bool) {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.metrics.reports.WithLabelValues(e.Service, "malformed").Inc()
	u := t.upstream(e, now)
	first = !u.malformed
	u.malformed = true
	return first
}

// State estimates the state of an upstream.
func (t *Table) State(process instance.Process, now time.Time) State {
	if t == nil {
		return unknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[process.ID]
	if u == nil || !u.isOf(process) {
		return unknown
	}
	return u.state(now)
}

func (u *upstream) state(now time.Time) State {
	s := State{
		Known: !u.reportedAt.IsZero(), Outstanding: u.load.Running + u.load.Waiting,
		Slots: u.load.Slots, Slowness: 1,
	}
	if s.Known {
		s.Weight = halved(now.Sub(u.reportedAt), reportHalfLife)
	}
	s.Pace = u.paceAt(now)
	if u.slowness > 0 {
		s.Slowness = 1 + (u.slowness-1)*halved(now.Sub(u.measuredAt), slownessHalfLife)
	}
	return s
}

// paceAt returns the last pace as far as it has not returned to 1.
func (u *upstream) paceAt(now time.Time) float64 {
	if u.pace == 0 {
		return 1
	}
	return 1 + (u.pace-1)*halved(now.Sub(u.pacedAt), reportHalfLife)
}

// Pace estimates how long work takes at an upstream relative to the usual, 1 if unknown.
func (t *Table) Pace(process instance.Process, now time.Time) float64 {
	if t == nil {
		return 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[process.ID]
	if u == nil || !u.isOf(process) {
		return 1
	}
	return u.paceAt(now)
}

// Remove forgets an upstream that was removed.
func (t *Table) Remove(id instance.ID) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.upstreams, id)
}

// upstream returns what is known about a process and creates it if needed. What a former
// process with the same ID reported is dropped. The caller holds mu.
func (t *Table) upstream(e instance.Entry, now time.Time) *upstream {
	u := t.upstreams[e.ID]
	if u == nil || !u.isOf(e.Process()) {
		if len(t.upstreams) >= maxUpstreams {
			t.dropStalest(now)
		}
		u = &upstream{process: e.Process(), service: e.Service}
		t.upstreams[e.ID] = u
	}
	return u
}

// dropStalest forgets the upstream that has been silent for longest. The caller holds mu.
func (t *Table) dropStalest(now time.Time) {
	var stalest instance.ID
	oldest := now
	for id, u := range t.upstreams {
		if !u.reportedAt.After(oldest) {
			stalest, oldest = id, u.reportedAt
		}
	}
	delete(t.upstreams, stalest)
}

func (u *upstream) isOf(process instance.Process) bool {
	return u.process.StartTime.Equal(process.StartTime)
}

// halved returns 1 at age 0, and half of it after each half-life.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age.Seconds(), 0) / halfLife.Seconds())
}
