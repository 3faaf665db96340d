package throttle

import "time"

const (
	// burst is how many requests may be granted at once.
	burst = 2.0
	// minRate is the lowest rate of grants, in requests a second: an upstream that takes
	// no requests can only withdraw that in an answer.
	minRate = 0.1
	// grantedShare is the share of a limit that is granted. Two hosts may grant requests
	// to one upstream while their views of the fleet differ.
	grantedShare = 0.75
)

// bucket grants requests to one upstream process at the rate of its limit. It starts
// empty, since another host may have granted requests until now.
type bucket struct {
	tokens   float64
	filledAt time.Time
	// limit is what the process takes, in requests a second, as of namedAt.
	limit   float64
	namedAt time.Time
}

// update records a limit that the process named at a time, if it is the newest.
func (b *bucket) update(limit float64, namedAt time.Time) {
	if namedAt.After(b.namedAt) {
		b.limit, b.namedAt = limit, namedAt
	}
}

// take grants a request, or returns when to ask again.
func (b *bucket) take(now time.Time) (wait time.Duration, granted bool) {
	b.fill(now, b.rate())
	if wait = b.wait(b.rate()); wait > 0 {
		return wait, false
	}
	b.tokens--
	return 0, true
}

// rate returns how many requests a second are granted by the limit.
func (b *bucket) rate() float64 { return max(grantedShare*b.limit, minRate) }

// fill adds what the bucket has gained at a rate since it was last asked.
func (b *bucket) fill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.filledAt); !b.filledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.tokens+rate*elapsed.Seconds(), burst)
	}
	b.filledAt = now
}

// wait returns when the bucket has a request to grant at a rate; 0 if it has one.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return max(time.Duration((1-b.tokens)/rate*float64(time.Second)), 1)
}
