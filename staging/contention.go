package staging

import (
	"cmp"
	"slices"
	"time"

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
	// arrivals is the work that arrives in time, in pieces, by class.
	arrivals [maxClasses]arrivalRate
}

// update decides again. rate is in pieces per second. It returns true if the decision
// changed.
func (c *contention) update(q *queue, rate float64, spec *routing.StageServer, now time.Time) (changed bool) {
	for class := range c.arrivals {
		c.arrivals[class].update(now)
	}
	if exceedsRate(q.waiting, rate, spec, now) {
		c.last = now
	}
	before := c.overloaded
	c.overloaded = !c.last.IsZero() && now.Sub(c.last) <= overloadHold
	return c.overloaded != before
}

// moreUrgent returns the rate at which work of more urgent classes arrives.
func (c *contention) moreUrgent(class int) (sum arrivalRate) {
	for i := range min(class, maxClasses) {
		sum.rate += c.arrivals[i].rate
	}
	return sum
}

// exceedsRate reports whether some groups that can still be in time would be late even if
// groups were served in the order of their targets. Work that fits into one call never
// exceeds the rate.
func exceedsRate(waiting []*workItem, rate float64, spec *routing.StageServer, now time.Time) bool {
	batchTime := spec.FullBatchTime()
	var inTime []*workItem
	pieces := 0
	for _, w := range waiting {
		if !w.ended && !now.Add(batchTime).After(w.target) {
			inTime = append(inTime, w)
			pieces += len(w.waiting)
		}
	}
	if rate <= 0 || pieces <= spec.BatchSize {
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

// rank returns the position of a group under overload, 0 for the first. A group that can no
// longer meet its target counts as one class less urgent: in the deployments with classes, a
// late answer is worth less than one in time of the next class, and at least as much as one
// in time of the class after that.
func (w *workItem) rank(inTime bool) int {
	if inTime {
		return w.class()
	}
	return w.class() + 1
}

// begun reports whether earlier work for the group's request would be thrown away if the
// group were not served.
func (w *workItem) begun() bool { return len(w.Inputs) > 0 || len(w.waiting) < w.Pieces }

// compareOverloaded orders groups under overload: by rank, those in time before the late
// ones, those whose request has begun before the others, and then by target or deadline.
func compareOverloaded(a, b *workItem, now time.Time, batchTime time.Duration) int {
	aInTime, bInTime := a.canMeetTarget(now, batchTime), b.canMeetTarget(now, batchTime)
	first := cmp.Or(cmp.Compare(a.rank(aInTime), b.rank(bInTime)), trueFirst(aInTime, bInTime), trueFirst(a.begun(), b.begun()))
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

// classWaits estimates how long new groups that can be in time are queued, by class. Groups of
// more urgent classes that arrive meanwhile go ahead.
func (s *serviceState) classWaits(now time.Time, batchTime time.Duration) []time.Duration {
	var byRank [maxClasses + 1]amount
	for _, w := range s.queue.waiting {
		byRank[w.rank(w.canMeetTarget(now, batchTime))].add(w)
	}
	waits := make([]time.Duration, maxClasses)
	var ahead amount
	for class := range waits {
		ahead.pieces += byRank[class].pieces
		ahead.bytes += byRank[class].bytes
		waits[class] = max(s.pieceRate.lateTimeFor(ahead.pieces, s.contention.moreUrgent(class)), s.byteRate.timeFor(ahead.bytes))
	}
	return waits
}

// updateContention decides whether a service is overloaded. The caller holds mu.
func (g *Gatherer) updateContention(s *serviceState, spec *routing.StageServer, now time.Time) {
	changed := s.contention.update(&s.queue, s.pieceRate.rate, spec, now)
	s.queue.overloaded = s.contention.overloaded
	if !changed {
		return
	}
	g.metrics.setOverloaded(s.name, s.queue.overloaded)
	g.config.Logger.Info("stage order changed", "service", s.name, "overloaded", s.queue.overloaded,
		"pieces", s.queue.totalPieces(), "rate", int(s.pieceRate.rate))
}

// refuseArrival reports whether a group that arrives is refused. A group is not refused for
// its objective while the service has room. The caller holds mu.
func (g *Gatherer) refuseArrival(s *serviceState, w *workItem, spec *routing.StageServer, now time.Time) bool {
	reason := s.refusalReason(w, spec, s.queue.ahead(w, now, spec.FullBatchTime()), now)
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
