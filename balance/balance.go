// Package balance chooses the upstream for a request. It does no I/O and takes
// randomness as an input.
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
	// farFactor is how much more an upstream in another data centre counts as
	// loaded: its bytes are priced, its delay is small.
	farFactor = 1.15
	// guessedLatency stands for a latency that is not known yet.
	guessedLatency = 20 * time.Millisecond
	// errorFactor is how much an upstream that fails every call counts as
	// loaded.
	errorFactor = 20
	// jitter is the share by which scores are spread, so that hosts with the
	// same view do not all choose the same upstream.
	jitter = 0.1
	// homeOverload is the ratio to the mean load up to which a prompt goes to
	// its home engine.
	homeOverload = 1.6
	// homeSlackTokens is the load that an engine may always have: about one
	// prompt of the largest common size.
	homeSlackTokens = 24000
	// homes is how many engines a prefix may have before it goes anywhere.
	homes = 3
)

// Need is what a request asks of its upstream.
type Need struct {
	// Prefix names the part of the prompt that engines may have cached; 0 for
	// none.
	Prefix uint64
	// Near is the data centre that is preferred.
	Near host.DataCentre
	// Tried are upstreams that are not to be chosen.
	Tried []instance.ID
}

// Plain chooses an upstream that runs requests in slots. It returns false when
// there is none.
func Plain(all []instance.Status, need Need, random *rand.Rand) (instance.Status, bool) {
	return lowest(usable(all, need), func(s instance.Status) float64 {
		latency := s.Latency
		if latency == 0 {
			latency = guessedLatency
		}
		load := float64(s.InFlight+1) / float64(max(s.Slots, 1))
		score := latency.Seconds() * (1 + load) * (1 + errorFactor*s.ErrorRate*s.ErrorRate)
		if s.DataCentre != need.Near {
			score *= farFactor
		}
		return score * (1 + jitter*random.Float64())
	})
}

// Engine chooses a model server: the home of the prompt's prefix unless it has
// more than its share of the load, then the next home, then the least loaded.
func Engine(all []instance.Status, need Need, random *rand.Rand) (instance.Status, bool) {
	candidates := usable(all, need)
	if len(candidates) == 0 {
		return instance.Status{}, false
	}
	load := func(s instance.Status) float64 {
		return float64(s.Tokens) * (1 + errorFactor*s.ErrorRate*s.ErrorRate)
	}
	total := 0.0
	for _, s := range candidates {
		total += load(s)
	}
	limit := homeSlackTokens + homeOverload*total/float64(len(candidates))
	if need.Prefix != 0 {
		for _, home := range ranked(candidates, need.Prefix) {
			if load(home) <= limit && home.ErrorRate < 0.3 {
				return home, true
			}
		}
	}
	return lowest(candidates, func(s instance.Status) float64 {
		score := load(s) + homeSlackTokens/4
		if s.DataCentre != need.Near {
			score *= farFactor
		}
		return score * (1 + jitter*random.Float64())
	})
}

// usable are the upstreams that may be chosen: healthy ones, or any if none is.
func usable(all []instance.Status, need Need) []instance.Status {
	var healthy, others []instance.Status
	for _, s := range all {
		switch {
		case slices.Contains(need.Tried, s.ID):
		case s.Ejected:
			others = append(others, s)
		default:
			healthy = append(healthy, s)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return others
}

// ranked are the first homes of a prefix by rendezvous hashing: every host
// finds the same, and few prefixes move when engines come and go.
func ranked(candidates []instance.Status, prefix uint64) []instance.Status {
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
	return sorted[:min(homes, len(sorted))]
}

// lowest returns the candidate with the lowest score.
func lowest(candidates []instance.Status, score func(instance.Status) float64) (instance.Status, bool) {
	var best instance.Status
	bestScore := math.Inf(1)
	for _, s := range candidates {
		if now := score(s); now < bestScore {
			best, bestScore = s, now
		}
	}
	return best, len(candidates) > 0
}
