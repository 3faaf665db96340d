package policy

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// reportHalfLife is the age at which an upstream's load report has half the
// weight in its estimate. The pool's mean has the other half.
const reportHalfLife = 300 * time.Millisecond

// meanHalfLife is the age at which a report has half the weight in the pool's
// mean. Where reports arrive only with answers, old reports no longer describe
// the load.
const meanHalfLife = time.Second

// maxReportAge is the age from which a report is ignored in the backlog.
const maxReportAge = 3 * time.Second

// applyLoadReports applies new load reports and updates the pool's mean load
// from other hosts and its backlog.
func (p *pool) applyLoadReports(now time.Time, loadOf func(upstream.ID) (upstream.Load, bool)) {
	var others float64
	var known, fresh, queued int
	for _, s := range p.upstreams {
		load, ok := loadOf(s.ID)
		if !ok {
			continue
		}
		s.applyReport(load)
		others += s.loadOfOthers * decayFactor(now, s.reportedAt, meanHalfLife)
		known++
		if now.Sub(s.reportedAt) < maxReportAge {
			queued += s.reportedQueue
			fresh++
		}
	}
	p.meanLoadOfOthers = 0
	p.backlog = unknownBacklog
	if known > 0 {
		p.meanLoadOfOthers = others / float64(known)
	}
	if fresh > 0 {
		p.backlog = float64(queued) / float64(fresh*p.spec.Concurrency)
	}
}

func (s *upstreamState) applyReport(load upstream.Load) {
	if load.AtUnixNano == s.reportStamp {
		return
	}
	s.reportStamp = load.AtUnixNano
	s.reportedAt = time.Unix(0, load.AtUnixNano)
	own := s.inFlightAt(s.reportedAt)
	s.loadOfOthers = float64(max(0, load.InFlight+load.Queued-own))
	s.reportedQueue = load.Queued
}

// loadFromOthers estimates the current load that other hosts put on s. As a
// report ages, the estimate approaches the pool's mean, so that hosts with the
// same old report don't all choose the same upstream.
func (p *pool) loadFromOthers(now time.Time, s *upstreamState) float64 {
	if s.reportedAt.IsZero() {
		return p.meanLoadOfOthers
	}
	weight := decayFactor(now, s.reportedAt, reportHalfLife)
	return weight*s.loadOfOthers + (1-weight)*p.meanLoadOfOthers
}

// decayFactor returns the remaining weight of a report.
func decayFactor(now, at time.Time, halfLife time.Duration) float64 {
	age := max(now.Sub(at), 0)
	return math.Exp2(-float64(age) / float64(halfLife))
}
