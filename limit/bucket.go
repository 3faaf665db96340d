package limit

import (
	"math"
	"time"
)

// Parameters of the buckets and shares.
const (
	// burstTime bounds what a host may accumulate to its share over this time.
	burstTime = time.Second
	// minSmoothing and maxSmoothing bound the time constant of the measured
	// demand. Between these bounds the time constant is the time that
	// smoothedTakes takes last, so that single takes don't look like surges
	// when demand is spread over many hosts.
	minSmoothing  = 500 * time.Millisecond
	maxSmoothing  = 10 * time.Second
	smoothedTakes = 10.0
	// surgeTakes is the number of takes within one measurement that count as a
	// surge. During a surge the time constant is minSmoothing.
	surgeTakes = 5
	// takeRateSmoothing is the time constant of the measured rate of takes.
	takeRateSmoothing = 5 * time.Second
	// evenShare is the part of a limit that is always split evenly between all
	// hosts, so that hosts without measured demand get a share too.
	evenShare = 0.1
	// maxDemandFactor bounds the demand that a host publishes, as a multiple of
	// the limit.
	maxDemandFactor = 2.0
	// minPublishedChange is the change of a demand, as a part of the limit,
	// below which the published demand stays the same.
	minPublishedChange = 0.02
	// urgentChange is the change, as a part of the limit, that is published
	// early.
	urgentChange = 0.1
	// minBurst lets a host with a tiny share take one whole unit.
	minBurst = 1.0
	// smallBurst and smallBurstTime let a host with a small share take a few
	// requests that arrive together by chance: up to smallBurst of them, and
	// over all hosts up to smallBurstTime of the limit.
	smallBurst     = 5.0
	smallBurstTime = 3 * time.Second
)

// bucket is a token bucket for requests or tokens of one limit on one host. Its
// rate is the host's share of the limit.
type bucket struct {
	limit           float64 // per second over all hosts; zero means unlimited
	share           float64 // per second on this host
	level           float64 // available now; negative after a large take
	hosts           int     // number that share the limit
	filledAt        time.Time
	offered         float64 // requested since the last measurement
	takes           int     // number of takes that make up offered
	takeRate        float64 // smoothed number of takes per second
	demand          float64 // smoothed amount per second
	publishedDemand float64 // as published last
	settledDemand   float64 // as the other hosts are assumed to know it
}

// setLimit changes the limit and gives the host an even share of it. A new
// bucket starts full, like one that was idle. Over all hosts that is burstTime
// of the limit.
func (b *bucket) setLimit(limit float64, hosts int) {
	if limit == b.limit {
		return
	}
	isNew := b.limit == 0
	b.limit = limit
	b.hosts = max(hosts, 1)
	b.share = limit / float64(max(hosts, 1))
	b.level = min(max(b.level, minBurst), b.capacity())
	if isNew {
		b.level = b.capacity()
	}
}

func (b *bucket) capacity() float64 {
	small := min(smallBurst, b.limit*smallBurstTime.Seconds()/float64(max(b.hosts, 1)))
	return max(b.share*burstTime.Seconds(), small, minBurst)
}

func (b *bucket) refill(now time.Time) {
	if !b.filledAt.IsZero() && now.After(b.filledAt) {
		b.level = min(b.level+b.share*now.Sub(b.filledAt).Seconds(), b.capacity())
	}
	if now.After(b.filledAt) {
		b.filledAt = now
	}
}

// wait returns how long until amount may be taken; zero means now. An amount
// larger than the capacity waits for a full bucket and makes its level
// negative.
func (b *bucket) wait(amount float64) time.Duration {
	if b.limit <= 0 || amount <= 0 {
		return 0
	}
	missing := min(amount, b.capacity()) - b.level
	if missing <= 0 {
		return 0
	}
	if b.share <= 0 {
		return math.MaxInt64
	}
	return time.Duration(missing / b.share * float64(time.Second))
}

func (b *bucket) take(amount float64) {
	if b.limit > 0 {
		b.level -= amount
	}
}

func (b *bucket) refund(amount float64) {
	if b.limit > 0 {
		b.level = min(b.level+amount, b.capacity())
	}
}

// updateDemand updates the demand and the rate of takes with the amounts
// requested during the elapsed time.
func (b *bucket) updateDemand(elapsed time.Duration) {
	if elapsed <= 0 || b.limit <= 0 {
		return
	}
	offeredRate := b.offered / elapsed.Seconds()
	b.demand += smoothingWeight(elapsed, b.smoothingTime()) * (offeredRate - b.demand)
	takeRate := float64(b.takes) / elapsed.Seconds()
	b.takeRate += smoothingWeight(elapsed, takeRateSmoothing) * (takeRate - b.takeRate)
	b.offered, b.takes = 0, 0
}

// smoothingWeight returns the weight of a measurement in the exponential moving
// average.
func smoothingWeight(elapsed, smoothing time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
}

// smoothingTime returns the time constant for the current rate of takes.
func (b *bucket) smoothingTime() time.Duration {
	if b.takes >= surgeTakes || b.takeRate <= 0 {
		return minSmoothing
	}
	smoothing := time.Duration(smoothedTakes / b.takeRate * float64(time.Second))
	return min(max(smoothing, minSmoothing), maxSmoothing)
}

// recordOffer records a take that requests an amount, whether or not it
// succeeds.
func (b *bucket) recordOffer(amount float64) {
	b.offered += amount
	b.takes++
}

// claimDemand returns the demand to publish. It stays at the last published
// value until it changes by more than minPublishedChange.
func (b *bucket) claimDemand() float64 {
	if b.changedBy(minPublishedChange) {
		b.publishedDemand = float64(roundToHalf(b.cappedDemand()))
	}
	return b.publishedDemand
}

// changedBy reports whether the demand differs from the published one by more
// than the given part of the limit.
func (b *bucket) changedBy(part float64) bool {
	return b.limit > 0 && math.Abs(b.cappedDemand()-b.publishedDemand) > part*b.limit
}

func (b *bucket) cappedDemand() float64 { return min(b.demand, maxDemandFactor*b.limit) }

// updateShare computes the host's share from the demand of all hosts. What the
// demand leaves of the limit, and at least evenShare of it, is split evenly;
// the sum is then scaled to the limit. If all hosts use the same figures, their
// shares add up to the limit.
func (b *bucket) updateShare(remoteDemand float64, hosts int) {
	if b.limit <= 0 {
		return
	}
	b.hosts = max(hosts, 1)
	total := b.settledDemand + remoteDemand
	even := max(b.limit-total, evenShare*b.limit) / float64(max(hosts, 1))
	b.share = b.limit * (b.settledDemand + even) / (total + even*float64(max(hosts, 1)))
	b.level = min(b.level, b.capacity())
}
