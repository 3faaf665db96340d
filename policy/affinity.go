package policy

import (
	"math"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/zeebo/xxh3"
)

const (
	// cachedSlack and cachedSlackCost are how many calls over the mean an
	// engine that should have the prefix may hold and still be preferred; the
	// second is for classes that put cost first.
	cachedSlack     = 1.0
	cachedSlackCost = 2.0
	// homeSlack is how much more room a prefix's homes have than it needs.
	homeSlack = 1.25
	// mostHomes bounds the homes of one prefix: one that needs more is spread
	// like any other call.
	mostHomes = 8
	// popularityHalfLife is how fast old prompts stop counting.
	popularityHalfLife = 10 * time.Second
	// popularityPrior is how many prompts of its own a prefix is assumed to
	// have had, so that one counts as hot until others were seen.
	popularityPrior = 0.5
)

// popularity is a fading count of prompts.
type popularity struct {
	count float64
	at    time.Time
}

func (u *popularity) add(now time.Time) {
	u.count = u.value(now) + 1
	u.at = now
}

func (u *popularity) value(now time.Time) float64 {
	if u.at.IsZero() {
		return 0
	}
	return u.count * math.Exp2(-float64(now.Sub(u.at))/float64(popularityHalfLife))
}

// cached returns an engine that should have the call's prefix, unless it is
// busier than the mean by more than the slack. Every host finds the same
// engines by rendezvous hashing, without telling each other. A prefix has as
// many homes as its share of the prompts needs, so that a hot prefix makes no
// hot engine even where load reports are old.
func (c *Core) cached(now time.Time, p *pool, call *Call) *server {
	r := call.Request
	if !c.settings.Affinity || r.Stages[call.Stage].Kind != document.KindGenerate || len(r.Prefix) == 0 {
		return nil
	}
	digest, share := p.sharedPrefix(now, r.Prefix)
	needed := int(math.Ceil(share * float64(len(p.order)) * homeSlack))
	if needed > mostHomes {
		return nil
	}
	slack := cachedSlack
	if r.Class.Weigh == document.WeighCost {
		slack = cachedSlackCost
	}
	most := p.meanLoad() + slack
	// One more home takes what the others can't.
	homes := p.homes(digest, needed+1)
	needed = min(needed, len(homes))
	first := c.rand.IntN(needed)
	for i := range homes {
		s := homes[i]
		if i < needed {
			s = homes[(first+i)%needed]
		}
		if !c.mayHold(p, s, call) || s.excess(p) > 0 {
			continue
		}
		if float64(s.inFlight())+p.othersOn(now, s) <= most {
			return s
		}
	}
	return nil
}

// meanLoad is the mean load of the pool's upstreams, with that of other hosts.
func (p *pool) meanLoad() float64 {
	return float64(p.inFlight)/float64(len(p.order)) + p.meanOthers
}

// homes returns up to n engines with the highest hashes for a prefix, highest
// first.
func (p *pool) homes(digest uint64, n int) []*server {
	best := make([]*server, 0, n+1)
	hashes := make([]uint64, 0, n+1)
	for _, s := range p.order {
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

// sharedPrefix returns the longest prefix that an earlier prompt had too, or
// the shortest, and its share of the prompts. It counts them all.
func (p *pool) sharedPrefix(now time.Time, prefix []uint64) (digest uint64, share float64) {
	digest = prefix[0]
	for _, d := range prefix {
		seen, ok := p.prefixes.Get(d)
		if ok {
			digest = d
		} else {
			seen = &popularity{}
			p.prefixes.Add(d, seen)
		}
		seen.add(now)
	}
	p.prompts.add(now)
	seen, _ := p.prefixes.Get(digest)
	return digest, (seen.value(now) + popularityPrior) / (p.prompts.value(now) + popularityPrior)
}
