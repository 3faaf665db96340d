package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is how much slower than its peers an upstream may be before
	// it is set aside.
	slowFactor = 2.0
	// restoreFactor is how near to its peers it must come back.
	restoreFactor = 1.5
	// errorShare is the share of errors, over that of its peers, at which an
	// upstream is set aside.
	errorShare = 0.4
	// goodProbesNeeded is how many probes in a row must go well.
	goodProbesNeeded = 3
	// allClasses stands for every class in the set-aside list.
	allClasses = ""
	// minPeers is the least size of a pool whose members can be compared.
	minPeers = 3
)

// setAside reports whether the upstream gets no calls of the class.
func (s *server) setAside(class string) bool {
	return len(s.out) > 0 && (s.out[allClasses] || s.out[class])
}

// slowness is the moving mean ratio, raised by calls that run for long.
func (s *server) slowness(now time.Time) float64 {
	worst := s.all.ratio
	if s.all.samples == 0 {
		worst = 1
	}
	for _, a := range s.running {
		pending := a.ratio(now.Sub(a.Started))
		worst = max(worst, s.all.ratio+learnRate*(pending-s.all.ratio))
	}
	return worst
}

// excess is how much slower than its peers the upstream is, over one half.
func (s *server) excess(p *pool) float64 {
	if p.medianRatio <= 0 {
		return 0
	}
	return max(s.all.ratio/p.medianRatio-restoreFactor, 0)
}

// judge compares the upstreams of a pool with each other, and sets aside
// those that are much slower or fail much more than the median, up to the
// pool's bound.
func (p *pool) judge(now time.Time) {
	if len(p.order) < minPeers {
		return
	}
	slowness := make([]float64, 0, len(p.order))
	for _, s := range p.order {
		slowness = append(slowness, s.slowness(now))
	}
	p.medianRatio = median(slices.Clone(slowness))
	room := p.maxOut() - p.countOut()
	for i, s := range p.order {
		room -= p.judgeOne(s, slowness[i], room)
	}
	p.bringBack()
}

// judgeOne returns how many upstreams it newly set aside, 0 or 1.
func (p *pool) judgeOne(s *server, slowness float64, room int) int {
	if room <= 0 || len(s.out) > 0 {
		return 0
	}
	if s.all.samples >= minSamples && slowness > slowFactor*max(p.medianRatio, 0.5) {
		s.out[allClasses] = true
	}
	for class, h := range s.byClass {
		if h.samples >= minSamples && h.errors > errorShare+p.medianErrors(class) {
			s.out[class] = true
		}
	}
	if len(s.out) == 0 {
		return 0
	}
	s.goodProbes = 0
	return 1
}

func (p *pool) countOut() int {
	var n int
	for _, s := range p.order {
		if len(s.out) > 0 {
			n++
		}
	}
	return n
}

func (p *pool) medianErrors(class string) float64 {
	shares := make([]float64, 0, len(p.order))
	for _, s := range p.order {
		if h := s.byClass[class]; h != nil {
			shares = append(shares, h.errors)
		}
	}
	return median(shares)
}

// maxOut is how many upstreams of the pool may be set aside.
func (p *pool) maxOut() int {
	return int(math.Floor(p.terms.MaxSetAside * float64(len(p.order))))
}

// bringBack ends what the pool can no longer spare, when the pool or its
// bound has shrunk.
func (p *pool) bringBack() {
	over := p.countOut() - p.maxOut()
	for _, s := range p.order {
		if over <= 0 {
			return
		}
		if len(s.out) > 0 {
			clear(s.out)
			over--
		}
	}
}

// probeDue returns an upstream that is set aside and due for a test call. Only
// idempotent first attempts test.
func (c *Core) probeDue(now time.Time, p *pool, call *Call) *server {
	r := call.Request
	if !c.settings.Outliers || !r.Idempotent || r.attempts[call.Stage] > 0 {
		return nil
	}
	for _, s := range p.order {
		if !s.setAside(r.Class.Name) || now.Sub(s.lastProbe) < c.settings.ProbeEvery {
			continue
		}
		if s.inFlight() == 0 && p.usable(s, call) {
			return s
		}
	}
	return nil
}

// judgeProbe brings an upstream back after enough good calls in a row.
func (s *server) judgeProbe(ratio float64, failed bool) {
	if len(s.out) == 0 {
		return
	}
	if failed || ratio > slowFactor {
		s.goodProbes = 0
		return
	}
	s.goodProbes++
	if s.goodProbes < goodProbesNeeded {
		return
	}
	clear(s.out)
	clear(s.byClass)
	s.all = health{}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
