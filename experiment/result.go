package experiment

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/policy"
)

// ClassResult is what a class of requests got.
type ClassResult struct {
	Offered int
	InTime  int
	// Early were refused before anything ran, and Late missed after.
	Early int
	Late  int
	// P50 and P99 are times of the answers that were in time.
	P50, P99 time.Duration
}

// Attainment is the share of the offered that were in time.
func (r *ClassResult) Attainment() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTime) / float64(r.Offered)
}

// Result is what one cell gave.
type Result struct {
	Cell    *Cell
	Classes map[string]*ClassResult
	// Goodput is the useful work of the engines, in shares of their capacity.
	Goodput float64
	// Wasted is the share of the upstreams' working time that helped no
	// caller: lost hedges, failures, and requests that missed.
	Wasted float64
	// Doubled counts the non-idempotent requests that ran twice.
	Doubled int
	// Fairness is Jain's index over the workspaces of what each got as a
	// share of its max-min fair part.
	Fairness float64
	// Stages is the cost by stage.
	Stages map[string]policy.Cost
	// Recovery is how long after a burst attainment was back at 95% for good;
	// zero without one.
	Recovery time.Duration
}

// Attainment is the share over all classes.
func (r *Result) Attainment() float64 {
	var sum ClassResult
	for _, c := range r.Classes {
		sum.Offered += c.Offered
		sum.InTime += c.InTime
	}
	return sum.Attainment()
}

// Early returns the share of the offered that was refused before running.
func (r *Result) Early() float64 {
	return r.share(func(c *ClassResult) int { return c.Early })
}

// Late returns the share of the offered that missed after running.
func (r *Result) Late() float64 {
	return r.share(func(c *ClassResult) int { return c.Late })
}

func (r *Result) share(part func(*ClassResult) int) float64 {
	var n, offered int
	for _, c := range r.Classes {
		n += part(c)
		offered += c.Offered
	}
	return float64(n) / float64(max(offered, 1))
}

// CacheHits is the share of the prompts' tokens that engines had cached.
func (r *Result) CacheHits() float64 {
	var input, cached int64
	for _, s := range r.Stages {
		cached += s.CachedTokens
		input += s.InputTokens
	}
	return float64(cached) / float64(max(input, 1))
}

// Money is the priced cost for each request in time.
func (r *Result) Money() float64 {
	var money float64
	var served int
	for _, s := range r.Stages {
		money += s.Money
	}
	for _, c := range r.Classes {
		served += c.InTime
	}
	return money / float64(max(served, 1))
}

func (r *Result) addCosts(rows []policy.CostRow) {
	for _, row := range rows {
		s := r.Stages[row.Stage]
		s.Attempts += row.Attempts
		s.UpstreamSeconds += row.UpstreamSeconds
		s.InputTokens += row.InputTokens
		s.CachedTokens += row.CachedTokens
		s.Money += row.Money
		s.WastedSeconds += row.WastedSeconds
		s.WastedMoney += row.WastedMoney
		r.Stages[row.Stage] = s
	}
}

// jain returns Jain's fairness index: 1 when all values are alike.
func jain(values []float64) float64 {
	var sum, squares float64
	for _, v := range values {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

// maxMin divides a capacity over demands: none gets more than it asks, and
// what one leaves goes to the others alike.
func maxMin(capacity float64, demands []float64) []float64 {
	given := make([]float64, len(demands))
	for range demands {
		var hungry int
		for i := range demands {
			if given[i] < demands[i] {
				hungry++
			}
		}
		if hungry == 0 || capacity <= 1e-9 {
			break
		}
		part := capacity / float64(hungry)
		for i := range demands {
			more := math.Min(part, demands[i]-given[i])
			given[i] += more
			capacity -= more
		}
	}
	return given
}
