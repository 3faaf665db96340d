package policy

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of old samples in the demand estimate.
const demandHalfLife = 2 * time.Second

// demand estimates how many slots the work of each priority occupies.
type demand struct {
	byPriority map[int]*workRate
	updatedAt  time.Time
}

// workRate is the rate of work of one priority, in seconds of upstream time
// per second. That is the number of slots which the work keeps busy.
type workRate struct {
	// arrived is the work that arrived since the last update, arrivedSlots its
	// smoothed rate.
	arrived      time.Duration
	arrivedSlots float64
	// started and startedSlots measure the same for the calls that were
	// started.
	started      time.Duration
	startedSlots float64
}

func newDemand() *demand { return &demand{byPriority: make(map[int]*workRate)} }

func (d *demand) rateOf(priority int) *workRate {
	r := d.byPriority[priority]
	if r == nil {
		r = &workRate{}
		d.byPriority[priority] = r
	}
	return r
}

func (d *demand) addArrived(priority int, work time.Duration) { d.rateOf(priority).arrived += work }

func (d *demand) addStarted(priority int, work time.Duration) { d.rateOf(priority).started += work }

// slotsStartedUpTo returns the slots that calls of the priority and lower ones
// were given.
func (d *demand) slotsStartedUpTo(priority int) float64 {
	var slots float64
	for other, r := range d.byPriority {
		if other <= priority {
			slots += r.startedSlots
		}
	}
	return slots
}

func (d *demand) update(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if d.updatedAt.IsZero() || elapsed <= 0 {
		d.updatedAt = now
		return
	}
	d.updatedAt = now
	decay := math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	for _, r := range d.byPriority {
		current := float64(r.arrived) / float64(elapsed)
		r.arrivedSlots = decay*r.arrivedSlots + (1-decay)*current
		r.arrived = 0
		r.startedSlots = decay*r.startedSlots + (1-decay)*float64(r.started)/float64(elapsed)
		r.started = 0
	}
}

// slotsArrivedAbove returns the slots that the arriving work of higher
// priorities occupies.
func (d *demand) slotsArrivedAbove(priority int) float64 {
	var slots float64
	for other, r := range d.byPriority {
		if other > priority {
			slots += r.arrivedSlots
		}
	}
	return slots
}

// lowestPriority returns the lowest priority that the pool has seen.
func (d *demand) lowestPriority() int {
	lowest := math.MaxInt
	for priority := range d.byPriority {
		lowest = min(lowest, priority)
	}
	return lowest
}
