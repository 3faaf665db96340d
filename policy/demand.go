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
}

func newDemand() *demand { return &demand{byPriority: make(map[int]*arrivalRate)} }

func (d *demand) arrive(priority int, cost time.Duration) {
	r := d.byPriority[priority]
	if r == nil {
		r = &arrivalRate{}
		d.byPriority[priority] = r
	}
	r.pending += cost
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
