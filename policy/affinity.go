package policy

import (
	"math"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/zeebo/xxh3"
)

const (
	// cacheLoadSlack is how many calls above the pool's mean load an engine may
	// have and still be preferred for its cached prefix.
	// cacheLoadSlackCostFirst applies to classes whose objective is cost.
	cacheLoadSlack          = 1.0
	cacheLoadSlackCostFirst = 2.0
	// homeHeadroom is how much more capacity the homes of a prefix have than
	// its share of the prompts needs.
	homeHeadroom = 1.25
	// maxHomes bounds the home engines of a prefix. A prefix that needs more is
	// balanced by load alone.
	maxHomes = 8
	// popularityHalfLife is the half-life of the prompt counts.
	popularityHalfLife = 10 * time.Second
	// popularityPrior is added to the counts of a prefix and of all prompts, so
	// that a prefix counts as popular until other prompts were seen.
	popularityPrior = 0.5
)

// decayingCount counts prompts with exponential decay.
type decayingCount struct {
	count float64
	at    time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.count = c.value(now) + 1
	c.at = now
}

func (c *decayingCount) value(now time.Time) float64 {
	if c.at.IsZero() {
		return 0
	}
	return c.count * math.Exp2(-float64(now.Sub(c.at))/float64(popularityHalfLife))
}

// cachedUpstream returns a home engine of the call's prefix, which should have
// it cached, or nil when every home is set aside, slow, or above the pool's
// mean load by more than the slack. All hosts find the same homes by rendezvous
// hashing, without communication. The number of homes grows with the prefix's
// share of the prompts, so that a popular prefix doesn't overload one engine
// even when load reports are old.
func (c *Core) cachedUpstream(now time.Time, p *pool, call *Call) *upstreamState {
	r := call.Request
	if !c.settings.Affinity || r.Stages[call.Stage].Kind != document.KindGenerate || len(r.Prefix) == 0 {
		return nil
	}
	digest, share := p.longestSharedPrefix(now, r.Prefix)
	needed := int(math.Ceil(share * float64(len(p.upstreams)) * homeHeadroom))
	if needed > maxHomes {
		return nil
	}
	slack := cacheLoadSlack
	if r.Class.Objective == document.ObjectiveCost {
		slack = cacheLoadSlackCostFirst
	}
	maxLoad := p.meanLoad() + slack
	// The additional home takes the calls that the others can't.
	homes := p.homes(digest, needed+1)
	needed = min(needed, len(homes))
	first := c.rand.IntN(needed)
	for i := range homes {
		s := homes[i]
		if i < needed {
			s = homes[(first+i)%needed]
		}
		if !c.canAccept(p, s, call) || s.excessSlowness(p) > 0 {
			continue
		}
		if float64(s.inFlight())+p.loadFromOthers(now, s) <= maxLoad {
			return s
		}
	}
	return nil
}

// meanLoad returns the mean load of the pool's upstreams, including calls of
// other hosts.
func (p *pool) meanLoad() float64 {
	return float64(p.inFlight)/float64(len(p.upstreams)) + p.meanLoadOfOthers
}

// homes returns up to n engines with the highest hashes for a prefix, highest
// first.
func (p *pool) homes(digest uint64, n int) []*upstreamState {
	best := make([]*upstreamState, 0, n+1)
	hashes := make([]uint64, 0, n+1)
	for _, s := range p.upstreams {
		h := xxh3.HashStringSeed(string(s.ID), digest)
		if len(best) == n && h <= hashes[n-1] {
			continue
		}
		at := len(best)
		for at > 0 && hashes[at-1] < h {
			at--
		}
		best = slices.Insert(best, at, s)
		hashes = slices.Insert(hashes, at, h)
		if len(best) > n {
			best, hashes = best[:n], hashes[:n]
		}
	}
	return best
}

// longestSharedPrefix returns the longest prefix that an earlier prompt had
// too, or else the shortest one, and its share of the prompts. It also counts
// the prompt under all its prefixes.
func (p *pool) longestSharedPrefix(now time.Time, prefix []uint64) (digest uint64, share float64) {
	digest = prefix[0]
	for _, d := range prefix {
		seen, ok := p.prefixes.Get(d)
		if ok {
			digest = d
		} else {
			seen = &decayingCount{}
			p.prefixes.Add(d, seen)
		}
		seen.add(now)
	}
	p.prompts.add(now)
	seen, _ := p.prefixes.Get(digest)
	return digest, (seen.value(now) + popularityPrior) / (p.prompts.value(now) + popularityPrior)
}
