package policy

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/document"
)

// leastPart is the least part of a pool that a class can count on while
// higher classes fill the rest.
const leastPart = floorShare

// waitMargin stretches the expected wait over its spread.
const waitMargin = 1.25

// Admit decides on a request before anything runs.
func (c *Core) Admit(now time.Time, a Arrival) (*Request, *Refusal) {
	r := c.newRequest(now, a)
	c.log.open(now, r)
	for i := range a.Stages {
		p := c.pools[a.Stages[i].Pool]
		if (p == nil || len(p.order) == 0) && !mayskip(&a.Stages[i]) {
			return nil, c.refuse(now, r, i, CauseNoUpstream)
		}
	}
	if c.settings.Admission {
		if refusal := c.feasible(now, r); refusal != nil {
			return nil, refusal
		}
	}
	c.commit(r)
	return r, nil
}

func mayskip(s *StageNeed) bool { return s.Fallback != nil && s.Fallback.Skip }

func (c *Core) newRequest(now time.Time, a Arrival) *Request {
	a.Stages = slices.Clone(a.Stages)
	return &Request{
		Arrival:   a,
		terms:     c.docs.of(a.Document),
		admitted:  now,
		attempts:  make([]int, len(a.Stages)),
		committed: make([]time.Duration, len(a.Stages)),
	}
}

func (r *Request) share() float64 { return r.terms.share(r.Workspace) }

// feasible refuses what can't end in time: alone, or behind the work that
// was admitted before it.
func (c *Core) feasible(now time.Time, r *Request) *Refusal {
	left := r.Deadline.Sub(now)
	least := c.restOrFallback(r, leastQuantile)
	if least > left && !c.probePipeline(now, r) {
		return c.refuse(now, r, 0, CauseInfeasible)
	}
	wait, stage := c.expectedWait(r)
	if wait == 0 {
		return nil
	}
	need := time.Duration(waitMargin*float64(wait)) + c.restOrFallback(r, carefulQuantile)
	c.log.estimate(now, r, wait, need, left)
	if need <= left {
		return nil
	}
	refusal := c.refuse(now, r, stage, CauseOverload)
	refusal.RetryAfter = need - left
	return refusal
}

// restOrFallback sums the stages, without those that may be skipped.
func (c *Core) restOrFallback(r *Request, q float64) time.Duration {
	var sum time.Duration
	for i := range r.Stages {
		if c.settings.Fallbacks && mayskip(&r.Stages[i]) {
			continue
		}
		sum += c.timings.of(&r.Arrival, i).quantile(q)
	}
	return sum
}

// expectedWait returns the longest wait over the stages, and where it is.
func (c *Core) expectedWait(r *Request) (time.Duration, int) {
	var longest, reach time.Duration
	var at int
	for i := range r.Stages {
		h := c.timings.of(&r.Arrival, i)
		if p := c.pools[r.Stages[i].Pool]; p != nil {
			if wait := c.waitAt(p, r, h.mean()) - reach; wait > longest {
				longest = wait
				at = i
			}
		}
		reach += h.quantile(typicalQuantile)
	}
	return longest, at
}

// waitAt estimates the wait for a slot of a pool: the work ahead over the
// part of the pool that the request's class and workspace can count on.
func (c *Core) waitAt(p *pool, r *Request, mean time.Duration) time.Duration {
	slots := p.room(r.Class.Priority, c.settings)
	free := max(slots-float64(p.inFlight), 0)
	part := slots - p.demand.above(r.Class.Priority)
	if p.queue.size > 0 {
		// While calls wait, what the class really gets counts too. Both
		// estimates lag; the mean is soonest right after a burst.
		part = min(part, (part+p.demand.servedUpTo(r.Class.Priority))/2)
	}
	part = max(part, leastPart*slots)
	ahead := p.committed.ahead(r.Class.Priority) - time.Duration(free*float64(mean))
	wait := time.Duration(float64(max(ahead, 0)) / part)
	if !c.settings.Fairness {
		return wait
	}
	own, fair := p.committed.fairPart(r.Workspace, r.share())
	return min(wait, time.Duration(float64(own)/(part*fair)))
}

// probePipeline lets a request through now and then although the learned
// times refuse it, so that times learned in a bad spell don't stay for good.
func (c *Core) probePipeline(now time.Time, r *Request) bool {
	key := r.Pipeline + "/" + r.Service
	if now.Sub(c.probes[key]) < c.settings.ProbeEvery || r.Class.Weigh == document.WeighCost {
		return false
	}
	c.probes[key] = now
	return true
}

// commit counts the request's work in the pools it will go through.
func (c *Core) commit(r *Request) {
	for i := range r.Stages {
		p := c.pools[r.Stages[i].Pool]
		if p == nil {
			continue
		}
		cost := c.timings.of(&r.Arrival, i).mean()
		r.committed[i] = max(cost, 1)
		p.committed.add(r, r.committed[i])
		p.demand.arrive(r.Class.Priority, cost)
	}
}

// settle takes a stage's work off its pool, once.
func (r *Request) settle(stage int, p *pool) {
	if r.committed[stage] == 0 {
		return
	}
	p.committed.sub(r, r.committed[stage])
	r.committed[stage] = 0
}

// refuse notes a refusal for explanations and makes the error.
func (c *Core) refuse(now time.Time, r *Request, stage int, cause Cause) *Refusal {
	refusal := &Refusal{Cause: cause}
	if stage < len(r.Stages) {
		refusal.Stage = r.Stages[stage].Name
	}
	c.log.refusal(now, r, refusal)
	return refusal
}
