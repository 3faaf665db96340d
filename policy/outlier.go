package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is how many times longer than expected a call must take to
	// count as slow. In a pool whose median slowness is above 1, it is relative
	// to the median.
	slowFactor = 2.5
	// excessFactor is how many times slower than the median an upstream may be
	// before its score gets worse.
	excessFactor = 2.0
	// setAsideShare is by how much the share of slow and failed calls must
	// exceed the median of the pool for an upstream to be set aside.
	setAsideShare = 0.5
	// minEvidenceCalls is the number of calls needed to set an upstream aside.
	minEvidenceCalls = 4.0
	// goodProbesNeeded is the number of successful probes in a row that bring
	// an upstream back.
	goodProbesNeeded = 2
	// maxProbeWait bounds the time between probes, which doubles with each
	// failed probe.
	maxProbeWait = 10 * time.Second
	// allClasses is the key in setAsideClasses that stands for every class.
	allClasses = ""
	// minPeers is the smallest pool in which upstreams are compared.
	minPeers = 3
)

// isSetAside reports whether the upstream gets no regular calls of the class.
func (s *upstreamState) isSetAside(class string) bool {
	return len(s.setAsideClasses) > 0 && (s.setAsideClasses[allClasses] || s.setAsideClasses[class])
}

// excessSlowness returns by how much the upstream's slowness relative to the
// median exceeds excessFactor.
func (s *upstreamState) excessSlowness(p *pool) float64 {
	if p.medianSlowness <= 0 {
		return 0
	}
	return max(s.meanSlowness/p.medianSlowness-excessFactor, 0)
}

// detectOutliers compares the upstreams of a pool with each other and sets
// aside those that are slow or fail much more than the rest, up to the pool's
// bound.
func (p *pool) detectOutliers(now time.Time) {
	p.decayEvidence(now)
	if len(p.upstreams) < minPeers {
		return
	}
	slowness := make([]float64, 0, len(p.upstreams))
	evidence := make([]map[string]Evidence, 0, len(p.upstreams))
	for _, s := range p.upstreams {
		slowness = append(slowness, s.meanSlowness)
		evidence = append(evidence, s.totalEvidence(now, p))
	}
	p.medianSlowness = median(slowness)
	medianShares := medianBadShares(evidence)
	remaining := p.maxSetAside() - p.countSetAside()
	for i, s := range p.upstreams {
		if remaining <= 0 {
			break
		}
		if len(s.setAsideClasses) == 0 && s.checkOutlier(evidence[i], medianShares) {
			remaining--
		}
	}
	p.restoreOverBound()
}

// medianBadShares returns, by class, the median over the upstreams of the share
// of slow and failed calls. Problems that affect half the pool are not
// attributed to a single upstream.
func medianBadShares(evidence []map[string]Evidence) map[string]float64 {
	shares := make(map[string][]float64)
	for _, byClass := range evidence {
		for class, e := range byClass {
			shares[class] = append(shares[class], (e.Failed+e.Slow)/max(e.Calls, 1))
		}
	}
	medians := make(map[string]float64, len(shares))
	for class, reported := range shares {
		// Upstreams without evidence count as having no bad calls.
		withoutEvidence := make([]float64, len(evidence)-len(reported))
		medians[class] = median(append(reported, withoutEvidence...))
	}
	return medians
}

// checkOutlier sets the upstream aside for each class that has too many bad
// calls on it, and for all classes if it is slow over all its calls. It reports
// whether the upstream is set aside for any class.
func (s *upstreamState) checkOutlier(byClass map[string]Evidence, medianShares map[string]float64) bool {
	var total Evidence
	var highestMedian float64
	for class, e := range byClass {
		total.add(e)
		highestMedian = max(highestMedian, medianShares[class])
		if e.Calls >= minEvidenceCalls && (e.Failed+e.Slow)/e.Calls > setAsideShare+medianShares[class] {
			s.setAsideClasses[class] = true
		}
	}
	if total.Calls >= minEvidenceCalls && total.Slow/total.Calls > setAsideShare+highestMedian {
		s.setAsideClasses[allClasses] = true
	}
	s.goodProbes = 0
	return len(s.setAsideClasses) > 0
}

func (p *pool) countSetAside() int {
	var n int
	for _, s := range p.upstreams {
		if len(s.setAsideClasses) > 0 {
			n++
		}
	}
	return n
}

// maxSetAside returns how many upstreams of the pool may be set aside.
func (p *pool) maxSetAside() int {
	return int(math.Floor(p.spec.MaxSetAside * float64(len(p.upstreams))))
}

// restoreOverBound brings upstreams back when more are set aside than the bound
// allows, because the pool or the bound has shrunk.
func (p *pool) restoreOverBound() {
	over := p.countSetAside() - p.maxSetAside()
	for _, s := range p.upstreams {
		if over <= 0 {
			return
		}
		if len(s.setAsideClasses) > 0 {
			clear(s.setAsideClasses)
			over--
		}
	}
}

// probeDue returns an upstream that is set aside and due for a probe, or nil.
// Only idempotent first attempts serve as probes. The interval is multiplied by
// the number of hosts, so that all of them together probe once per interval.
func (c *Core) probeDue(now time.Time, p *pool, call *Call) *upstreamState {
	r := call.Request
	if !c.settings.Outliers || !r.Idempotent || r.attempts[call.Stage] > 0 {
		return nil
	}
	for _, s := range p.upstreams {
		if !s.isSetAside(r.Class.Name) || s.inFlight() > 0 || !p.usable(s, call) {
			continue
		}
		s.probeWait = max(s.probeWait, c.settings.ProbeEvery)
		if now.Sub(s.lastCallAt) >= s.probeWait*time.Duration(p.hosts) {
			return s
		}
	}
	return nil
}

// recordProbe records the end of a call on an upstream that is set aside. It
// brings the upstream back after enough successful calls in a row, and doubles
// the wait for the next probe after a bad one.
func (s *upstreamState) recordProbe(now time.Time, slowness float64, failed bool) {
	if len(s.setAsideClasses) == 0 {
		return
	}
	if failed || slowness > slowFactor {
		s.goodProbes = 0
		s.probeWait = min(2*s.probeWait, maxProbeWait)
		return
	}
	s.goodProbes++
	if s.goodProbes < goodProbesNeeded {
		return
	}
	clear(s.setAsideClasses)
	clear(s.localEvidence)
	s.meanSlowness = 1
	s.probeWait = 0
	s.restoredAt = now
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
