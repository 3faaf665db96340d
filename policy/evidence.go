package policy

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// evidenceHalfLife is how fast old calls stop counting.
	evidenceHalfLife = 2 * time.Second
	// hearsayLife is how long what another host said counts.
	hearsayLife = 3 * time.Second
	// leastEvidence is the count under which evidence is forgotten.
	leastEvidence = 0.05
)

// Evidence counts what the calls of one class told about an upstream lately.
// Counts fade, and so are no whole numbers.
type Evidence struct {
	Class  string  `cbor:"1,keyasint"`
	Calls  float64 `cbor:"2,keyasint"`
	Failed float64 `cbor:"3,keyasint"`
	// Slow counts the calls that took much longer than on its peers.
	Slow float64 `cbor:"4,keyasint"`
}

func (e *Evidence) add(other Evidence) {
	e.Calls += other.Calls
	e.Failed += other.Failed
	e.Slow += other.Slow
}

func (e *Evidence) fade(keep float64) {
	e.Calls *= keep
	e.Failed *= keep
	e.Slow *= keep
}

// bad reports whether the counts speak against the upstream at all.
func (e *Evidence) bad() bool { return e.Failed > leastEvidence || e.Slow > leastEvidence }

// hearsay is what another host said about an upstream.
type hearsay struct {
	at       time.Time
	evidence []Evidence
}

// learn takes in how a call of this host ended.
func (s *server) learn(now time.Time, p *pool, class string, ratio float64, failed bool) {
	e := s.byClass[class]
	if e == nil {
		e = &Evidence{Class: class}
		s.byClass[class] = e
	}
	e.Calls++
	switch {
	case failed:
		e.Failed++
	case ratio > slowFactor*max(p.medianRatio, 1):
		e.Slow++
	}
	if !failed {
		s.ratio += learnRate * (ratio - s.ratio)
	}
	s.judgeProbe(now, ratio, failed)
}

// fade lets the evidence of all upstreams age.
func (p *pool) fade(now time.Time) {
	elapsed := now.Sub(p.faded)
	first := p.faded.IsZero()
	p.faded = now
	if first {
		return
	}
	keep := math.Exp2(-float64(elapsed) / float64(evidenceHalfLife))
	for _, s := range p.order {
		for class, e := range s.byClass {
			e.fade(keep)
			if e.Calls < leastEvidence {
				delete(s.byClass, class)
			}
		}
		for from, said := range s.told {
			if now.Sub(said.at) > hearsayLife {
				delete(s.told, from)
			}
		}
	}
}

// evidenceOf sums what this and the other hosts know of an upstream, by class.
// Calls that still run and are late already count as slow.
func (s *server) evidenceOf(now time.Time, p *pool) map[string]Evidence {
	if len(s.byClass) == 0 && len(s.told) == 0 && len(s.running) == 0 {
		return nil
	}
	sum := make(map[string]Evidence, len(s.byClass))
	add := func(e Evidence) {
		total := sum[e.Class]
		total.add(e)
		sum[e.Class] = total
	}
	for _, e := range s.byClass {
		add(*e)
	}
	for _, said := range s.told {
		if said.at.Before(s.restored) {
			continue
		}
		for _, e := range said.evidence {
			add(e)
		}
	}
	for _, a := range s.running {
		if a.ratio(now.Sub(a.Started)) > slowFactor*max(p.medianRatio, 1) {
			add(Evidence{Class: a.Call.Request.Class.Name, Calls: 1, Slow: 1})
		}
	}
	return sum
}

// Suspicion is what this host has to tell the others about one upstream.
type Suspicion struct {
	Pool     string      `cbor:"1,keyasint"`
	Upstream upstream.ID `cbor:"2,keyasint"`
	Evidence []Evidence  `cbor:"3,keyasint"`
}

// Suspicions lists the upstreams that the host's own calls speak against.
func (c *Core) Suspicions() []Suspicion {
	var all []Suspicion
	for _, p := range c.pools {
		for _, s := range p.order {
			if told := s.ownEvidence(); len(told) > 0 {
				all = append(all, Suspicion{Pool: p.name, Upstream: s.ID, Evidence: told})
			}
		}
	}
	return all
}

func (s *server) ownEvidence() []Evidence {
	var told []Evidence
	for _, e := range s.byClass {
		if e.bad() {
			told = append(told, *e)
		}
	}
	return told
}

// Hear takes in what another host told.
func (c *Core) Hear(now time.Time, from host.ID, said Suspicion) {
	p := c.pools[said.Pool]
	if p == nil {
		return
	}
	if s := p.byID[said.Upstream]; s != nil {
		s.told[from] = hearsay{at: now, evidence: said.Evidence}
	}
}
