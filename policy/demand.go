package policy

import (
	"math"
	"time"
)

// demandHalfLife is how fast the estimate of demand follows a change.
const demandHalfLife = 2 * time.Second

// demand learns how many slots the work of each priority fills.
type demand struct {
	byPriority map[int]*arrivalRate
	last       time.Time
}

// arrivalRate is time on an upstream that arrives per second.
type arrivalRate struct {
	pending time.Duration
	slots   float64
	// started and served are the same for the work that got a slot.
	started time.Duration
	served  float64
}

func newDemand() *demand { return &demand{byPriority: make(map[int]*arrivalRate)} }

func (d *demand) of(priority int) *arrivalRate {
	r := d.byPriority[priority]
	if r == nil {
		r = &arrivalRate{}
		d.byPriority[priority] = r
	}
	return r
}

func (d *demand) arrive(priority int, cost time.Duration) { d.of(priority).pending += cost }

func (d *demand) serve(priority int, cost time.Duration) { d.of(priority).started += cost }

// servedUpTo returns the slots that the priority and those under it were
// given.
func (d *demand) servedUpTo(priority int) float64 {
	var slots float64
	for other, r := range d.byPriority {
		if other <= priority {
			slots += r.served
		}
	}
	return slots
}

func (d *demand) tick(now time.Time) {
	elapsed := now.Sub(d.last)
	if d.last.IsZero() || elapsed <= 0 {
		d.last = now
		return
	}
	d.last = now
	keep := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	for _, r := range d.byPriority {
		current := float64(r.pending) / float64(elapsed)
		r.slots = keep*r.slots + (1-keep)*current
		r.pending = 0
		r.served = keep*r.served + (1-keep)*float64(r.started)/float64(elapsed)
		r.started = 0
	}
}

// above returns the slots that priorities over the given one fill.
func (d *demand) above(priority int) float64 {
	var slots float64
	for other, r := range d.byPriority {
		if other > priority {
			slots += r.slots
		}
	}
	return slots
}

// lowest returns the least priority that the pool has seen.
func (d *demand) lowest() int {
	lowest := math.MaxInt
	for priority := range d.byPriority {
		lowest = min(lowest, priority)
	}
	return lowest
}
