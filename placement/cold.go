package placement

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/throttle"
)

// The owner of a service's engines gives a cold engine what the engine's own owner will grant.
// It also counts what warm engines get: one without work, or with the cached part of many
// short prompts, looks like the best one to every request, and may be cold again without this
// host knowing.

const (
	// coldShare is the share of what an engine's owner grants that is given to a cold engine.
	// Requests arrive at that owner with different delays, and those that come too early are
	// refused.
	coldShare = 0.9
	// coldBurst is how many requests a cold engine may get at once: as many as its owner grants
	// at once.
	coldBurst = 2
	// warmBurst is how many requests beyond its cold rate a warm engine may get at once before
	// others are preferred. An engine may be cold again for about a heartbeat until its entry
	// says so, and then takes as many.
	warmBurst = 5
	// meanRateTime is the time over which the rate of all requests is averaged. No engine counts
	// as full at warmShare times the mean rate of one.
	meanRateTime = 2 * time.Second
	warmShare    = 2
	// coldPenalty is the penalty for a cold engine, in prompt tokens: a warm one is preferred
	// unless its backlog is longer by about 0.2 s.
	coldPenalty = 6000
)

// intake counts the requests that one engine of a service with a warm-up is given.
type intake struct {
	tokens   float64 // requests that the engine may get now
	filledAt time.Time
	cold     bool
}

// update brings the intake up to date. An engine that becomes cold gets nothing at first, since
// its owner begins to count then, and another placement owner may have given it requests. One
// that becomes warm keeps its count. mean is the mean rate of an engine.
func (i *intake) update(now time.Time, cold bool, perSecond, mean float64) {
	rate, burst := intakeRate(cold, perSecond, mean)
	switch elapsed := now.Sub(i.filledAt); {
	case cold && !i.cold:
		i.tokens = 0
	case i.filledAt.IsZero():
		i.tokens = burst
	case elapsed > 0:
		i.tokens = min(i.tokens+rate*elapsed.Seconds(), burst)
	}
	i.filledAt, i.cold = now, cold
}

// intakeRate returns how many requests a second an engine may get, and how many at once.
func intakeRate(cold bool, perSecond, mean float64) (rate, burst float64) {
	if cold {
		return coldShare * throttle.ColdRate(perSecond), coldBurst
	}
	return max(perSecond, warmShare*mean), warmBurst
}

// penalty returns the addition to the engine's score. A warm engine that has got as many
// requests lately as a cold one would take at most counts as full.
func (i *intake) penalty(cold bool, perSecond float64) float64 {
	switch {
	case perSecond <= 0:
		return 0
	case cold:
		return coldPenalty
	case i.tokens < 1:
		return fullEnginePenalty
	}
	return 0
}

// take counts a request that the engine is given.
func (i *intake) take() { i.tokens = max(i.tokens-1, 0) }

// withRoom returns the engines but the cold ones that have got what they take now, with which it
// calls exclude. wait is when the first of those takes another request; 0 if there is none.
func (t *tracker) withRoom(now time.Time, all []instance.Status, limits Limits, exclude func(s instance.Status, reason string)) (room []instance.Status, wait time.Duration) {
	if limits.WarmupPerSecond <= 0 {
		return all, 0
	}
	mean := t.requests.rate(now) / float64(max(len(all), 1))
	room = make([]instance.Status, 0, len(all))
	for _, s := range all {
		e := t.engine(s.ID, limits)
		in := &e.intake
		in.update(now, s.Cold, limits.WarmupPerSecond, mean)
		if !s.Cold || in.tokens >= 1 {
			room = append(room, s)
			continue
		}
		e.joined = false
		exclude(s, excludedCold)
		rate, _ := intakeRate(true, limits.WarmupPerSecond, mean)
		left := time.Duration((1 - in.tokens) / rate * float64(time.Second))
		if wait == 0 || left < wait {
			wait = max(left, 1)
		}
	}
	return room, wait
}

// meanRate is the rate of requests, averaged over about meanRateTime.
type meanRate struct {
	perSecond float64
	at        time.Time
}

// rate returns the rate in requests a second.
func (m *meanRate) rate(now time.Time) float64 {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.perSecond *= math.Exp(-float64(elapsed) / float64(meanRateTime))
		m.at = now
	}
	return m.perSecond
}

// count counts a request.
func (m *meanRate) count(now time.Time) { m.perSecond = m.rate(now) + 1/meanRateTime.Seconds() }
