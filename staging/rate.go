package staging

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// busyTimeConstant is the time constant with which the estimate follows the
	// measured rate while pieces are queued.
	busyTimeConstant = 1500 * time.Millisecond
	// idleTimeConstant is the time constant with which the estimate returns to
	// the nominal capacity of the servers while nothing is queued.
	idleTimeConstant = 3 * time.Second
	// minRate, in units per second, keeps estimated waits finite.
	minRate = 1
)

// rateEstimator estimates the rate at which a service completes work. It starts
// from the nominal capacity of the servers and, while work is queued, follows
// the measured rate, which also reflects failures.
type rateEstimator struct {
	rate     float64 // units per second
	finished float64 // units since the last update
	updated  time.Time
	wasBusy  bool // work was queued at the last update
}

// add counts completed work.
func (e *rateEstimator) add(units float64) { e.finished += units }

// update adjusts the rate by the work completed since the last update. busy
// means that work is queued.
func (e *rateEstimator) update(now time.Time, busy bool, capacity float64) {
	elapsed := now.Sub(e.updated)
	if elapsed <= 0 && !e.updated.IsZero() {
		return // no time has passed, so no rate can be measured: 0/0 would remain in the estimate
	}
	finished, wasBusy := e.finished, e.wasBusy
	e.finished, e.updated, e.wasBusy = 0, now, busy
	switch {
	case e.rate == 0 || elapsed > busyTimeConstant:
		e.rate = capacity
	case busy && wasBusy:
		measured := finished / elapsed.Seconds()
		e.rate += (1 - math.Exp(-elapsed.Seconds()/busyTimeConstant.Seconds())) * (measured - e.rate)
	default:
		e.rate += (1 - math.Exp(-elapsed.Seconds()/idleTimeConstant.Seconds())) * (capacity - e.rate)
	}
}

// timeFor estimates how long an amount of work takes. It returns 0 while the
// rate is unknown.
func (e *rateEstimator) timeFor(units float64) time.Duration {
	if units == 0 || e.rate == 0 {
		return 0
	}
	return min(time.Duration(units/max(e.rate, minRate)*float64(time.Second)), maxWait)
}

// lateTimeFor estimates how long an amount of work takes that is done only when no work that
// arrives can still be in time.
func (e *rateEstimator) lateTimeFor(units float64, arriving arrivalRate) time.Duration {
	left := rateEstimator{rate: max(e.rate-arriving.rate, minLateShare*e.rate)}
	return left.timeFor(units)
}

// minLateShare is the least share of the rate that late work is expected to get. Arrivals are
// not steady.
const minLateShare = 0.05

// arrivalRate measures how much work arrives that can still be in time.
type arrivalRate struct {
	rate    float64 // units per second
	arrived float64 // units since the last update
	updated time.Time
}

func (a *arrivalRate) add(units float64) { a.arrived += units }

// update adjusts the rate by the work that has arrived since the last update.
func (a *arrivalRate) update(now time.Time) {
	elapsed := now.Sub(a.updated).Seconds()
	if !a.updated.IsZero() && elapsed <= 0 {
		return // the arrivals count in the next update
	}
	if !a.updated.IsZero() {
		a.rate += (1 - math.Exp(-elapsed/busyTimeConstant.Seconds())) * (a.arrived/elapsed - a.rate)
	}
	a.arrived, a.updated = 0, now
}

// maxWait caps estimates. It is longer than any caller waits.
const maxWait = time.Minute

// capacity returns how many pieces per second the servers can process in full
// calls.
func (s *serviceState) capacity(servers []instance.Status, spec *routing.StageServer) float64 {
	batchTime := spec.FullBatchTime()
	perServer := float64(spec.Concurrency*spec.BatchSize) / batchTime.Seconds()
	total := 0.0
	for _, server := range servers {
		if !server.Ejected {
			total += perServer / s.slowdownOf(server.ID)
		}
	}
	return total
}

