package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// learnRate weighs a new sample in an upstream's moving averages.
	learnRate = 0.2
	// historySteps is how many changes of the in-flight count are kept.
	historySteps = 32
)

// step is the in-flight count from one moment on.
type step struct {
	at       time.Time
	inFlight int
}

// server is what a host knows of one upstream.
type server struct {
	upstream.Upstream
	running []*Attempt
	history [historySteps]step
	steps   int
	// others is the load that other hosts put on the upstream, as of othersAt.
	others   float64
	othersAt time.Time
	reported int64
	queued   int
	// ratio is the moving average of elapsed over expected time.
	ratio float64
	// byClass is what the own calls told, lately, and told what the other
	// hosts said.
	byClass map[string]*Evidence
	told    map[host.ID]hearsay
	// out holds the classes it is set aside for; "" stands for all.
	out        map[string]bool
	lastProbe  time.Time
	probeWait  time.Duration
	goodProbes int
	restored   time.Time
}

func newServer(u upstream.Upstream) *server {
	return &server{
		Upstream: u,
		ratio:    1,
		byClass:  make(map[string]*Evidence),
		told:     make(map[host.ID]hearsay),
		out:      make(map[string]bool),
	}
}

func (s *server) inFlight() int { return len(s.running) }

func (s *server) begin(now time.Time, a *Attempt) {
	s.running = append(s.running, a)
	s.record(now)
}

func (s *server) end(now time.Time, a *Attempt) {
	for i, other := range s.running {
		if other == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	s.record(now)
}

func (s *server) record(now time.Time) {
	s.history[s.steps%historySteps] = step{at: now, inFlight: len(s.running)}
	s.steps++
}

// inFlightAt returns the own in-flight count at an earlier moment.
func (s *server) inFlightAt(at time.Time) int {
	oldest := max(0, s.steps-historySteps)
	for i := s.steps - 1; i >= oldest; i-- {
		if e := s.history[i%historySteps]; !e.at.After(at) {
			return e.inFlight
		}
	}
	if oldest == 0 {
		return 0
	}
	return s.history[oldest%historySteps].inFlight
}

// serves reports whether the upstream has the model, as far as is known.
func (s *server) serves(model string) bool {
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
