package balance

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/workload"
)

const (
	// choiceSharpness is the power of the expected time to which an upstream is chosen
	// less often. Hosts that share a view spread their requests over the upstreams
	// instead of all taking the best; at 3, one that takes twice as long gets an eighth.
	choiceSharpness = 3
	// remoteTimeFactor multiplies the expected time of an upstream in another data centre.
	// It is larger than remoteFactor because the choice is random: of two equal upstreams,
	// the remote one gets a fifth of the requests.
	remoteTimeFactor = 1.6
	// unknownPenalty is the share by which the expected time of an upstream that has not
	// reported lately is raised, so that new and returning ones get little at first.
	unknownPenalty = 0.6
)

// Work says what is known about the work at upstreams and of the request.
type Work struct {
	// Table is nil if it is not to be used.
	Table *workload.Table
	Class workload.Class
	Now   time.Time
}

// workEstimate is the expected time of a request at an upstream, in its parts.
type workEstimate struct {
	load     float64 // requests running and waiting for each slot
	cost     time.Duration
	pace     float64
	slowness float64
	weight   float64 // of what the upstream last reported
	errors   float64 // error rate
	remote   bool
}

// expected returns the expected time in seconds.
func (e workEstimate) expected() float64 {
	expected := (e.load + 1) * e.cost.Seconds() * e.pace * e.slowness * (1 + unknownPenalty*(1-e.weight))
	expected *= 1 + errorFactor*e.errors*e.errors
	if e.remote {
		expected *= remoteTimeFactor
	}
	return expected
}

// estimateByWork returns the estimate for each candidate: the expected time is that of the
// work still to do there and of the request. known is false if no candidate has reported its
// load. Each candidate is chosen in inverse proportion to a power of its expected time.
func (n Need) estimateByWork(candidates []instance.Status) (estimate func(instance.Status) workEstimate, known bool) {
	states := make(map[instance.ID]workload.State, len(candidates))
	weights, loads := 0.0, 0.0
	for _, c := range candidates {
		s := n.Work.Table.State(c.Process(), n.Work.Now)
		states[c.ID] = s
		weights += s.Weight
		loads += s.Weight * float64(s.Outstanding) / float64(slots(c, s))
	}
	if weights == 0 {
		return nil, false
	}
	mean := loads / weights
	cost := lowestLatency(candidates)
	if known, is := n.Work.Table.Cost(n.Work.Class, n.Work.Now); is {
		cost = known.Mean
	}
	return func(c instance.Status) workEstimate {
		s := states[c.ID]
		perSlot := 1 / float64(slots(c, s))
		load := mean + s.Weight*(float64(s.Outstanding)*perSlot-mean)
		return workEstimate{
			load: max(load, float64(c.InFlight)*perSlot), cost: cost, pace: s.Pace, slowness: s.Slowness,
			weight: s.Weight, errors: c.ErrorRate, remote: c.DataCentre != n.PreferredDataCentre,
		}
	}, true
}

// slots returns the number of slots of an upstream, at least 1.
func slots(c instance.Status, s workload.State) int {
	if s.Slots > 0 {
		return s.Slots
	}
	return max(c.Slots, 1)
}
