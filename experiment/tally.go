package experiment

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/policy"
)

const (
	// recoveredAttainment is the attainment from which a burst counts as over.
	recoveredAttainment = 0.95
	// binWidth is the width of the bins in which attainment is counted over time,
	// to find the recovery after a burst.
	binWidth = 500 * time.Millisecond
)

// tally sums up the requests of a cell that arrived after the warm-up.
type tally struct {
	classes   map[string]*ClassResult
	latencies map[string][]time.Duration
	// useful is the expected engine time of all answers in time that ended during
	// the measurement.
	useful time.Duration
	// work is the upstreams' time on the successful attempts of requests in time,
	// and wasted their time on everything else.
	work, wasted time.Duration
	// demanded and received are the expected engine times of each workspace's
	// requests: of all of them and of those in time.
	demanded, received map[string]time.Duration
	bins               map[int]*ClassResult
	ranTwice           int
}

func newTally() *tally {
	return &tally{
		classes:   make(map[string]*ClassResult),
		latencies: make(map[string][]time.Duration),
		demanded:  make(map[string]time.Duration),
		received:  make(map[string]time.Duration),
		bins:      make(map[int]*ClassResult),
	}
}

func (t *tally) addRequest(c *cellRun, p *plannedRequest, r result) {
	class := t.classes[p.flow.Class]
	if class == nil {
		class = &ClassResult{}
		t.classes[p.flow.Class] = class
	}
	bin := int((p.at - c.Warmup) / binWidth)
	if t.bins[bin] == nil {
		t.bins[bin] = &ClassResult{}
	}
	work := c.deployment.engineTime(p.flow)
	t.demanded[p.workspace] += work
	t.work += r.work
	t.wasted += r.wasted
	if r.ranTwice {
		t.ranTwice++
	}
	for _, to := range []*ClassResult{class, t.bins[bin]} {
		to.count(r)
	}
	if r.outcome == inTime {
		t.latencies[p.flow.Class] = append(t.latencies[p.flow.Class], r.latency)
		t.received[p.workspace] += work
	}
}

// addUsefulWork counts the work of an answer in time that ended during the
// measurement, whenever the request arrived.
func (t *tally) addUsefulWork(c *cellRun, p *plannedRequest, r result) {
	ended := p.at + r.latency
	if r.outcome == inTime && ended >= c.Warmup && ended < c.Warmup+c.Measure {
		t.useful += c.deployment.engineTime(p.flow)
	}
}

func (r *ClassResult) count(ended result) {
	r.Offered++
	switch ended.outcome {
	case inTime:
		r.InTime++
	case refusedEarly:
		r.RefusedEarly++
	case missed:
		r.Missed++
	}
}

func (t *tally) result(c *cellRun) *Result {
	capacity := c.deployment.engineSlots() * c.Measure.Seconds()
	r := &Result{
		Cell:     c.Cell,
		Classes:  t.classes,
		Goodput:  t.useful.Seconds() / capacity,
		Fairness: t.fairness(capacity),
		Wasted:   t.wasted.Seconds() / max((t.work+t.wasted).Seconds(), 1e-9),
		RanTwice: t.ranTwice,
		Stages:   make(map[string]policy.Cost),
	}
	for name, times := range t.latencies {
		slices.Sort(times)
		t.classes[name].P50 = times[len(times)/2]
		t.classes[name].P99 = times[len(times)*99/100]
	}
	if c.Fault == FaultBurst {
		r.Recovery = t.recovery(c.Measure)
	}
	return r
}

func (t *tally) fairness(capacity float64) float64 {
	names := make([]string, 0, len(t.demanded))
	for name := range t.demanded {
		names = append(names, name)
	}
	slices.Sort(names)
	demands := make([]float64, len(names))
	for i, name := range names {
		demands[i] = t.demanded[name].Seconds()
	}
	fair := maxMinShares(capacity, demands)
	shares := make([]float64, len(names))
	for i, name := range names {
		shares[i] = min(t.received[name].Seconds()/fair[i], 1)
	}
	return jainIndex(shares)
}

// recovery returns the time from the burst's end to the end of the last bin whose
// attainment is below recoveredAttainment.
func (t *tally) recovery(measure time.Duration) time.Duration {
	end := burstStart + burstLength
	recoveredAt := end
	for bin := int(end / binWidth); bin < int(measure/binWidth); bin++ {
		if b := t.bins[bin]; b != nil && b.Attainment() < recoveredAttainment {
			recoveredAt = time.Duration(bin+1) * binWidth
		}
	}
	return recoveredAt - end
}
