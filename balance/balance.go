// Package balance chooses the upstream for a request. It does no I/O and takes
// its randomness from the caller.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
)

// Weights of the choice.
const (
	// remoteFactor multiplies the score of an upstream in another data centre.
	// It is small because the added delay is small, but traffic between data
	// centres costs money.
	remoteFactor = 1.15
	// defaultLatency is used while the latency of no upstream is known.
	defaultLatency = 20 * time.Millisecond
	// latencyHalfLife is after how many requests to other upstreams a measured latency
	// counts half. An upstream that stays slow gets a few requests in a hundred.
	latencyHalfLife = 16
	// errorFactor sets how strongly errors raise the score: an upstream that
	// fails every call counts as 1 + errorFactor times as loaded.
	errorFactor = 20
	// jitter is the largest random increase of a score, as a share of it. It
	// keeps hosts with the same view from all choosing the same upstream.
	jitter = 0.1
	// homeLoadFactor is the ratio to the mean load up to which a prompt goes to
	// a home engine of its prefix.
	homeLoadFactor = 1.6
	// homeTokenAllowance is added to the bound from homeLoadFactor, so that a
	// home engine with little load is never passed over. It is about the size of
	// the largest common prompts.
	homeTokenAllowance = 24000
	// maxHomes is the number of home engines of a prefix. When none of them can
	// take a prompt, it goes to the least loaded engine.
	maxHomes = 3
)

// Need describes what a request requires of its upstream.
type Need struct {
	// Prefix identifies the part of the prompt that engines may have cached; 0
	// if none.
	Prefix uint64
	// PreferredDataCentre is the data centre whose upstreams are favoured: the
	// scores of others are multiplied by remoteFactor.
	PreferredDataCentre host.DataCentre
	// Tried are upstreams that must not be chosen again.
	Tried []instance.ID
	// Version is the software version that the upstream must have; "" means any.
	Version string
	Work    Work
}

// ChooseUpstream chooses an upstream by the expected time of the request there where
// upstreams report their load, otherwise by latency, load, errors and data centre.
// The upstreams serve requests in a fixed number of slots. It returns false if
// there is none to choose.
func ChooseUpstream(all []instance.Status, need Need, random *rand.Rand) (instance.Status, bool) {
	candidates := usable(all, need)
	if estimate, known := need.estimateByWork(candidates); known {
		return lowestScore(candidates, func(s instance.Status) float64 {
			return random.ExpFloat64() * math.Pow(estimate(s).expected(), choiceSharpness)
		})
	}
	lowest := lowestLatency(candidates)
	return lowestScore(candidates, func(s instance.Status) float64 {
		score := need.estimateByLatency(s, lowest).score()
		if s.Cold && random.IntN(coldTrial) > 0 {
			score *= coldFactor
		}
		return score * (1 + jitter*random.Float64())
	})
}

// expectedLatency returns the latency of an upstream as far as it is known. The measured one
// loses its weight while the host sends its requests to others, so that an upstream that was
// slow once is tried again.
func expectedLatency(s instance.Status, lowest time.Duration) time.Duration {
	if s.Latency == 0 {
		return lowest
	}
	weight := math.Exp2(-float64(s.SinceAnswer) / latencyHalfLife)
	return lowest + time.Duration(weight*float64(s.Latency-lowest))
}

// lowestLatency returns the latency that an upstream without an answer is taken to have:
// that of the fastest one, or else it would get no requests beside upstreams that are
// faster than any default.
func lowestLatency(all []instance.Status) time.Duration {
	var lowest time.Duration
	for _, s := range all {
		if s.Latency > 0 && (lowest == 0 || s.Latency < lowest) {
			lowest = s.Latency
		}
	}
	if lowest == 0 {
		return defaultLatency
	}
	return lowest
}

// ChooseEngine chooses a model server. It prefers the home engines of the
// prompt's prefix, in order, and skips those that are overloaded or fail often.
// Otherwise it chooses the least loaded engine. It chooses no cold engine unless all are cold.
func ChooseEngine(all []instance.Status, need Need, random *rand.Rand) (instance.Status, bool) {
	candidates := warmIfAny(usable(all, need))
	if len(candidates) == 0 {
		return instance.Status{}, false
	}
	if homes := need.homes(candidates); len(homes) > 0 {
		return homes[0], true
	}
	return lowestScore(candidates, func(s instance.Status) float64 {
		return need.engineScore(s) * (1 + jitter*random.Float64())
	})
}

// homes returns the home engines of the prompt that are neither overloaded nor fail often, in
// order.
func (n Need) homes(candidates []instance.Status) (homes []instance.Status) {
	if n.Prefix == 0 {
		return nil
	}
	total := 0.0
	for _, s := range candidates {
		total += engineLoad(s)
	}
	limit := homeTokenAllowance + homeLoadFactor*total/float64(len(candidates))
	for _, home := range prefixHomes(candidates, n.Prefix) {
		if engineLoad(home) <= limit && home.ErrorRate < 0.3 {
			homes = append(homes, home)
		}
	}
	return homes
}

// engineLoad returns the tokens in flight at an engine, raised by its errors.
func engineLoad(s instance.Status) float64 {
	return float64(s.Tokens) * (1 + errorFactor*s.ErrorRate*s.ErrorRate)
}

// engineScore returns the score of an engine that is chosen by its load.
func (n Need) engineScore(s instance.Status) float64 {
	score := engineLoad(s) + homeTokenAllowance/4
	if s.DataCentre != n.PreferredDataCentre {
		score *= remoteFactor
	}
	return score
}

// usable returns the healthy upstreams of the required version that were not tried, or
// the ejected ones if none is healthy.
func usable(all []instance.Status, need Need) []instance.Status {
	var healthy, ejected []instance.Status
	for _, s := range all {
		switch {
		case slices.Contains(need.Tried, s.ID) || !s.HasVersion(need.Version):
		case s.Ejected:
			ejected = append(ejected, s)
		default:
			healthy = append(healthy, s)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return ejected
}

// prefixHomes returns the home engines of a prefix by rendezvous hashing. All
// hosts find the same homes, and few prefixes change homes when engines come
// and go.
func prefixHomes(candidates []instance.Status, prefix uint64) []instance.Status {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b instance.Status) int {
		x, y := xxh3.HashStringSeed(string(a.ID), prefix), xxh3.HashStringSeed(string(b.ID), prefix)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	return sorted[:min(maxHomes, len(sorted))]
}

// lowestScore returns the candidate with the lowest score.
func lowestScore(candidates []instance.Status, score func(instance.Status) float64) (instance.Status, bool) {
	var best instance.Status
	bestScore := math.Inf(1)
	for _, s := range candidates {
		if current := score(s); current < bestScore {
			best, bestScore = s, current
		}
	}
	return best, len(candidates) > 0
}
