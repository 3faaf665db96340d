package experiment

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/policy"
)

// ClassResult counts how the requests of a class ended.
type ClassResult struct {
	Offered int
	InTime  int
	// RefusedEarly counts requests that were refused before anything ran, and
	// Missed those that missed their deadline or failed after something ran.
	RefusedEarly int
	Missed       int
	// P50 and P99 are latency percentiles of the requests in time.
	P50, P99 time.Duration
}

// Attainment returns the share of the offered requests that were in time.
func (r *ClassResult) Attainment() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTime) / float64(r.Offered)
}

// Result is the measurement of one cell.
type Result struct {
	Cell    *Cell
	Classes map[string]*ClassResult
	// Goodput is the useful work of the engines as a share of their capacity.
	Goodput float64
	// Wasted is the share of the upstreams' working time that did not contribute
	// to an answer in time: lost hedges, failures, and requests that missed.
	Wasted float64
	// RanTwice counts the non-idempotent requests of which more calls ran than they
	// have stages.
	RanTwice int
	// Fairness is Jain's index over the workspaces, of the engine time each got
	// divided by its max-min fair share.
	Fairness float64
	// Stages holds the cost of each stage.
	Stages map[string]policy.Cost
	// Recovery is the time after a burst until attainment stays at 95% or above;
	// zero if there was no burst.
	Recovery time.Duration
}

// Attainment returns the share of the offered requests of all classes that were in
// time.
func (r *Result) Attainment() float64 {
	var sum ClassResult
	for _, c := range r.Classes {
		sum.Offered += c.Offered
		sum.InTime += c.InTime
	}
	return sum.Attainment()
}

// Early returns the share of the offered requests that were refused before
// anything ran.
func (r *Result) Early() float64 {
	return r.share(func(c *ClassResult) int { return c.RefusedEarly })
}

// Late returns the share of the offered requests that missed after something ran.
func (r *Result) Late() float64 {
	return r.share(func(c *ClassResult) int { return c.Missed })
}

func (r *Result) share(part func(*ClassResult) int) float64 {
	var n, offered int
	for _, c := range r.Classes {
		n += part(c)
		offered += c.Offered
	}
	return float64(n) / float64(max(offered, 1))
}

// CacheHits returns the share of the prompt tokens that engines had cached.
func (r *Result) CacheHits() float64 {
	var input, cached int64
	for _, s := range r.Stages {
		cached += s.CachedTokens
		input += s.InputTokens
	}
	return float64(cached) / float64(max(input, 1))
}

// Money returns the cost in money per request in time.
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

// jainIndex returns Jain's fairness index, which is 1 if all values are equal.
func jainIndex(values []float64) float64 {
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

// maxMinShares divides the capacity among the demands by max-min fairness: no
// demand gets more than it asks for, and what it leaves is split equally among the
// others.
func maxMinShares(capacity float64, demands []float64) []float64 {
	allocated := make([]float64, len(demands))
	for range demands {
		var unsatisfied int
		for i := range demands {
			if allocated[i] < demands[i] {
				unsatisfied++
			}
		}
		if unsatisfied == 0 || capacity <= 1e-9 {
			break
		}
		part := capacity / float64(unsatisfied)
		for i := range demands {
			extra := math.Min(part, demands[i]-allocated[i])
			allocated[i] += extra
			capacity -= extra
		}
	}
	return allocated
}
