package policy

import "time"

const (
	// typicalQuantile is the quantile of the learned times that stands for a
	// typical call.
	typicalQuantile = 0.5
	// minimumQuantile is the quantile below which a stage rarely finishes.
	minimumQuantile = 0.1
	// riskQuantile is the quantile of the learned times that a call must have
	// left to keep its place while others wait behind it.
	riskQuantile = 0.85
	// conservativeQuantile is used in estimates when a request has to wait.
	conservativeQuantile = 0.9
)

// latestStart returns when it becomes useless to start a stage: the time left
// no longer covers even the minimum that this and the later stages need.
func (c *Core) latestStart(r *Request, stage int) time.Time {
	if !c.settings.Budgets {
		return r.Deadline
	}
	return r.Deadline.Add(-c.timings.remaining(&r.Arrival, stage, minimumQuantile))
}

// riskyStart returns the time from which a stage that starts is at risk of
// missing the deadline, by riskQuantile of the learned times.
func (c *Core) riskyStart(r *Request, stage int) time.Time {
	if !c.settings.Budgets {
		return r.Deadline
	}
	return r.Deadline.Add(-c.timings.remaining(&r.Arrival, stage, riskQuantile))
}

// attemptDeadline returns when an attempt becomes useless. Only the minimum
// time of the later stages is reserved, so a stage may use what the earlier
// ones saved.
func (c *Core) attemptDeadline(r *Request, stage int) time.Time {
	if !c.settings.Budgets {
		return r.Deadline
	}
	return r.Deadline.Add(-c.timings.remaining(&r.Arrival, stage+1, minimumQuantile))
}

// stageBudget returns a stage's part of the time left, divided over this and
// the later stages in proportion to their learned times. It only serves
// explanations: it shows when a stage uses time that the later ones need.
func (c *Core) stageBudget(now time.Time, r *Request, stage int) time.Duration {
	own := c.timings.histogramOf(&r.Arrival, stage).quantile(conservativeQuantile)
	all := c.timings.remaining(&r.Arrival, stage, conservativeQuantile)
	left := max(r.Deadline.Sub(now), 0)
	return time.Duration(float64(left) * float64(own) / float64(all))
}
