package staging

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// maxClasses is how many classes of priority are told apart. Less urgent ones count as
	// the last.
	maxClasses = 8
	// overloadHold is how long a service stays overloaded after its queue last exceeded what
	// its servers can do in time: about two full calls. Without it the order would change
	// with each batch that leaves the queue.
	overloadHold = 500 * time.Millisecond
)

// classOf returns the class of a priority, 0 for the most urgent.
func classOf(priority int) int { return min(max(priority, 0), maxClasses-1) }

// contention decides whether a service is overloaded. It does no I/O.
type contention struct {
	overloaded bool
	last       time.Time // when the queue last exceeded what the servers can do in time
	// arrivals is the work that arrives, in pieces, by class.
	arrivals [maxClasses]arrivalRate
	// refused is the work that hosts refuse before it arrives, likewise.
	refused [maxClasses]arrivalRate
	rate    float64 // with which the last decision was made
}

// update decides again. rate is in pieces per second. It returns true if the decision
// changed.
func (c *contention) update(q *queue, rate float64, spec *routing.StageServer, now time.Time) (changed bool) {
	for class := range c.arrivals {
		c.arrivals[class].update(now)
		c.refused[class].update(now)
	}
	before := c.overloaded
	c.rate = rate
	if exceedsRate(q.waiting, rate, spec, now) {
		c.overloaded, c.last = true, now
	}
	// Groups that have become late no longer count as work that can be in time, but the
	// overload has not ended while they are queued.
	estimator := rateEstimator{rate: rate}
	drained := estimator.timeFor(float64(q.totalPieces())) <= spec.FullBatchTime()/2
	if drained && now.Sub(c.last) > overloadHold {
		c.overloaded = false
	}
	return c.overloaded != before
}

// arrivalsBefore returns the rate at which work of the classes before a class arrives.
func (c *contention) arrivalsBefore(class int) (sum arrivalRate) {
	for i := range min(class, maxClasses) {
		sum.rate += c.arrivals[i].rate
	}
	return sum
}

// fits returns the part of the requests of each class that the servers can do in addition to
// the more urgent classes.
func (c *contention) fits(rate float64) []float64 {
	parts := make([]float64, maxClasses)
	for class := range parts {
		requested := c.arrivals[class].rate + c.refused[class].rate
		parts[class] = 1
		if requested > 0 {
			parts[class] = min(max(rate/requested, 0), 1)
		}
		rate -= requested
	}
	return parts
}

// exceedsRate reports whether some groups that can still be in time would be late even if
// groups were served in the order of their targets. Work that fits into one call, and into the
// memory of one server, never exceeds the rate.
func exceedsRate(waiting []*workItem, rate float64, spec *routing.StageServer, now time.Time) bool {
	batchTime := spec.FullBatchTime()
	var inTime []*workItem
	var queued amount
	for _, w := range waiting {
		if !w.ended && !now.Add(batchTime).After(w.target) {
			inTime = append(inTime, w)
			queued.add(w)
		}
	}
	if rate <= 0 || queued.pieces <= float64(spec.BatchSize) && queued.bytes <= float64(spec.UsableResultMemory()) {
		return false
	}
	slices.SortStableFunc(inTime, func(a, b *workItem) int { return a.target.Compare(b.target) })
	estimator := rateEstimator{rate: rate}
	ahead := 0
	for _, w := range inTime {
		if now.Add(estimator.timeFor(float64(ahead)) + batchTime).After(w.target) {
			return true
		}
		ahead += len(w.waiting)
	}
	return false
}

// firstClassBehind returns the first class of which groups that arrive later do not go ahead of
// the group.
func (w *workItem) firstClassBehind(inTime bool) int {
	if inTime {
		return w.class()
	}
	return w.class() + 1
}

// class returns the class with which a group competes. A group of the guaranteed share
// competes with the most urgent class, and one whose inputs take up memory with the next
// more urgent class.
func (w *workItem) class() int {
	switch {
	case w.Guaranteed:
		return 0
	case w.ScarceInputs:
		return max(classOf(w.Priority)-1, 0)
	}
	return classOf(w.Priority)
}

// tolerance returns by how much the group may miss its target, 0 if it is not refused for that.
func (w *workItem) tolerance() time.Duration {
	if w.class() == 0 {
		return 0
	}
	return w.LateTolerance
}

// begun reports whether earlier work for the group's request would be thrown away if the
// group were not served.
func (w *workItem) begun() bool { return len(w.Inputs) > 0 || len(w.waiting) < w.Pieces }

