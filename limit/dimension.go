package limit

import (
	"math"
	"time"
)

// Constants of the shares.
const (
	// burstTime is how much of its share a host may save up.
	burstTime = time.Second
	// smoothing is the time constant of the measured demand.
	smoothing = 500 * time.Millisecond
	// newcomerShare is the part of a limit that is split evenly between all
	// hosts, however little demand they have had.
	newcomerShare = 0.1
	// demandCap bounds the demand that a host claims, in limits.
	demandCap = 2.0
	// leastChange is the change of a demand, in limits, that is worth telling.
	leastChange = 0.02
	// urgentChange is the change that is worth telling at once.
	urgentChange = 0.1
	// leastBurst lets a host with a tiny share still take one whole unit.
	leastBurst = 1.0
)

// dimension is one limited quantity, requests or tokens, of one limit on one
// host: a token bucket whose rate is the host's share of the limit.
type dimension struct {
	limit   float64 // a second, over all hosts; zero is unlimited
	share   float64 // a second, on this host
	level   float64 // what may be taken now; below zero after a large take
	filled  time.Time
	offered float64 // asked for since the last measurement
	demand  float64 // smoothed, a second
	told    float64 // the demand that was published last
	settled float64 // the own demand that the other hosts know by now
}

// setLimit changes the limit; the first share is an even one. A new bucket is
// full, as one is that was idle: over all hosts that is burstTime of the limit.
func (d *dimension) setLimit(limit float64, hosts int) {
	if limit == d.limit {
		return
	}
	isNew := d.limit == 0
	d.limit = limit
	d.share = limit / float64(max(hosts, 1))
	d.level = min(max(d.level, leastBurst), d.capacity())
	if isNew {
		d.level = d.capacity()
	}
}

func (d *dimension) capacity() float64 {
	return max(d.share*burstTime.Seconds(), leastBurst)
}

func (d *dimension) fill(now time.Time) {
	if !d.filled.IsZero() && now.After(d.filled) {
		d.level = min(d.level+d.share*now.Sub(d.filled).Seconds(), d.capacity())
	}
	if now.After(d.filled) {
		d.filled = now
	}
}

// wait returns how long until amount may be taken; zero is now. What is larger
// than the bucket waits for a full one and then leaves a debt.
func (d *dimension) wait(amount float64) time.Duration {
	if d.limit <= 0 || amount <= 0 {
		return 0
	}
	missing := min(amount, d.capacity()) - d.level
	if missing <= 0 {
		return 0
	}
	if d.share <= 0 {
		return math.MaxInt64
	}
	return time.Duration(missing / d.share * float64(time.Second))
}

func (d *dimension) take(amount float64) {
	if d.limit > 0 {
		d.level -= amount
	}
}

func (d *dimension) refund(amount float64) {
	if d.limit > 0 {
		d.level = min(d.level+amount, d.capacity())
	}
}

// measure takes the offered amount of the elapsed time into the demand.
func (d *dimension) measure(elapsed time.Duration) {
	if elapsed <= 0 || d.limit <= 0 {
		return
	}
	rate := d.offered / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	d.demand += weight * (rate - d.demand)
	d.offered = 0
}

// claim returns the demand to tell the others: the one told before unless it
// has changed by a part of the limit that matters.
func (d *dimension) claim() float64 {
	if d.changed(leastChange) {
		d.told = float64(rounded(d.capped()))
	}
	return d.told
}

// changed says whether the demand differs from the told one by more than a
// part of the limit.
func (d *dimension) changed(part float64) bool {
	return d.limit > 0 && math.Abs(d.capped()-d.told) > part*d.limit
}

func (d *dimension) capped() float64 { return min(d.demand, demandCap*d.limit) }

// reshare works out the host's share from the settled demand of all hosts.
// With the same figures at every host the shares add up to the limit: what the
// demand leaves, and a small part in any case, is split evenly, and all is
// scaled to the limit.
func (d *dimension) reshare(others float64, hosts int) {
	if d.limit <= 0 {
		return
	}
	total := d.settled + others
	even := max(d.limit-total, newcomerShare*d.limit) / float64(max(hosts, 1))
	d.share = d.limit * (d.settled + even) / (total + even*float64(max(hosts, 1)))
	d.level = min(d.level, d.capacity())
}
