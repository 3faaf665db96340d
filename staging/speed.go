package staging

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

// callTime returns the duration of a call with a number of pieces at a pace of 1.
func callTime(spec *routing.StageServer, pieces int) time.Duration {
	return spec.CallTime + time.Duration(pieces)*spec.PieceTime
}

// slownessAt returns how long a call takes at a server now relative to the usual: the
// pace that the server reports times the slowdown measured beside it.
func (s *serviceState) slownessAt(server instance.Status, now time.Time) float64 {
	return s.slowdownOf(server.ID) * s.workload.Pace(server.Process(), now)
}

// observeCall records how long a call took. Pace may have changed since the call began, so
// the mean of that at its start and at its end is taken.
func (s *serviceState) observeCall(b *batchCall, now time.Time) {
	end := s.workload.Pace(b.server.Process(), now)
	took := float64(now.Sub(b.started)) / float64(b.expected)
	slowdown := took / ((b.pace + end) / 2)
	s.workload.ObserveError(s.name, took/(b.pace*s.slowdownOf(b.server.ID)))
	s.slowdown[b.server.ID] = s.slowdownOf(b.server.ID) + slowdownSmoothing*(slowdown-s.slowdownOf(b.server.ID))
}

// byFinish orders servers by when they would finish the same call.
func (s *serviceState) byFinish(servers []instance.Status, now time.Time) {
	slowness := make(map[instance.ID]float64, len(servers))
	for _, server := range servers {
		slowness[server.ID] = s.slownessAt(server, now)
	}
	slices.SortStableFunc(servers, func(a, b instance.Status) int { return cmp.Compare(slowness[a.ID], slowness[b.ID]) })
}

// busyServers returns the servers that run a call, with when it is expected to end. One whose
// call is overdue is left out: it may be stuck, and no batch may wait for it.
func (s *serviceState) busyServers(servers []instance.Status, now time.Time) []busyServer {
	var busy []busyServer
	for _, server := range servers {
		if until := s.busyUntil[server.ID]; until.After(now) && !server.Ejected && s.running[server.ID] > 0 {
			busy = append(busy, busyServer{slowness: s.slownessAt(server, now), freeIn: until.Sub(now)})
		}
	}
	return busy
}

// noteStart records a call for the choice of the servers of the next ones.
func (s *serviceState) noteStart(b *batchCall, now time.Time) {
	b.pace = s.workload.Pace(b.server.Process(), now)
	s.busyUntil[b.server.ID] = now.Add(time.Duration(float64(b.expected) * b.pace * s.slowdownOf(b.server.ID)))
}

// batchStarts reports whether a free server, the fastest one, takes the queued pieces now. If
// not, the queue is dispatched again after a wait. Where nothing is known about the server,
// it takes them. The caller holds mu of g.
func (g *Gatherer) batchStarts(s *serviceState, server instance.Status, servers []instance.Status, spec *routing.StageServer, at locality, now time.Time) bool {
	if len(s.queue.waiting) == 0 || !s.workload.State(server.Process(), now).Known {
		return true
	}
	choice := batchChoice{
		spec: spec, pieces: s.queue.runnablePieces(at, now), oldest: now.Sub(s.queue.oldest()), slack: math.MaxInt64,
		slowness: s.slownessAt(server, now), busy: s.busyServers(servers, now), arrivals: s.pieceArrivals.rate,
	}
	for _, w := range s.queue.waiting {
		if slack := w.target.Sub(now) - spec.FullBatchTime(); slack >= 0 {
			choice.slack = min(choice.slack, slack)
		}
	}
	for _, other := range servers {
		if !other.Ejected {
			choice.speed += float64(spec.Concurrency) / s.slownessAt(other, now)
		}
	}
	starts, wait := choice.starts()
	if !starts && !s.wakes {
		s.wakes = true
		time.AfterFunc(max(wait, minWake), func() { g.wake(s) })
	}
	return starts
}

// minWake keeps a server whose call takes longer than expected from causing dispatches in
// close succession.
const minWake = 5 * time.Millisecond

// wake dispatches a queue whose pieces have waited for a server.
func (g *Gatherer) wake(s *serviceState) {
	now := time.Now()
	g.mu.Lock()
	s.wakes = false
	callbacks := g.dispatch(s, now)
	g.mu.Unlock()
	runAll(callbacks)
}
