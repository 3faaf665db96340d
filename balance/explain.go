package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/explain"
)

// latencyEstimate is what the score of an upstream follows from if none reports its load.
type latencyEstimate struct {
	latency time.Duration
	load    float64 // requests of this host for each slot, with the one to place
	errors  float64 // error rate
	remote  bool
}

func (e latencyEstimate) score() float64 {
	score := e.latency.Seconds() * (1 + e.load) * (1 + errorFactor*e.errors*e.errors)
	if e.remote {
		score *= remoteFactor
	}
	return score
}

func (n Need) estimateByLatency(s instance.Status, lowest time.Duration) latencyEstimate {
	return latencyEstimate{
		latency: expectedLatency(s, lowest), load: float64(s.InFlight+1) / float64(max(s.Slots, 1)),
		errors: s.ErrorRate, remote: s.DataCentre != n.PreferredDataCentre,
	}
}

// ExplainUpstream returns what ChooseUpstream chooses by, without the random part.
func ExplainUpstream(all []instance.Status, need Need) explain.Choice {
	candidates := usable(all, need)
	estimate, known := need.estimateByWork(candidates)
	lowest := lowestLatency(candidates)
	return choice(all, candidates, need, func(s instance.Status) []explain.Figure {
		if known {
			e := estimate(s)
			return []explain.Figure{
				{Name: "expected_ms", Value: e.expected() * 1000}, {Name: "outstanding_per_slot", Value: e.load}, explain.Ms("cost_ms", e.cost),
				{Name: "pace", Value: e.pace}, {Name: "slowness", Value: e.slowness}, {Name: "report_weight", Value: e.weight},
				{Name: "error_rate", Value: e.errors}, explain.Flag("other_data_centre", e.remote),
			}
		}
		e := need.estimateByLatency(s, lowest)
		score := e.score()
		if s.Cold {
			score *= coldFactor
		}
		return []explain.Figure{
			{Name: "score", Value: score}, explain.Ms("latency_ms", e.latency), {Name: "load_per_slot", Value: e.load},
			{Name: "error_rate", Value: e.errors}, explain.Flag("other_data_centre", e.remote), explain.Flag("cold", s.Cold),
		}
	})
}

// ExplainEngine returns what ChooseEngine chooses by, without the random part. The first home
// engine that may take the prompt goes before the others.
func ExplainEngine(all []instance.Status, need Need) explain.Choice {
	candidates := warmIfAny(usable(all, need))
	homes := need.homes(candidates)
	homeRank := func(s instance.Status) int {
		if at := slices.IndexFunc(homes, func(h instance.Status) bool { return h.ID == s.ID }); at >= 0 {
			return at
		}
		return maxHomes
	}
	return choice(all, candidates, need, func(s instance.Status) []explain.Figure {
		score, home := need.engineScore(s), homeRank(s) < maxHomes
		if home {
			score = float64(homeRank(s) - maxHomes) // before all others
		}
		return []explain.Figure{
			{Name: "score", Value: score}, explain.Flag("home", home), {Name: "tokens", Value: float64(s.Tokens)},
			{Name: "error_rate", Value: s.ErrorRate}, explain.Flag("cold", s.Cold),
		}
	})
}

// choice describes the candidates, the lowest first figure first, and the upstreams that are
// none.
func choice(all, candidates []instance.Status, need Need, figures func(instance.Status) []explain.Figure) (c explain.Choice) {
	c = explain.NewChoice()
	chosen := make(map[instance.ID]bool, len(candidates))
	for _, s := range candidates {
		chosen[s.ID] = true
		c.Candidates = append(c.Candidates, explain.NewCandidate(s, figures(s)...))
	}
	slices.SortStableFunc(c.Candidates, func(a, b explain.Candidate) int { return cmp.Compare(a.Figures[0].Value, b.Figures[0].Value) })
	for _, s := range all {
		switch {
		case chosen[s.ID] || !s.HasVersion(need.Version) || slices.Contains(need.Tried, s.ID):
		case s.Ejected:
			c.Excluded = append(c.Excluded, explain.ExcludeEjected(s))
		default:
			c.Excluded = append(c.Excluded, explain.Exclude(s, "cold while others are warm"))
		}
	}
	return c
}
