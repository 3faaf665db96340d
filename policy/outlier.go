package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is how much longer than on its peers a call must take to
	// count as slow.
	slowFactor = 2.5
	// restoreFactor is how much slower than its peers an upstream may be
	// before the score counts it.
	restoreFactor = 2.0
	// badShare is the share of slow or failed calls, over that of its peers,
	// at which an upstream is set aside.
	badShare = 0.5
	// minEvidence is how many calls must speak before that.
	minEvidence = 4.0
	// goodProbesNeeded is how many probes in a row must go well.
	goodProbesNeeded = 2
	// mostProbeWait bounds the doubling wait between failed probes.
	mostProbeWait = 10 * time.Second
	// allClasses stands for every class in the set-aside list.
	allClasses = ""
	// minPeers is the least size of a pool whose members can be compared.
	minPeers = 3
)

// setAside reports whether the upstream gets no calls of the class.
func (s *server) setAside(class string) bool {
	return len(s.out) > 0 && (s.out[allClasses] || s.out[class])
}

// excess is how much slower than its peers the upstream is, beyond what the
// factor allows.
func (s *server) excess(p *pool) float64 {
	if p.medianRatio <= 0 {
		return 0
	}
	return max(s.ratio/p.medianRatio-restoreFactor, 0)
}

// judge compares the upstreams of a pool with each other, and sets aside
// those that are slow or fail much more than the rest, up to the pool's bound.
func (p *pool) judge(now time.Time) {
	p.fade(now)
	if len(p.order) < minPeers {
		return
	}
	ratios := make([]float64, 0, len(p.order))
	evidence := make([]map[string]Evidence, 0, len(p.order))
	for _, s := range p.order {
		ratios = append(ratios, s.ratio)
		evidence = append(evidence, s.evidenceOf(now, p))
	}
	p.medianRatio = median(ratios)
	usual := usualShares(evidence)
	room := p.maxOut() - p.countOut()
	for i, s := range p.order {
		if room <= 0 {
			break
		}
		if len(s.out) == 0 && s.judgeOne(evidence[i], usual) {
			room--
		}
	}
	p.bringBack()
}

// usualShares returns the median share of bad calls by class. It is nothing to
// hold against one upstream.
func usualShares(evidence []map[string]Evidence) map[string]float64 {
	shares := make(map[string][]float64)
	for _, byClass := range evidence {
		for class, e := range byClass {
			shares[class] = append(shares[class], (e.Failed+e.Slow)/max(e.Calls, 1))
		}
	}
	usual := make(map[string]float64, len(shares))
	for class, all := range shares {
		// Nothing is known against the upstreams that are not in the list.
		innocent := make([]float64, len(evidence)-len(all))
		usual[class] = median(append(all, innocent...))
	}
	return usual
}

// judgeOne sets the upstream aside for the classes that do badly on it, or
// for all when it is slow for all together.
func (s *server) judgeOne(byClass map[string]Evidence, usual map[string]float64) bool {
	var total Evidence
	var most float64
	for class, e := range byClass {
		total.add(e)
		most = max(most, usual[class])
		if e.Calls >= minEvidence && (e.Failed+e.Slow)/e.Calls > badShare+usual[class] {
			s.out[class] = true
		}
	}
	if total.Calls >= minEvidence && total.Slow/total.Calls > badShare+most {
		s.out[allClasses] = true
	}
	s.goodProbes = 0
	return len(s.out) > 0
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
// idempotent first attempts test. Hosts take turns by waiting longer the more
// they are.
func (c *Core) probeDue(now time.Time, p *pool, call *Call) *server {
	r := call.Request
	if !c.settings.Outliers || !r.Idempotent || r.attempts[call.Stage] > 0 {
		return nil
	}
	for _, s := range p.order {
		if !s.setAside(r.Class.Name) || s.inFlight() > 0 || !p.usable(s, call) {
			continue
		}
		s.probeWait = max(s.probeWait, c.settings.ProbeEvery)
		if now.Sub(s.lastProbe) >= s.probeWait*time.Duration(p.hosts) {
			return s
		}
	}
	return nil
}

// judgeProbe brings an upstream back after enough good calls in a row, and
// waits longer after a bad one.
func (s *server) judgeProbe(now time.Time, ratio float64, failed bool) {
	if len(s.out) == 0 {
		return
	}
	if failed || ratio > slowFactor {
		s.goodProbes = 0
		s.probeWait = min(2*s.probeWait, mostProbeWait)
		return
	}
	s.goodProbes++
	if s.goodProbes < goodProbesNeeded {
		return
	}
	clear(s.out)
	clear(s.byClass)
	s.ratio = 1
	s.probeWait = 0
	s.restored = now
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
