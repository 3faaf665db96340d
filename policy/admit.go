package policy

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/document"
)

// minCapacityShare is the share of a pool's slots that admission assumes for a
// class even while higher classes fill the pool. It equals the share that the
// queue reserves.
const minCapacityShare = minClassShare

// waitMargin multiplies the expected wait to allow for its variance.
const waitMargin = 1.25

// Admit decides whether to accept a request, before any of its stages runs.
func (c *Core) Admit(now time.Time, a Arrival) (*Request, *Refusal) {
	r := c.newRequest(now, a)
	c.explanations.begin(now, r)
	for i := range a.Stages {
		p := c.pools[a.Stages[i].Pool]
		if (p == nil || len(p.upstreams) == 0) && !canSkip(&a.Stages[i]) {
			return nil, c.refuse(now, r, i, CauseNoUpstream)
		}
	}
	if c.settings.Admission {
		if refusal := c.checkFeasible(now, r); refusal != nil {
			return nil, refusal
		}
	}
	c.commit(r)
	return r, nil
}

func canSkip(s *StageNeed) bool { return s.Fallback != nil && s.Fallback.Skip }

func (c *Core) newRequest(now time.Time, a Arrival) *Request {
	a.Stages = slices.Clone(a.Stages)
	return &Request{
		Arrival:   a,
		docIndex:  c.docs.indexOf(a.Document),
		admitted:  now,
		attempts:  make([]int, len(a.Stages)),
		unsent:    make([]int, len(a.Stages)),
		committed: make([]time.Duration, len(a.Stages)),
	}
}

func (r *Request) share() float64 { return r.docIndex.share(r.Workspace) }

// checkFeasible refuses a request that can't finish by its deadline, either on
// an idle pool or behind the work that was admitted before it.
func (c *Core) checkFeasible(now time.Time, r *Request) *Refusal {
	left := r.Deadline.Sub(now)
	minimum := c.requiredTime(r, minimumQuantile)
	if minimum > left && !c.allowPipelineProbe(now, r) {
		return c.refuse(now, r, 0, CauseInfeasible)
	}
	wait, stage := c.expectedWait(r)
	if wait == 0 {
		return nil
	}
	need := time.Duration(waitMargin*float64(wait)) + c.requiredTime(r, conservativeQuantile)
	c.explanations.estimate(now, r, wait, need, left)
	if need <= left {
		return nil
	}
	refusal := c.refuse(now, r, stage, CauseOverload)
	refusal.RetryAfter = need - left
	return refusal
}

// requiredTime sums a quantile of the learned times over the stages, without
// those that a fallback may skip.
func (c *Core) requiredTime(r *Request, q float64) time.Duration {
	var sum time.Duration
	for i := range r.Stages {
		if c.settings.Fallbacks && canSkip(&r.Stages[i]) {
			continue
		}
		sum += c.timings.histogramOf(&r.Arrival, i).quantile(q)
	}
	return sum
}

// expectedWait returns the longest expected wait over the stages, and the index
// of that stage. A stage's wait is reduced by the time that the stages before
// it typically take.
func (c *Core) expectedWait(r *Request) (time.Duration, int) {
	var longest, untilStage time.Duration
	var at int
	for i := range r.Stages {
		h := c.timings.histogramOf(&r.Arrival, i)
		if p := c.pools[r.Stages[i].Pool]; p != nil {
			if wait := c.estimateWait(p, r, h.mean()) - untilStage; wait > longest {
				longest = wait
				at = i
			}
		}
		untilStage += h.quantile(typicalQuantile)
	}
	return longest, at
}

// estimateWait estimates the wait for a slot of a pool: the work ahead divided
// by the slots that the request's class and workspace can count on.
func (c *Core) estimateWait(p *pool, r *Request, mean time.Duration) time.Duration {
	slots := p.slotLimit(r.Class.Priority, c.settings)
	free := max(slots-float64(p.inFlight), 0)
	available := slots - p.demand.slotsArrivedAbove(r.Class.Priority)
	if p.queue.size > 0 {
		// While calls wait, use the mean of this estimate and the slots that
		// the class and those below it were actually given, if that is lower.
		// Both estimates lag behind the load; their mean reacts fastest right
		// after a burst.
		available = min(available, (available+p.demand.slotsStartedUpTo(r.Class.Priority))/2)
	}
	available = max(available, minCapacityShare*slots)
	ahead := p.committed.aheadOf(r.Class.Priority) - time.Duration(free*float64(mean))
	wait := time.Duration(float64(max(ahead, 0)) / available)
	if !c.settings.Fairness {
		return wait
	}
	own, fair := p.committed.fairShare(r.Workspace, r.share())
	return min(wait, time.Duration(float64(own)/(available*fair)))
}

// allowPipelineProbe admits a request now and then although the learned times
// rule it out. Without these probes, times learned during a fault would keep
// the pipeline refused for good. Classes whose objective is cost send no probes.
func (c *Core) allowPipelineProbe(now time.Time, r *Request) bool {
	key := r.Pipeline + "/" + r.Service
	if now.Sub(c.pipelineProbes[key]) < c.settings.ProbeEvery || r.Class.Objective == document.ObjectiveCost {
		return false
	}
	c.pipelineProbes[key] = now
	return true
}

// commit adds the request's expected work to each pool on its path.
func (c *Core) commit(r *Request) {
	for i := range r.Stages {
		p := c.pools[r.Stages[i].Pool]
		if p == nil {
			continue
		}
		cost := c.timings.histogramOf(&r.Arrival, i).mean()
		r.committed[i] = max(cost, 1)
		p.committed.add(r, r.committed[i])
		p.demand.addArrived(r.Class.Priority, cost)
	}
}

// releaseCommitted removes a stage's expected work from its pool. Further calls
// for the same stage do nothing.
func (r *Request) releaseCommitted(stage int, p *pool) {
	if r.committed[stage] == 0 {
		return
	}
	p.committed.remove(r, r.committed[stage])
	r.committed[stage] = 0
}

// refuse records a refusal for explanations and returns it.
func (c *Core) refuse(now time.Time, r *Request, stage int, cause Cause) *Refusal {
	refusal := &Refusal{Cause: cause}
	if stage < len(r.Stages) {
		refusal.Stage = r.Stages[stage].Name
	}
	c.explanations.refusal(now, r, refusal)
	return refusal
}
