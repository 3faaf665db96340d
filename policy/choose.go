package policy

import (
	"slices"
	"time"
)

const (
	// sampled is how many upstreams one decision compares. Drawing them keeps
	// hosts with the same lagged reports from all going to one upstream.
	sampled = 4
	// maxDraws bounds the draws for that many usable ones.
	maxDraws = 24
	// sameRegionCost and otherRegionCost are the added load, in shares of an
	// upstream's slots, at which a nearer upstream is as good.
	sameRegionCost  = 0.1
	otherRegionCost = 0.6
)

// choose picks the upstream for a call, or nil. probe says that the upstream
// is set aside and the call tests it.
func (c *Core) choose(now time.Time, p *pool, call *Call) (s *server, probe bool) {
	if len(p.order) == 0 {
		return nil, false
	}
	switch c.settings.Choice {
	case ChoiceRandom:
		return c.draw(p, call), false
	case ChoiceRoundRobin:
		return p.nextInTurn(call), false
	case ChoiceLeastInFlight:
		return c.leastInFlight(p, call), false
	case ChoiceTwoChoices:
		return c.twoChoices(p, call), false
	case ChoiceScore:
	}
	if s := c.probeDue(now, p, call); s != nil {
		return s, true
	}
	if s := c.cached(now, p, call); s != nil {
		return s, false
	}
	return c.bestOfSample(now, p, call), false
}

// usable reports whether a call may go to the upstream at all.
func (p *pool) usable(s *server, call *Call) bool {
	return !slices.Contains(call.avoid, s.ID) && s.serves(call.Request.Stages[call.Stage].Model)
}

// allAvoided reports whether the call avoids every upstream of the pool.
func (p *pool) allAvoided(call *Call) bool {
	if len(call.avoid) < len(p.order) {
		return false
	}
	for _, s := range p.order {
		if !slices.Contains(call.avoid, s.ID) {
			return false
		}
	}
	return true
}

// mayHold reports whether the upstream may hold the call at all, if need be
// in its own queue.
func (c *Core) mayHold(p *pool, s *server, call *Call) bool {
	if !p.usable(s, call) || s.setAside(call.Request.Class.Name) {
		return false
	}
	return !c.settings.Queueing || s.inFlight() < p.terms.Concurrency+overdraftSlots
}

// open reports whether the scored choice may use the upstream: one that may
// hold the call and, for the lowest class, has room now.
func (c *Core) open(now time.Time, p *pool, s *server, call *Call) bool {
	if !c.mayHold(p, s, call) {
		return false
	}
	if !c.settings.Queueing || p.overdrafts(call.Request.Class.Priority, c.settings) {
		return true
	}
	load := float64(s.inFlight())
	if c.settings.LoadReports {
		load += p.othersOn(now, s)
	}
	return load < float64(p.terms.Concurrency)*p.limit.growth()
}

func (c *Core) draw(p *pool, call *Call) *server {
	start := c.rand.IntN(len(p.order))
	for i := range p.order {
		if s := p.order[(start+i)%len(p.order)]; p.usable(s, call) {
			return s
		}
	}
	return nil
}

func (p *pool) nextInTurn(call *Call) *server {
	for range p.order {
		p.roundRobin++
		if s := p.order[p.roundRobin%len(p.order)]; p.usable(s, call) {
			return s
		}
	}
	return nil
}

func (c *Core) leastInFlight(p *pool, call *Call) *server {
	var best *server
	start := c.rand.IntN(len(p.order))
	for i := range p.order {
		s := p.order[(start+i)%len(p.order)]
		if p.usable(s, call) && (best == nil || s.inFlight() < best.inFlight()) {
			best = s
		}
	}
	return best
}

func (c *Core) twoChoices(p *pool, call *Call) *server {
	a := c.draw(p, call)
	b := c.draw(p, call)
	if a == nil || b.inFlight() >= a.inFlight() {
		return a
	}
	return b
}

// score is the load that a call would meet, as a share of the upstream's
// slots, plus the cost of distance. Less is better.
func (c *Core) score(now time.Time, p *pool, s *server) float64 {
	load := float64(s.inFlight())
	if c.settings.LoadReports {
		load += p.othersOn(now, s)
	}
	score := load / float64(p.terms.Concurrency)
	if c.settings.Outliers {
		score += s.excess(p)
	}
	if c.settings.Nearness {
		score += c.distance(s)
	}
	return score
}

func (c *Core) distance(s *server) float64 {
	switch {
	case s.Place.DataCentre == c.place.DataCentre:
		return 0
	case s.Place.Region == c.place.Region:
		return sameRegionCost
	}
	return otherRegionCost
}

// bestOfSample compares a few upstreams drawn at random. When the draws find
// none, it scans the pool.
func (c *Core) bestOfSample(now time.Time, p *pool, call *Call) *server {
	var best *server
	var bestScore float64
	consider := func(s *server) {
		score := c.score(now, p, s)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	n := len(p.order)
	found := 0
	for draw := 0; draw < maxDraws && found < sampled; draw++ {
		if s := p.order[c.rand.IntN(n)]; c.open(now, p, s, call) {
			consider(s)
			found++
		}
	}
	if best != nil {
		return best
	}
	start := c.rand.IntN(n)
	for i := range p.order {
		if s := p.order[(start+i)%n]; c.open(now, p, s, call) {
			return s
		}
	}
	return nil
}
