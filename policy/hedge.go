package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
)

const (
	// hedgeQuantile is the quantile of the learned times after which a call
	// counts as slow.
	hedgeQuantile = 0.95
	// hedgeMargin multiplies that time to allow for the width of the
	// histogram's buckets.
	hedgeMargin = 1.2
	// hedgeFreeShare is the share of the host's slots that must be free to
	// hedge.
	hedgeFreeShare = 0.1
)

// HedgeDelay returns how long an attempt may run before a second copy is
// started, and whether the request may be hedged at all. Classes whose
// objective is cost don't hedge.
func (c *Core) HedgeDelay(now time.Time, r *Request, stage int) (time.Duration, bool) {
	if !c.settings.Hedges || !r.Idempotent || !r.Class.Hedge || r.Class.Objective == document.ObjectiveCost {
		return 0, false
	}
	h := c.timings.histogramOf(&r.Arrival, stage)
	delay := time.Duration(hedgeMargin * float64(h.quantile(hedgeQuantile)))
	if now.Add(delay).After(c.latestStart(r, stage)) {
		return 0, false
	}
	return delay, true
}

// mayHedge reports whether the call may have a second copy and the pool has
// slots for it.
func (c *Core) mayHedge(call *Call) bool {
	p := call.pool
	r := call.Request
	if !c.settings.Hedges || !r.Idempotent || r.sent(call.Stage) >= c.settings.MaxAttempts {
		return false
	}
	if !c.settings.Queueing {
		return true
	}
	if p.queue.hasWaiting(r.Class.Priority) {
		// A second copy would take a slot that a queued call waits for.
		return false
	}
	slots := p.slotLimit(r.Class.Priority, c.settings)
	if p.mayExceedLimit(r.Class.Priority, c.settings) {
		return float64(p.inFlight) < slots
	}
	return float64(p.inFlight)+1 <= slots*(1-hedgeFreeShare)
}

// Fallback reports whether to use a stage's declared fallback now. It does so
// if the time left would not cover what this and the later stages need. The
// estimate includes the wait for the pool and uses a high quantile of the
// learned times, or a typical one for classes whose objective is cost. If the
// fallback names a stage, that stage replaces the request's own. Fallback also
// returns true if the pool has no upstream, but then leaves the request's stage
// unchanged.
func (c *Core) Fallback(now time.Time, r *Request, stage int) bool {
	if !c.settings.Fallbacks || r.Stages[stage].Fallback == nil {
		return false
	}
	p := c.pools[r.Stages[stage].Pool]
	if p == nil || len(p.upstreams) == 0 {
		return true
	}
	wait := c.estimateWait(p, r, c.timings.histogramOf(&r.Arrival, stage).mean())
	q := conservativeQuantile
	if r.Class.Objective == document.ObjectiveCost {
		q = typicalQuantile
	}
	need := wait + c.timings.remaining(&r.Arrival, stage, q)
	left := r.Deadline.Sub(now)
	take := need > left
	c.explanations.fallback(now, r, stage, need, left, take)
	if take {
		r.releaseCommitted(stage, p)
		r.replaceStage(stage)
	}
	return take
}

// replaceStage replaces the stage by its fallback's stage, if there is one, so
// that later calls go to the pool of that stage.
func (r *Request) replaceStage(stage int) {
	fallback := r.Stages[stage].Fallback
	if fallback.Skip {
		return
	}
	s, ok := r.docIndex.stages[fallback.Stage]
	if !ok {
		return
	}
	r.Stages[stage] = StageNeed{
		Name: s.Name, Pool: s.Pool, Kind: s.Kind, Model: s.Model,
		Typical: s.TypicalDuration.Std(), MaxTokens: s.MaxTokens,
	}
}
