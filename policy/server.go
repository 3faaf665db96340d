package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// learnRate weighs a new sample in an upstream's moving averages.
	learnRate = 0.2
	// minSamples is how many calls an upstream must have ended before it is
	// compared with its peers.
	minSamples = 6
	// historySteps is how many changes of the in-flight count are kept.
	historySteps = 32
)

// step is the in-flight count from one moment on.
type step struct {
	at       time.Time
	inFlight int
}

// health is what the calls of one class told about an upstream.
type health struct {
	samples int
	// ratio is the moving average of elapsed over expected time.
	ratio float64
	// errors is the moving share of failed calls.
	errors float64
}

func (h *health) learn(ratio float64, failed bool) {
	rate := learnRate
	if h.samples == 0 {
		h.ratio = 1
	}
	h.samples++
	if failed {
		h.errors += rate * (1 - h.errors)
		return
	}
	h.errors -= rate * h.errors
	h.ratio += rate * (ratio - h.ratio)
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
	byClass  map[string]*health
	all      health
	// out holds the classes it is set aside for; "" stands for all.
	out        map[string]bool
	lastProbe  time.Time
	goodProbes int
}

func newServer(u upstream.Upstream) *server {
	return &server{Upstream: u, byClass: make(map[string]*health), out: make(map[string]bool)}
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

func (s *server) learn(class string, ratio float64, failed bool) {
	h := s.byClass[class]
	if h == nil {
		h = &health{}
		s.byClass[class] = h
	}
	h.learn(ratio, failed)
	s.all.learn(ratio, failed)
	s.judgeProbe(ratio, failed)
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
