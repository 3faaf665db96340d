package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
)

const (
	// hedgeQuantile is the learned time after which a call counts as slow.
	hedgeQuantile = 0.95
	// hedgeMargin stretches it over the width of the learned buckets.
	hedgeMargin = 1.2
	// hedgeRoom is the share of the host's slots that must be free.
	hedgeRoom = 0.1
)

// HedgeDelay is how long to wait for an attempt before doubling it. Classes
// that put cost first don't hedge.
func (c *Core) HedgeDelay(now time.Time, r *Request, stage int) (time.Duration, bool) {
	if !c.settings.Hedges || !r.Idempotent || !r.Class.Hedge || r.Class.Weigh == document.WeighCost {
		return 0, false
	}
	h := c.timings.of(&r.Arrival, stage)
	delay := time.Duration(hedgeMargin * float64(h.quantile(hedgeQuantile)))
	if now.Add(delay).After(c.latestStart(r, stage)) {
		return 0, false
	}
	return delay, true
}

// mayHedge reports whether the pool has slots to spare for second copies.
func (c *Core) mayHedge(call *Call) bool {
	p := call.pool
	r := call.Request
	if !c.settings.Hedges || !r.Idempotent || r.attempts[call.Stage] >= c.settings.MaxAttempts {
		return false
	}
	if !c.settings.Queueing {
		return true
	}
	if p.queue.waiting(r.Class.Priority) {
		// A second copy would take what a first one waits for.
		return false
	}
	room := p.room(r.Class.Priority, c.settings)
	if p.overdrafts(r.Class.Priority, c.settings) {
		return float64(p.inFlight) < room
	}
	return float64(p.inFlight)+1 <= room*(1-hedgeRoom)
}

// Fallback says whether to take a stage's declared fallback now: when the
// time left would not cover what this and the later stages need. Classes that
// put attainment first take it earlier; those that put cost first also take
// it when the pool would make them wait. After a yes to a fallback that names
// a stage, the request's stage is that one.
func (c *Core) Fallback(now time.Time, r *Request, stage int) bool {
	if !c.settings.Fallbacks || r.Stages[stage].Fallback == nil {
		return false
	}
	p := c.pools[r.Stages[stage].Pool]
	if p == nil || len(p.order) == 0 {
		return true
	}
	wait := c.waitAt(p, r, c.timings.of(&r.Arrival, stage).mean())
	q := carefulQuantile
	if r.Class.Weigh == document.WeighCost {
		q = typicalQuantile
	}
	need := wait + c.timings.rest(&r.Arrival, stage, q)
	left := r.Deadline.Sub(now)
	take := need > left
	c.log.fallback(now, r, stage, need, left, take)
	if take {
		r.settle(stage, p)
		r.replaceStage(stage)
	}
	return take
}

// replaceStage puts the fallback's stage, if it names one, in the place of the
// declared one, so that the calls that follow go to its pool.
func (r *Request) replaceStage(stage int) {
	fallback := r.Stages[stage].Fallback
	if fallback.Skip {
		return
	}
	s, ok := r.terms.stages[fallback.Stage]
	if !ok {
		return
	}
	r.Stages[stage] = StageNeed{
		Name: s.Name, Pool: s.Pool, Kind: s.Kind, Model: s.Model,
		Typical: s.Typical.Std(), MaxTokens: s.MaxTokens,
	}
}
