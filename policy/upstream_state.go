package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// averageWeight is the weight of a new sample in an upstream's moving
	// average.
	averageWeight = 0.2
	// historySize is how many changes of the in-flight count are kept.
	historySize = 32
)

// inFlightChange records the in-flight count after a change.
type inFlightChange struct {
	at       time.Time
	inFlight int
}

// upstreamState is what this host knows about one upstream.
type upstreamState struct {
	upstream.Upstream
	running []*Attempt
	// history is a ring buffer of the latest changes of the in-flight count;
	// changes counts all of them.
	history [historySize]inFlightChange
	changes int
	// loadOfOthers is the load from other hosts as of reportedAt.
	loadOfOthers  float64
	reportedAt    time.Time
	reportStamp   int64
	reportedQueue int
	// meanSlowness is the moving average of the ratio of elapsed to expected
	// time.
	meanSlowness float64
	// localEvidence holds the evidence from this host's own calls by class,
	// remoteEvidence the reports of other hosts.
	localEvidence  map[string]*Evidence
	remoteEvidence map[host.ID]remoteEvidence
	// setAsideClasses holds the classes for which the upstream is set aside;
	// allClasses stands for all.
	setAsideClasses map[string]bool
	lastCallAt      time.Time
	probeWait       time.Duration
	goodProbes      int
	restoredAt      time.Time
}

func newUpstreamState(u upstream.Upstream) *upstreamState {
	return &upstreamState{
		Upstream:        u,
		meanSlowness:    1,
		localEvidence:   make(map[string]*Evidence),
		remoteEvidence:  make(map[host.ID]remoteEvidence),
		setAsideClasses: make(map[string]bool),
	}
}

func (s *upstreamState) inFlight() int { return len(s.running) }

func (s *upstreamState) begin(now time.Time, a *Attempt) {
	s.running = append(s.running, a)
	s.recordInFlight(now)
}

func (s *upstreamState) end(now time.Time, a *Attempt) {
	for i, other := range s.running {
		if other == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	s.recordInFlight(now)
}

func (s *upstreamState) recordInFlight(now time.Time) {
	s.history[s.changes%historySize] = inFlightChange{at: now, inFlight: len(s.running)}
	s.changes++
}

// inFlightAt returns this host's in-flight count at an earlier time.
func (s *upstreamState) inFlightAt(at time.Time) int {
	oldest := max(0, s.changes-historySize)
	for i := s.changes - 1; i >= oldest; i-- {
		if e := s.history[i%historySize]; !e.at.After(at) {
			return e.inFlight
		}
	}
	if oldest == 0 {
		return 0
	}
	return s.history[oldest%historySize].inFlight
}

// serves reports whether the upstream has the model. Upstreams that don't list
// their models count as having every model.
func (s *upstreamState) serves(model string) bool {
	if model == "" || s.Models == nil {
		return true
	}
	for _, m := range s.Models {
		if m == model {
			return true
		}
	}
	return false
}
