package policy

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// evidenceHalfLife is the half-life of the counts.
	evidenceHalfLife = 2 * time.Second
	// remoteEvidenceTTL is how long a report from another host is used.
	remoteEvidenceTTL = 3 * time.Second
	// minKeptEvidence is the count below which evidence is dropped.
	minKeptEvidence = 0.05
)

// Evidence counts the recent calls of one class on an upstream. The counts
// decay exponentially and so are fractional.
type Evidence struct {
	Class  string  `cbor:"1,keyasint"`
	Calls  float64 `cbor:"2,keyasint"`
	Failed float64 `cbor:"3,keyasint"`
	// Slow counts the calls that took much longer than on the pool's other
	// upstreams.
	Slow float64 `cbor:"4,keyasint"`
}

func (e *Evidence) add(other Evidence) {
	e.Calls += other.Calls
	e.Failed += other.Failed
	e.Slow += other.Slow
}

func (e *Evidence) decay(factor float64) {
	e.Calls *= factor
	e.Failed *= factor
	e.Slow *= factor
}

// hasProblems reports whether there were failed or slow calls lately.
func (e *Evidence) hasProblems() bool { return e.Failed > minKeptEvidence || e.Slow > minKeptEvidence }

// remoteEvidence is the evidence that another host reported about an upstream.
type remoteEvidence struct {
	at       time.Time
	evidence []Evidence
}

// recordCall records the end of a call of this host.
func (s *upstreamState) recordCall(now time.Time, p *pool, class string, slowness float64, failed bool) {
	e := s.localEvidence[class]
	if e == nil {
		e = &Evidence{Class: class}
		s.localEvidence[class] = e
	}
	e.Calls++
	switch {
	case failed:
		e.Failed++
	case slowness > slowFactor*max(p.medianSlowness, 1):
		e.Slow++
	}
	if !failed {
		s.meanSlowness += averageWeight * (slowness - s.meanSlowness)
	}
	s.recordProbe(now, slowness, failed)
}

// decayEvidence decays this host's own evidence on all upstreams, and drops
// evidence and reports of other hosts that are too old.
func (p *pool) decayEvidence(now time.Time) {
	elapsed := now.Sub(p.evidenceDecayedAt)
	first := p.evidenceDecayedAt.IsZero()
	p.evidenceDecayedAt = now
	if first {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(evidenceHalfLife))
	for _, s := range p.upstreams {
		for class, e := range s.localEvidence {
			e.decay(factor)
			if e.Calls < minKeptEvidence {
				delete(s.localEvidence, class)
			}
		}
		for from, remote := range s.remoteEvidence {
			if now.Sub(remote.at) > remoteEvidenceTTL {
				delete(s.remoteEvidence, from)
			}
		}
	}
}

// totalEvidence sums the evidence of this and the other hosts by class. Calls
// that are still running and already slow count as slow.
func (s *upstreamState) totalEvidence(now time.Time, p *pool) map[string]Evidence {
	if len(s.localEvidence) == 0 && len(s.remoteEvidence) == 0 && len(s.running) == 0 {
		return nil
	}
	sum := make(map[string]Evidence, len(s.localEvidence))
	add := func(e Evidence) {
		total := sum[e.Class]
		total.add(e)
		sum[e.Class] = total
	}
	for _, e := range s.localEvidence {
		add(*e)
	}
	for _, remote := range s.remoteEvidence {
		if remote.at.Before(s.restoredAt) {
			continue
		}
		for _, e := range remote.evidence {
			add(e)
		}
	}
	for _, a := range s.running {
		if a.slowness(now.Sub(a.Started)) > slowFactor*max(p.medianSlowness, 1) {
			add(Evidence{Class: a.Call.Request.Class.Name, Calls: 1, Slow: 1})
		}
	}
	return sum
}

// Suspicion is a host's own evidence of problems with one upstream, to be sent
// to the other hosts.
type Suspicion struct {
	Pool     string      `cbor:"1,keyasint"`
	Upstream upstream.ID `cbor:"2,keyasint"`
	Evidence []Evidence  `cbor:"3,keyasint"`
}

// Suspicions returns the upstreams on which this host's own calls failed or
// were slow lately.
func (c *Core) Suspicions() []Suspicion {
	var all []Suspicion
	for _, p := range c.pools {
		for _, s := range p.upstreams {
			if problems := s.localProblems(); len(problems) > 0 {
				all = append(all, Suspicion{Pool: p.name, Upstream: s.ID, Evidence: problems})
			}
		}
	}
	return all
}

func (s *upstreamState) localProblems() []Evidence {
	var problems []Evidence
	for _, e := range s.localEvidence {
		if e.hasProblems() {
			problems = append(problems, *e)
		}
	}
	return problems
}

// RecordSuspicion records a suspicion of another host.
func (c *Core) RecordSuspicion(now time.Time, from host.ID, suspicion Suspicion) {
	p := c.pools[suspicion.Pool]
	if p == nil {
		return
	}
	if s := p.byID[suspicion.Upstream]; s != nil {
		s.remoteEvidence[from] = remoteEvidence{at: now, evidence: suspicion.Evidence}
	}
}
