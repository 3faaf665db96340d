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
	// refusedShare: a service is overloaded, and the request is of the part of its class that
	// its servers can't do besides the more urgent classes.
	refusedShare = "share"
	// refusedMemory: the gatherer has no memory for the group.
	refusedMemory = "memory"
)

const (
	// guaranteedShare is the share of the requests of a class that is served, relative to the
	// share of all requests that are served, below which further requests of the class are
	// served like those of the most urgent class. It is above the quarter that each class and
	// workspace must get.
	guaranteedShare = 0.35
	// guaranteedDraw is the part of the requests that would be refused which then get the
	// guarantee, so that it does not go to the first ones only.
	guaranteedDraw = 0.5
	// lateTolerance is the part of its objective by which a request of class 1 may miss its
	// target. One of class n may miss it by that divided by the cube of n.
	lateTolerance = 1.0
)

// pathStage is a stage of a request with what is known about its service.
type pathStage struct {
	dependsOn []int
	empty     bool          // the stage has no pieces
	time      time.Duration // that the stage runs
	known     bool          // waits were reported recently
	waits     QueueWaits
}

// admission is a request that arrives, with the stages on its path.
type admission struct {
	class    int
	arrived  time.Time
	now      time.Time
	target   time.Time
	deadline time.Time
	stages   []pathStage
	order    []int   // of the stages, each after those that it depends on
	draw     float64 // position among the requests of the class, from 0 to 1
}

// refusedAt is the decision to refuse a request.
type refusedAt struct {
	stage  int           // the stage with the longest wait
	wait   time.Duration // how long the work takes that is queued there before the request
	reason string
}

// forecast is what is expected of a request on its path.
type forecast struct {
	end     time.Time     // of the last stage
	stage   int           // the stage with the longest wait at an overloaded service; -1 for none
	longest time.Duration // that wait
	fit     float64       // the least part of the class that an overloaded service can do
}

// forecast adds up the waits and times of the stages along the longest path.
func (a *admission) forecast() forecast {
	f := forecast{end: a.now, stage: -1, longest: -1, fit: 1}
	ends := make([]time.Time, len(a.stages))
	for _, i := range a.order {
		s := &a.stages[i]
		ends[i] = a.now
		for _, before := range s.dependsOn {
			ends[i] = later(ends[i], ends[before])
		}
		if s.empty {
			continue
		}
		wait := time.Duration(0)
		if s.known {
			wait = s.waits.after(a.class, ends[i].Sub(a.now))
		}
		if s.known && s.waits.Overloaded {
			f.fit = min(f.fit, s.waits.fit(a.class))
			if wait > f.longest {
				f.stage, f.longest = i, wait
			}
		}
		ends[i] = ends[i].Add(wait + s.time)
		f.end = later(f.end, ends[i])
	}
	return f
}

// decide refuses a request if one of its services is overloaded and the request would, over
// all of its stages, meet neither its objective nor its deadline, would miss its objective by
// far, or is of the part of its class that the servers can't do.
func (a *admission) decide() (refused refusedAt, refuse bool) {
	f := a.forecast()
	if f.stage < 0 {
		return refusedAt{}, false
	}
	refused = refusedAt{stage: f.stage, wait: f.longest}
	switch {
	case a.draw >= f.fit:
		refused.reason = refusedShare
	case !f.end.After(a.target):
		return refusedAt{}, false
	case f.end.After(a.deadline):
		refused.reason = refusedDeadline
	case missesByFar(f.end, a.target, lateToleranceOf(a.class, a.target.Sub(a.arrived))):
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
	return max(time.Duration(lateTolerance/float64(class*class*class)*float64(objective)), time.Millisecond)
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

// after returns the wait of a group of a class that can be in time and arrives after a time.
// Waits that another host reports are kept within 0 and maxWait.
func (q QueueWaits) after(class int, arrives time.Duration) time.Duration {
	of := func(waits []time.Duration, otherwise time.Duration) time.Duration {
		if len(waits) > 0 {
			otherwise = waits[min(class, len(waits)-1)]
		}
		return min(max(otherwise, 0), maxWait)
	}
	wait := of(q.ByClass, q.InTime)
	part := min(float64(arrives)/float64(waitHorizon), 1)
	return wait + time.Duration(part*float64(of(q.LaterByClass, wait)-wait))
}

// fit returns the part of the requests of a class that the servers can do.
func (q QueueWaits) fit(class int) float64 {
	if len(q.FitByClass) == 0 {
		return 1
	}
	return q.FitByClass[min(class, len(q.FitByClass)-1)]
}

const (
	// shareMemory is the time constant with which requests are forgotten, less than half of a
	// burst: what was served before it would hide for too long that a class gets little.
	shareMemory = 2500 * time.Millisecond
	// sharePrior is how many served requests of each class are assumed at first. With less
	// than one, a host with few requests of a class grants the guarantee after two refusals.
	sharePrior = 0.5
)

// shareTracker follows which share of the requests of this host is served, and selects the
// requests of the guaranteed share among those that would be refused. The selection depends
// neither on the workspace nor on the size of a request, so all get the same share of it.
type shareTracker struct {
	classes [maxClasses]struct {
		arrived, served float64 // over about shareMemory
	}
	updated time.Time
	offset  float64 // start of the sequences, from 0 to 1; differs from host to host
	drawn   [2 * maxClasses]uint64
}

// record counts a request that was served or refused.
func (t *shareTracker) record(class int, served bool, now time.Time) {
	t.decay(now)
	t.classes[class].arrived++
	if served {
		t.classes[class].served++
	}
}

func (t *shareTracker) decay(now time.Time) {
	if elapsed := now.Sub(t.updated); !t.updated.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
		for i := range t.classes {
			t.classes[i].arrived *= factor
			t.classes[i].served *= factor
		}
	}
	t.updated = now
}

// draw reports whether a request of a class that would be refused is of the guaranteed share.
func (t *shareTracker) draw(class int, now time.Time) bool {
	t.decay(now)
	arrived, served := sharePrior, sharePrior
	for _, c := range t.classes {
		arrived += c.arrived
		served += c.served
	}
	c := &t.classes[class]
	if (c.served+sharePrior)/(c.arrived+sharePrior) >= guaranteedShare*served/arrived {
		return false
	}
	return t.next(maxClasses+class) < guaranteedDraw
}

// next returns the next number, from 0 to 1, of a sequence. The fractional parts of the
// multiples of the golden ratio are spread evenly, also in each regular part of the sequence.
func (t *shareTracker) next(sequence int) float64 {
	t.drawn[sequence]++
	_, x := math.Modf(t.offset + float64(t.drawn[sequence])*(math.Phi-1))
	return x
}
