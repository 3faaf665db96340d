package limit

import (
	"math"
	"time"
)

// Constants of the shares.
const (
	// burstTime is how much of its share a host may save up.
	burstTime = time.Second
	// quickSmoothing and slowSmoothing bound the time constant of the measured
	// demand. Between them it is as long as smoothedTakes takes last, so that
	// single takes of a thinly spread demand do not pass for surges.
	quickSmoothing = 500 * time.Millisecond
	slowSmoothing  = 10 * time.Second
	smoothedTakes  = 10.0
	// surgeTakes within one measurement are a surge, which is followed quickly.
	surgeTakes = 5
	// takesSmoothing is the time constant of the measured rate of takes.
	takesSmoothing = 5 * time.Second
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
	// smallBurst and smallBurstTime let a host with a small share take the few
	// requests that come together by chance: up to smallBurst of them, and over
	// all hosts up to smallBurstTime of the limit.
	smallBurst     = 5.0
	smallBurstTime = 3 * time.Second
)

// dimension is one limited quantity, requests or tokens, of one limit on one
// host: a token bucket whose rate is the host's share of the limit.
type dimension struct {
	limit   float64 // a second, over all hosts; zero is unlimited
	share   float64 // a second, on this host
	level   float64 // what may be taken now; below zero after a large take
	hosts   int     // that share the limit
	filled  time.Time
	offered float64 // asked for since the last measurement
	takes   int     // that asked for it
	rate    float64 // of takes, smoothed, a second
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
	d.hosts = max(hosts, 1)
	d.share = limit / float64(max(hosts, 1))
	d.level = min(max(d.level, leastBurst), d.capacity())
	if isNew {
		d.level = d.capacity()
	}
}

func (d *dimension) capacity() float64 {
	small := min(smallBurst, d.limit*smallBurstTime.Seconds()/float64(max(d.hosts, 1)))
	return max(d.share*burstTime.Seconds(), small, leastBurst)
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
	offered := d.offered / elapsed.Seconds()
	d.demand += weightOf(elapsed, d.smoothing()) * (offered - d.demand)
	taken := float64(d.takes) / elapsed.Seconds()
	d.rate += weightOf(elapsed, takesSmoothing) * (taken - d.rate)
	d.offered, d.takes = 0, 0
}

// weightOf is what a measurement weighs against those before it.
func weightOf(elapsed, smoothing time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
}

// smoothing is the time constant that fits the rate of takes.
func (d *dimension) smoothing() time.Duration {
	if d.takes >= surgeTakes || d.rate <= 0 {
		return quickSmoothing
	}
	fitting := time.Duration(smoothedTakes / d.rate * float64(time.Second))
	return min(max(fitting, quickSmoothing), slowSmoothing)
}

// offer takes note of one take that asks for an amount.
func (d *dimension) offer(amount float64) {
	d.offered += amount
	d.takes++
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
	d.hosts = max(hosts, 1)
	total := d.settled + others
	even := max(d.limit-total, newcomerShare*d.limit) / float64(max(hosts, 1))
	d.share = d.limit * (d.settled + even) / (total + even*float64(max(hosts, 1)))
	d.level = min(d.level, d.capacity())
}