// byteCapacity returns how many bytes of results per second the servers have
// memory for when results are held for a time.
func (s *serviceState) byteCapacity(servers []instance.Status, spec *routing.StageServer, held time.Duration) float64 {
	total := 0.0
	for _, server := range servers {
		if !server.Ejected {
			total += float64(spec.UsableResultMemory())
		}
	}
	return total / (spec.CallTime + held).Seconds()
}

// canMeetDeadline reports whether a new group can finish before its deadline,
// given the groups that are served before it.
func (s *serviceState) canMeetDeadline(w *workItem, spec *routing.StageServer, now time.Time) bool {
	return s.refusalReason(w, spec, s.queue.ahead(w, now, spec.FullBatchTime()), s.queue.largestResult(), now) != refusedDeadline
}

// refusalReason returns why a group is refused when the given work is served before it, "" if
// it is not: it would miss its deadline, or the service is overloaded and a request for which
// no work has been done would miss its objective by far. largest is the size of the largest
// queued result.
func (s *serviceState) refusalReason(w *workItem, spec *routing.StageServer, ahead backlog, largest int64, now time.Time) string {
	end := now.Add(s.estimateDuration(w, spec, ahead, largest, now))
	switch {
	case end.After(w.deadline):
		return refusedDeadline
	case s.queue.overloaded && !w.begun() && missesByFar(end, w.target, w.tolerance()):
		return refusedObjective
	}
	return ""
}

// estimateDuration estimates how long a group takes when the given work is served before it.
// A late group also waits for the groups that arrive until then and can be in time.
func (s *serviceState) estimateDuration(w *workItem, spec *routing.StageServer, ahead backlog, largest int64, now time.Time) time.Duration {
	inTime := w.canMeetTarget(now, spec.FullBatchTime())
	if !inTime {
		ahead.late.add(w)
	}
	wait := s.pieceWait(ahead)
	if s.queue.overloaded {
		wait = s.pieceRate.lateTimeFor(ahead.inTime.pieces+ahead.late.pieces, s.contention.arrivalsBefore(w.firstClassBehind(inTime)))
	}
	if w.ResultBytes > 0 && w.ResultBytes >= largest/smallResultDivisor {
		wait = max(wait, s.byteWait(ahead))
	}
	return wait + spec.CallTime + time.Duration(w.Pieces)*spec.PieceTime
}

// pieceWait estimates how long the servers need for the pieces of a backlog.
func (s *serviceState) pieceWait(b backlog) time.Duration {
	return s.pieceRate.timeFor(b.inTime.pieces) + s.pieceRate.lateTimeFor(b.late.pieces, s.pieceArrivals)
}

// byteWait estimates how long it takes until there is memory for the results of a backlog.
func (s *serviceState) byteWait(b backlog) time.Duration {
	return s.byteRate.timeFor(b.inTime.bytes) + s.byteRate.lateTimeFor(b.late.bytes, s.byteArrivals)
}

// smallResultDivisor: results smaller than 1/smallResultDivisor of the largest
// queued ones fit into the memory that larger ones leave free, so they do not
// wait for memory.
const smallResultDivisor = 8

// refuseLate fails the groups that can no longer meet their deadlines, or that
// miss their objectives by far under overload, so that their callers are told
// at once. Groups with pieces on a server stay.
func (s *serviceState) refuseLate(now time.Time, spec *routing.StageServer) (callbacks []func()) {
	s.queue.sort(now, spec.FullBatchTime())
	var ahead backlog
	largest := s.queue.largestResult()
	kept := s.queue.waiting[:0]
	for _, w := range s.queue.waiting {
		if w.unfinished == len(w.waiting) {
			if reason := s.refusalReason(w, spec, ahead, largest, now); reason != "" {
				s.countRefused(w, reason)
				callbacks = append(callbacks, w.end(call.PieceOverload))
				continue
			}
		}
		ahead.add(w, now, spec.FullBatchTime())
		kept = append(kept, w)
	}
	s.queue.waiting = kept
	return callbacks
}
