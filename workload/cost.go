package workload

import (
	"math"
	"math/bits"
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// Shape describes the size of a request.
type Shape struct {
	PromptTokens int // those that are not cached
	OutputTokens int
	Pieces       int
	BodyBytes    int
}

// Class is the requests whose cost is estimated together.
type Class struct {
	Route   string
	Service string
	size    [4]uint8
}

// ClassOf returns the class of a request. Sizes are divided into ranges, each of which
// reaches to four times its start.
func ClassOf(route, service string, shape Shape) Class {
	c := Class{Route: route, Service: service}
	for i, n := range [...]int{shape.PromptTokens, shape.OutputTokens, shape.Pieces, shape.BodyBytes} {
		c.size[i] = uint8((bits.Len(uint(max(n, 0))) + 1) / 2)
	}
	return c
}

// whole returns the class of all requests to the service. Its cost stands in for that of
// a class that is not known yet.
func (c Class) whole() Class { return Class{Service: c.Service} }

const (
	// costSmoothing is the weight of the newest request in the mean cost of a class.
	costSmoothing = 0.1
	// costHalfLife is how long after its last request the cost of a class counts half.
	// After several, that of the whole service is more accurate.
	costHalfLife = time.Minute
	// minSamples is how many requests a class needs before its cost is used.
	minSamples = 3
	// maxClasses bounds the classes that are remembered.
	maxClasses = 2048
)

// cost is what the requests of a class have cost.
type cost struct {
	mean    float64 // in seconds at pace 1 without queueing
	spread  float64 // mean deviation from the mean
	samples int
	at      time.Time // of the last request
}

// Cost is an estimate of the time that a request takes at pace 1 without queueing.
type Cost struct {
	Mean   time.Duration
	Spread time.Duration // mean deviation from Mean
}

// Cost estimates the cost of a request. known is false if no similar one is known.
func (t *Table) Cost(class Class, now time.Time) (estimate Cost, known bool) {
	if t == nil {
		return Cost{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cost(class, now)
}

// cost is Cost for a caller that holds mu.
func (t *Table) cost(class Class, now time.Time) (Cost, bool) {
	own, all := t.costs[class], t.costs[class.whole()]
	if own == nil || own.samples < minSamples {
		own = all
	}
	if own == nil {
		return Cost{}, false
	}
	weight := halved(now.Sub(own.at), costHalfLife)
	mean := all.mean + weight*(own.mean-all.mean)
	spread := all.spread + weight*(own.spread-all.spread)
	return Cost{Mean: seconds(mean), Spread: seconds(spread)}, true
}

// Observe records how long an upstream took for a request. The time is divided by the
// upstream's pace, and by its queue as far as it has reported one.
func (t *Table) Observe(class Class, e instance.Entry, took time.Duration, now time.Time) {
	if t == nil || took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(e, now)
	s := u.state(now)
	queueing := 1.0
	if u.load.Slots > 0 {
		queueing += s.Weight * float64(u.load.Waiting) / float64(u.load.Slots)
	}
	took = time.Duration(float64(took) / (s.Pace * queueing))
	if expected, known := t.cost(class, now); known && expected.Mean > 0 {
		t.metrics.observeError(class.Service, float64(took)/(float64(expected.Mean)*s.Slowness))
		u.observeSlowness(min(float64(took)/float64(expected.Mean), maxSlowness), s.Slowness, now)
	}
	t.learn(class.whole(), took.Seconds(), now)
	if class != class.whole() {
		t.learn(class, took.Seconds(), now)
	}
}

// ObserveError records how long a call took relative to what was expected, for the
// metrics.
func (t *Table) ObserveError(service string, ratio float64) {
	if t != nil {
		t.metrics.observeError(service, ratio)
	}
}

func (u *upstream) observeSlowness(measured, before float64, now time.Time) {
	u.slowness = before + slownessSmoothing*(measured-before)
	u.measuredAt = now
}

// learn adds a request to the cost of a class. The caller holds mu.
func (t *Table) learn(class Class, sample float64, now time.Time) {
	c := t.costs[class]
	if c == nil {
		if len(t.costs) >= maxClasses {
			t.dropStalestClass()
		}
		c = &cost{}
		t.costs[class] = c
	}
	c.samples++
	weight := max(costSmoothing, 1/float64(c.samples))
	if !c.at.IsZero() {
		// After a long time without requests, the old mean says little.
		weight = max(weight, 1-halved(now.Sub(c.at), costHalfLife))
		c.spread += weight * (math.Abs(sample-c.mean) - c.spread)
	}
	c.mean += weight * (sample - c.mean)
	c.at = now
}

// dropStalestClass forgets the class whose last request is the oldest, but none of a
// whole service. The caller holds mu.
func (t *Table) dropStalestClass() {
	var stalest Class
	var oldest time.Time
	for class, c := range t.costs {
		if class != class.whole() && (oldest.IsZero() || c.at.Before(oldest)) {
			stalest, oldest = class, c.at
		}
	}
	delete(t.costs, stalest)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
