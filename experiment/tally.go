package experiment

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/policy"
)

const (
	// recovered is the attainment at which a burst counts as over.
	recovered = 0.95
	// bin is the width of the time series that recovery is read from.
	bin = 500 * time.Millisecond
)

// tally adds up the requests of a cell that arrived after the warm-up.
type tally struct {
	classes map[string]*ClassResult
	times   map[string][]time.Duration
	// useful is the expected time on engines of the answers that ended in
	// time while the cell measured.
	useful time.Duration
	// work and wasted are the times that upstreams spent on measured requests.
	work, wasted time.Duration
	// asked and got are the engine times that workspaces asked for and got.
	asked, got map[string]time.Duration
	bins       map[int]*ClassResult
	doubled    int
}

func newTally() *tally {
	return &tally{
		classes: make(map[string]*ClassResult),
		times:   make(map[string][]time.Duration),
		asked:   make(map[string]time.Duration),
		got:     make(map[string]time.Duration),
		bins:    make(map[int]*ClassResult),
	}
}

func (t *tally) add(c *cellRun, p *plan, r result) {
	class := t.classes[p.flow.Class]
	if class == nil {
		class = &ClassResult{}
		t.classes[p.flow.Class] = class
	}
	slot := int((p.at - c.Warmup) / bin)
	if t.bins[slot] == nil {
		t.bins[slot] = &ClassResult{}
	}
	work := c.deployment.engineTime(p.flow)
	t.asked[p.workspace] += work
	t.work += r.work
	t.wasted += r.wasted
	if r.doubled {
		t.doubled++
	}
	for _, to := range []*ClassResult{class, t.bins[slot]} {
		to.count(r)
	}
	if r.ending == inTime {
		t.times[p.flow.Class] = append(t.times[p.flow.Class], r.took)
		t.got[p.workspace] += work
	}
}

// finish counts the work of an answer in time that ended while the cell
// measured, whenever it arrived.
func (t *tally) finish(c *cellRun, p *plan, r result) {
	ended := p.at + r.took
	if r.ending == inTime && ended >= c.Warmup && ended < c.Warmup+c.Measure {
		t.useful += c.deployment.engineTime(p.flow)
	}
}

func (r *ClassResult) count(one result) {
	r.Offered++
	switch one.ending {
	case inTime:
		r.InTime++
	case refusedEarly:
		r.Early++
	case missed:
		r.Late++
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
		Doubled:  t.doubled,
		Stages:   make(map[string]policy.Cost),
	}
	for name, times := range t.times {
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
	names := make([]string, 0, len(t.asked))
	for name := range t.asked {
		names = append(names, name)
	}
	slices.Sort(names)
	demands := make([]float64, len(names))
	for i, name := range names {
		demands[i] = t.asked[name].Seconds()
	}
	fair := maxMin(capacity, demands)
	shares := make([]float64, len(names))
	for i, name := range names {
		shares[i] = min(t.got[name].Seconds()/fair[i], 1)
	}
	return jain(shares)
}

// recovery is the time from the burst's end to the end of the last bin under
// the wanted attainment.
func (t *tally) recovery(measure time.Duration) time.Duration {
	end := burstStart + burstLength
	last := end
	for slot := int(end / bin); slot < int(measure/bin); slot++ {
		if b := t.bins[slot]; b != nil && b.Attainment() < recovered {
			last = time.Duration(slot+1) * bin
		}
	}
	return last - end
}
