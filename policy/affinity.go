package policy

import (
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
	// cachedHomes is how many engines one prefix is kept on.
	cachedHomes = 2
)

// cached returns the engine that should have the call's prefix, unless it is
// busier than the mean by more than the slack. Every host finds the same
// engines by rendezvous hashing, without telling each other: a prefix has a
// first and a second home, and a hot one spills over to the rest.
func (c *Core) cached(now time.Time, p *pool, call *Call) *server {
	r := call.Request
	if !c.settings.Affinity || r.Stages[call.Stage].Kind != document.KindGenerate {
		return nil
	}
	digest, ok := p.sharedPrefix(r.Prefix)
	if !ok {
		return nil
	}
	slack := cachedSlack
	if r.Class.Weigh == document.WeighCost {
		slack = cachedSlackCost
	}
	most := p.meanLoad() + slack
	for _, s := range p.homes(digest) {
		if s == nil || !c.mayHold(p, s, call) || s.excess(p) > 0 {
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

// homes returns the engines with the highest hashes for a prefix.
func (p *pool) homes(digest uint64) [cachedHomes]*server {
	var best [cachedHomes]*server
	var hashes [cachedHomes]uint64
	for _, s := range p.order {
		h := xxh3.HashStringSeed(string(s.ID), digest)
		switch {
		case best[0] == nil || h > hashes[0]:
			best[1], hashes[1] = best[0], hashes[0]
			best[0], hashes[0] = s, h
		case best[1] == nil || h > hashes[1]:
			best[1], hashes[1] = s, h
		}
	}
	return best
}

// sharedPrefix returns the longest prefix that an earlier prompt had too, or
// the shortest, and remembers them all.
func (p *pool) sharedPrefix(prefix []uint64) (digest uint64, ok bool) {
	if len(prefix) == 0 {
		return 0, false
	}
	digest = prefix[0]
	for _, d := range prefix {
		if p.prefixes.Contains(d) {
			digest = d
		}
		p.prefixes.Add(d, struct{}{})
	}
	return digest, true
}
