package policy

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// reportHalfLife is the age at which a load report counts half; the rest is
// the mean over the pool.
const reportHalfLife = 300 * time.Millisecond

// meanHalfLife is the age at which a report counts half in the mean over the
// pool. Where reports come only with answers, old ones tell of a load that has
// long moved on.
const meanHalfLife = time.Second

// staleReport is the age from which a report tells nothing about queues.
const staleReport = 3 * time.Second

// readLoads takes in the reports that are new, without the host's own part.
func (p *pool) readLoads(now time.Time, loadOf func(upstream.ID) (upstream.Load, bool)) {
	var others float64
	var known, fresh, queued int
	for _, s := range p.order {
		load, ok := loadOf(s.ID)
		if !ok {
			continue
		}
		s.takeReport(load)
		others += s.others * faded(now, s.othersAt, meanHalfLife)
		known++
		if now.Sub(s.othersAt) < staleReport {
			queued += s.queued
			fresh++
		}
	}
	p.meanOthers = 0
	p.backlog = unknownBacklog
	if known > 0 {
		p.meanOthers = others / float64(known)
	}
	if fresh > 0 {
		p.backlog = float64(queued) / float64(fresh*p.terms.Concurrency)
	}
}

func (s *server) takeReport(load upstream.Load) {
	if load.AtUnixNano == s.reported {
		return
	}
	s.reported = load.AtUnixNano
	s.othersAt = time.Unix(0, load.AtUnixNano)
	own := s.inFlightAt(s.othersAt)
	s.others = float64(max(0, load.InFlight+load.Queued-own))
	s.queued = load.Queued
}

// othersOn estimates the load that other hosts put on s now. An old report
// fades into the mean of the pool, so that hosts don't all follow it.
func (p *pool) othersOn(now time.Time, s *server) float64 {
	if s.othersAt.IsZero() {
		return p.meanOthers
	}
	trust := faded(now, s.othersAt, reportHalfLife)
	return trust*s.others + (1-trust)*p.meanOthers
}

// faded is what a report still counts.
func faded(now, at time.Time, halfLife time.Duration) float64 {
	age := max(now.Sub(at), 0)
	return math.Exp2(-float64(age) / float64(halfLife))
}
