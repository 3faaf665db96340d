package staging

import (
	"math"
	"time"
)

// Reasons for which requests are refused, as they are counted.
const (
	// refusedDeadline: the request could not meet its deadline.
	refusedDeadline = "deadline"
	// refusedObjective: a service is overloaded, and the request would miss its objective by
	// far.
	refusedObjective = "objective"
)

const (
	// guaranteedShare is the share of requests that are served like those of the most urgent
	// class, relative to the share of all requests that are served. It is somewhat above the
	// quarter that each class and workspace must get.
	guaranteedShare = 0.3
	// lateTolerance is the part of its objective by which a request of class 1 may miss its
	// target; one of class n may miss it by an n-th of that.
	lateTolerance = 0.5
)

// pathStage is a stage of a request with what is known about its service.
type pathStage struct {
	dependsOn []int
	empty     bool          // the stage has no pieces
	time      time.Duration // without queueing for more than a call
	known     bool          // waits were reported recently
	waits     QueueWaits
}

// admission is a request that arrives, with the stages on its path.
type admission struct {
	class      int
	guaranteed bool
	arrived    time.Time
	now        time.Time
	target     time.Time
	deadline   time.Time
	stages     []pathStage
}

// refusedAt is the decision to refuse a request.
type refusedAt struct {
	stage  int           // the stage with the longest wait
	wait   time.Duration // how long the work takes that is queued there before the request
	reason string
}

// decide refuses a request if one of its services is overloaded and the request would, over
// all of its stages, meet neither its objective nor its deadline, or would miss its objective
// by far. A request of the guaranteed share competes with the most urgent class.
func (a *admission) decide() (refused refusedAt, refuse bool) {
	class := a.class
	if a.guaranteed {
		class = 0
	}
	refused.stage = -1
	ends := make([]time.Time, len(a.stages))
	last, longest := a.now, time.Duration(-1)
	for i, s := range a.stages {
		ends[i] = a.now
		for _, before := range s.dependsOn {
			ends[i] = later(ends[i], ends[before])
		}
		if s.empty {
			continue
		}
		wait := time.Duration(0)
		if s.known {
			wait = s.waits.of(class)
		}
		if s.known && s.waits.Overloaded && wait > longest {
			refused.stage, longest = i, wait
		}
		ends[i] = ends[i].Add(wait + s.time)
		last = later(last, ends[i])
	}
	if refused.stage < 0 || !last.After(a.target) {
		return refusedAt{}, false
	}
	refused.wait = longest
	switch {
	case last.After(a.deadline):
		refused.reason = refusedDeadline
	case missesByFar(last, a.target, lateToleranceOf(class, a.target.Sub(a.arrived))):
		refused.reason = refusedObjective
	default:
		return refusedAt{}, false
	}
	return refused, true
}

// lateToleranceOf returns by how much a request of a class may miss its target under overload,
// 0 for the most urgent class, which is not refused for that.
func lateToleranceOf(class int, objective time.Duration) time.Duration {
	if class == 0 {
		return 0
	}
	return max(time.Duration(lateTolerance/float64(class)*float64(objective)), time.Millisecond)
}

// missesByFar reports whether a request that ends at a time misses its target by so much that
// the capacity is better used for others.
func missesByFar(end, target time.Time, tolerance time.Duration) bool {
	return tolerance > 0 && end.After(target.Add(tolerance))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// of returns the wait of a group of a class that can be in time.
func (q QueueWaits) of(class int) time.Duration {
	if len(q.ByClass) == 0 {
		return q.InTime
	}
	return min(max(q.ByClass[min(class, len(q.ByClass)-1)], 0), maxWait)
}

// shareTracker follows which share of the requests of this host has been served, and selects
// the requests of the guaranteed share. The selection depends neither on the workspace nor on
// the size of a request, so all get the same share of it.
type shareTracker struct {
	arrived, served float64 // over about shareMemory
	updated         time.Time
	offset          float64 // start of the sequence, from 0 to 1; differs from host to host
	drawn           [maxClasses]uint64
}

const (
	// shareMemory is the time constant with which requests are forgotten: about two bursts.
	shareMemory = 10 * time.Second
	// sharePrior is how many served requests are assumed at first.
	sharePrior = 2
)

// record counts a request that was served or refused.
func (t *shareTracker) record(served bool, now time.Time) {
	t.decay(now)
	t.arrived++
	if served {
		t.served++
	}
}

func (t *shareTracker) decay(now time.Time) {
	if elapsed := now.Sub(t.updated); !t.updated.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
		t.arrived *= factor
		t.served *= factor
	}
	t.updated = now
}

// draw reports whether a request of a class is of the guaranteed share. The fractional parts
// of the multiples of the golden ratio are spread evenly, also in each regular part of the
// sequence.
func (t *shareTracker) draw(class int, now time.Time) bool {
	t.decay(now)
	t.drawn[class]++
	_, x := math.Modf(t.offset + float64(t.drawn[class])*(math.Phi-1))
	return x < guaranteedShare*(t.served+sharePrior)/(t.arrived+sharePrior)
}