// compareOverloaded orders groups under overload: by class, within a class those in time before
// the late ones, those whose request has begun before the others, and then by target or
// deadline.
func compareOverloaded(a, b *workItem, now time.Time, batchTime time.Duration) int {
	aInTime, bInTime := a.canMeetTarget(now, batchTime), b.canMeetTarget(now, batchTime)
	first := cmp.Or(cmp.Compare(a.class(), b.class()), trueFirst(aInTime, bInTime), trueFirst(a.begun(), b.begun()))
	if first == 0 && aInTime {
		return a.target.Compare(b.target)
	}
	return cmp.Or(first, a.deadline.Compare(b.deadline))
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// waitHorizon is how far ahead classWaits looks: about the time from the arrival of a request
// until its second or third stage begins.
const waitHorizon = 500 * time.Millisecond

// classWaits estimates how long new groups that can be in time are queued, by class: those
// that arrive now, and those that arrive after waitHorizon if groups arrive as they do now.
// Groups of more urgent classes that arrive meanwhile go ahead.
func (s *serviceState) classWaits(now time.Time, batchTime time.Duration) (waits, laterWaits []time.Duration) {
	var queued [maxClasses]backlog
	for _, w := range s.queue.waiting {
		queued[w.class()].add(w, now, batchTime)
	}
	var ahead amount // of the class that follows
	for class, own := range queued {
		pieces := ahead.pieces + own.inTime.pieces
		bytes := s.byteRate.timeFor(ahead.bytes + own.inTime.bytes)
		urgent := s.contention.arrivalsBefore(class)
		growth := (s.contention.arrivalsBefore(class+1).rate - s.pieceRate.rate) * waitHorizon.Seconds()
		waits = append(waits, max(s.pieceRate.lateTimeFor(pieces, urgent), bytes))
		laterWaits = append(laterWaits, max(s.pieceRate.lateTimeFor(max(pieces+growth, 0), urgent), bytes))
		ahead.pieces = pieces + own.late.pieces
		ahead.bytes += own.inTime.bytes + own.late.bytes
	}
	return waits, laterWaits
}

// updateContention decides whether a service is overloaded. The caller holds mu.
func (g *Gatherer) updateContention(s *serviceState, servers []instance.Status, spec *routing.StageServer, now time.Time) {
	changed := s.contention.update(&s.queue, s.servedRate(servers, spec, now), spec, now)
	s.queue.overloaded = s.contention.overloaded
	if !changed {
		return
	}
	g.metrics.setOverloaded(s.name, s.queue.overloaded)
	g.config.Logger.Info("stage order changed", "service", s.name, "overloaded", s.queue.overloaded,
		"pieces", s.queue.totalPieces(), "rate", int(s.contention.rate))
}

// NoteRefused counts the pieces that a host has refused on arrival of their requests, by class.
func (g *Gatherer) NoteRefused(service string, pieces []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return
	}
	for class, n := range pieces {
		if class < maxClasses && n > 0 && n <= maxReportedPieces {
			s.contention.refused[class].add(n)
		}
	}
}

// maxReportedPieces bounds what one report of refused pieces counts for.
const maxReportedPieces = 100_000

// refuseArrival reports whether a group that arrives is refused. A group is not refused for
// its objective while the service has room. The caller holds mu.
func (g *Gatherer) refuseArrival(s *serviceState, w *workItem, spec *routing.StageServer, now time.Time) bool {
	reason := s.refusalReason(w, spec, s.queue.ahead(w, now, spec.FullBatchTime()), s.queue.largestResult(), now)
	if reason == "" || now.Add(spec.CallTime).Before(w.deadline) && g.hasRoom(s, spec, now) {
		return false
	}
	s.countRefused(w, reason)
	return true
}

// hasRoom reports whether nothing is queued for a service and less than half of the calls that
// its servers take are running. The caller holds mu.
func (g *Gatherer) hasRoom(s *serviceState, spec *routing.StageServer, now time.Time) bool {
	if len(s.queue.waiting) > 0 {
		return false
	}
	running, places := 0, 0
	for _, server := range g.config.Servers.Service(s.name, now) {
		if !server.Ejected {
			places += spec.Concurrency
			running += s.running[server.ID]
		}
	}
	return 2*running < places
}

// countRefused counts a group that is refused.
func (s *serviceState) countRefused(w *workItem, reason string) {
	s.metrics.countRefused(s.name, w.Priority, reason, "queue")
}
