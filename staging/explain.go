package staging

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/explain"
	"github.com/galenaseam/galenaseam/routing"
)

// The reasons for which a server that may get work gets no call now.
const (
	unavailableEjected = "ejected"
	unavailableRefused = "refused a call a moment ago"
	unavailableBusy    = "runs all the calls that it may"
)

// unavailable returns why a server takes no call now; "" if it does. The caller holds mu of the
// gatherer.
func (s *serviceState) unavailable(server instance.Status, spec *routing.StageServer, now time.Time) string {
	switch {
	case server.Ejected:
		return unavailableEjected
	case now.Before(s.paused[server.ID]):
		return unavailableRefused
	case s.running[server.ID] >= spec.Concurrency:
		return unavailableBusy
	}
	return ""
}

// freeResultMemory returns how many bytes of results a server takes if some are used.
func freeResultMemory(spec *routing.StageServer, used int64) int64 {
	return spec.UsableResultMemory() - used
}

// Explain returns what this host chooses the server of a call with some pieces by: the servers
// that take a call now, in the order in which they are offered the queue, and those that do not.
func (g *Gatherer) Explain(service string, pieces int, now time.Time) (c explain.Choice) {
	spec, known := g.spec(service)
	if !known {
		return explain.NewChoice()
	}
	servers := g.config.Servers.Service(service, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		s = g.newService(service)
	}
	waiting := 0
	for _, w := range s.queue.waiting {
		waiting += len(w.waiting)
	}
	c = explain.NewChoice(explain.Figure{Name: "waiting_groups", Value: float64(len(s.queue.waiting))}, explain.Figure{Name: "waiting_pieces", Value: float64(waiting)})
	for _, server := range s.availableServers(servers, spec, now) {
		c.Candidates = append(c.Candidates, explain.NewCandidate(server, s.figures(server, spec, min(pieces, spec.BatchSize), now)...))
	}
	for _, server := range servers {
		switch reason := s.unavailable(server, spec, now); reason {
		case "":
		case unavailableEjected:
			c.Excluded = append(c.Excluded, explain.ExcludeEjected(server))
		default:
			excluded, until := explain.Exclude(server, reason), s.busyUntil[server.ID]
			if reason == unavailableRefused {
				until = s.paused[server.ID]
			}
			excluded.ForMs = max(until.Sub(now), 0).Milliseconds()
			c.Excluded = append(c.Excluded, excluded)
		}
	}
	return c
}

// figures returns what a server is chosen by. The caller holds mu of the gatherer.
func (s *serviceState) figures(server instance.Status, spec *routing.StageServer, pieces int, now time.Time) []explain.Figure {
	figures := []explain.Figure{
		{Name: "expected_ms", Value: callTime(spec, pieces).Seconds() * 1000 * s.slownessAt(server, now)},
		explain.Ms("cost_ms", callTime(spec, pieces)), {Name: "pace", Value: s.workload.Pace(server.Process(), now)},
		{Name: "slowdown", Value: s.slowdownOf(server.ID)}, {Name: "running_calls", Value: float64(s.running[server.ID])},
		{Name: "error_rate", Value: server.ErrorRate}, explain.Flag("cold", server.Cold),
	}
	// It is asked before it gets a call if its memory is not known.
	used, known := s.usedMemory(server.ID, now)
	figures = append(figures, explain.Flag("memory_known", known))
	if known {
		figures = append(figures, explain.Figure{Name: "free_memory_bytes", Value: float64(freeResultMemory(spec, used))})
	}
	return figures
}
