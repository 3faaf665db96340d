package policy

import (
	"slices"
	"time"
)

const (
	// sampleSize is how many upstreams one decision compares. A random sample
	// keeps hosts that have the same delayed load reports from all choosing the
	// same upstream.
	sampleSize = 4
	// maxDraws bounds the random draws that look for sampleSize candidates.
	maxDraws = 24
	// sameRegionCost and otherRegionCost are the scores added for an upstream
	// in another data centre of the same region, and in another region. They
	// are in units of load per slot: a local upstream is preferred until its
	// load exceeds the remote one by this.
	sameRegionCost  = 0.1
	otherRegionCost = 0.6
)

// choose returns the upstream for a call, or nil. probe is true if the upstream
// is set aside and the call tests it.
func (c *Core) choose(now time.Time, p *pool, call *Call) (s *upstreamState, probe bool) {
	if len(p.upstreams) == 0 {
		return nil, false
	}
	switch c.settings.Choice {
	case ChoiceRandom:
		return c.randomUpstream(p, call), false
	case ChoiceRoundRobin:
		return p.nextRoundRobin(call), false
	case ChoiceLeastInFlight:
		return c.leastInFlight(p, call), false
	case ChoiceTwoChoices:
		return c.twoChoices(p, call), false
	case ChoiceScore:
	}
	if s := c.probeDue(now, p, call); s != nil {
		return s, true
	}
	if s := c.cachedUpstream(now, p, call); s != nil {
		return s, false
	}
	return c.bestOfSample(now, p, call), false
}

// usable reports whether the call doesn't avoid the upstream and the upstream
// serves its model.
func (p *pool) usable(s *upstreamState, call *Call) bool {
	return !slices.Contains(call.avoid, s.ID) && s.serves(call.Request.Stages[call.Stage].Model)
}

// allAvoided reports whether the call avoids every upstream of the pool.
func (p *pool) allAvoided(call *Call) bool {
	if len(call.avoid) < len(p.upstreams) {
		return false
	}
	for _, s := range p.upstreams {
		if !slices.Contains(call.avoid, s.ID) {
			return false
		}
	}
	return true
}

// canAccept reports whether the upstream may get the call, if need be to wait
// in the upstream's own queue.
func (c *Core) canAccept(p *pool, s *upstreamState, call *Call) bool {
	if !p.usable(s, call) || s.isSetAside(call.Request.Class.Name) {
		return false
	}
	return !c.settings.Queueing || s.inFlight() < p.spec.Concurrency+overLimitSlots
}

// isCandidate reports whether the scored choice may use the upstream: it can
// accept the call and, if the call may not wait in the upstream's queue, has a
// free slot.
func (c *Core) isCandidate(now time.Time, p *pool, s *upstreamState, call *Call) bool {
	if !c.canAccept(p, s, call) {
		return false
	}
	if !c.settings.Queueing || p.mayExceedLimit(call.Request.Class.Priority, c.settings) {
		return true
	}
	load := float64(s.inFlight())
	if c.settings.LoadReports {
		load += p.loadFromOthers(now, s)
	}
	return load < float64(p.spec.Concurrency)*p.limit.growth()
}

func (c *Core) randomUpstream(p *pool, call *Call) *upstreamState {
	start := c.rand.IntN(len(p.upstreams))
	for i := range p.upstreams {
		if s := p.upstreams[(start+i)%len(p.upstreams)]; p.usable(s, call) {
			return s
		}
	}
	return nil
}

func (p *pool) nextRoundRobin(call *Call) *upstreamState {
	for range p.upstreams {
		p.roundRobin++
		if s := p.upstreams[p.roundRobin%len(p.upstreams)]; p.usable(s, call) {
			return s
		}
	}
	return nil
}

func (c *Core) leastInFlight(p *pool, call *Call) *upstreamState {
	var best *upstreamState
	start := c.rand.IntN(len(p.upstreams))
	for i := range p.upstreams {
		s := p.upstreams[(start+i)%len(p.upstreams)]
		if p.usable(s, call) && (best == nil || s.inFlight() < best.inFlight()) {
			best = s
		}
	}
	return best
}

func (c *Core) twoChoices(p *pool, call *Call) *upstreamState {
	a := c.randomUpstream(p, call)
	b := c.randomUpstream(p, call)
	if a == nil || b.inFlight() >= a.inFlight() {
		return a
	}
	return b
}

// score returns the load per slot that a call would find on the upstream, plus
// penalties for slowness and distance. Lower is better.
func (c *Core) score(now time.Time, p *pool, s *upstreamState) float64 {
	load := float64(s.inFlight())
	if c.settings.LoadReports {
		load += p.loadFromOthers(now, s)
	}
	score := load / float64(p.spec.Concurrency)
	if c.settings.Outliers {
		score += s.excessSlowness(p)
	}
	if c.settings.Nearness {
		score += c.distanceCost(s)
	}
	return score
}

func (c *Core) distanceCost(s *upstreamState) float64 {
	switch {
	case s.Place.DataCentre == c.place.DataCentre:
		return 0
	case s.Place.Region == c.place.Region:
		return sameRegionCost
	}
	return otherRegionCost
}

// bestOfSample returns the best of a few randomly drawn candidates. If the
// draws find none, it scans the pool for the first candidate.
func (c *Core) bestOfSample(now time.Time, p *pool, call *Call) *upstreamState {
	var best *upstreamState
	var bestScore float64
	consider := func(s *upstreamState) {
		score := c.score(now, p, s)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	n := len(p.upstreams)
	found := 0
	for draw := 0; draw < maxDraws && found < sampleSize; draw++ {
		if s := p.upstreams[c.rand.IntN(n)]; c.isCandidate(now, p, s, call) {
			consider(s)
			found++
		}
	}
	if best != nil {
		return best
	}
	start := c.rand.IntN(n)
	for i := range p.upstreams {
		if s := p.upstreams[(start+i)%n]; c.isCandidate(now, p, s, call) {
			return s
		}
	}
	return nil
}
