package policy

import "time"

const (
	// typicalQuantile is the learned time that plans count with.
	typicalQuantile = 0.5
	// leastQuantile is the learned time under which a stage hardly ends.
	leastQuantile = 0.1
	// likelyQuantile is the learned time that calls must have left while
	// others wait behind them.
	likelyQuantile = 0.85
	// carefulQuantile is the learned time that plans count with when a
	// request will have to wait.
	carefulQuantile = 0.9
)

// latestStart is when starting a stage is no longer of use: what is left
// would not even cover the least that this and the later stages need.
func (c *Core) latestStart(r *Request, stage int) time.Time {
	if !c.settings.Budgets {
		return r.Deadline
	}
	return r.Deadline.Add(-c.timings.rest(&r.Arrival, stage, leastQuantile))
}

// doubtfulStart is when starting a stage would miss more often than not.
func (c *Core) doubtfulStart(r *Request, stage int) time.Time {
	if !c.settings.Budgets {
		return r.Deadline
	}
	return r.Deadline.Add(-c.timings.rest(&r.Arrival, stage, likelyQuantile))
}

// attemptDeadline is when an attempt is no longer of use. A stage that ended
// early leaves its time to the later ones, as only what they need is kept.
func (c *Core) attemptDeadline(r *Request, stage int) time.Time {
	if !c.settings.Budgets {
		return r.Deadline
	}
	return r.Deadline.Add(-c.timings.rest(&r.Arrival, stage+1, leastQuantile))
}

// stageBudget divides the time that remains over this and the later stages,
// in proportion to their learned times. It is the stage's part, for
// explanations: a stage that passes it eats into the time of the later ones.
func (c *Core) stageBudget(now time.Time, r *Request, stage int) time.Duration {
	own := c.timings.of(&r.Arrival, stage).quantile(carefulQuantile)
	all := c.timings.rest(&r.Arrival, stage, carefulQuantile)
	left := max(r.Deadline.Sub(now), 0)
	return time.Duration(float64(left) * float64(own) / float64(all))
}
