package staging

import (
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/routing"
)

// PausedFor returns how long until the first of a service's servers accepts calls
// of this host again; 0 unless all have asked for a pause or are evacuated.
func (g *Gatherer) PausedFor(service string, now time.Time) time.Duration {
	if g.isEvacuated(service) {
		return evacuatedWait
	}
	if back, paused := g.config.Servers.FirstBack(service, now); paused {
		return back.Sub(now)
	}
	return 0
}

// refusePaused fails the groups that miss their target if they start when the
// first server is back, so that their callers are told at once. Groups with pieces
// on a server stay.
func (s *serviceState) refusePaused(back time.Time, spec *routing.StageServer) (callbacks []func()) {
	kept := s.queue.waiting[:0]
	for _, w := range s.queue.waiting {
		done := back.Add(spec.CallTime + time.Duration(len(w.waiting))*spec.PieceTime)
		if w.unfinished == len(w.waiting) && done.After(w.target) {
			callbacks = append(callbacks, w.end(call.PiecePaused))
			continue
		}
		kept = append(kept, w)
	}
	s.queue.waiting = kept
	return callbacks
}

// holdPausedFrees returns the handles that may be freed now. The others are on
// servers that are paused: they are queued again when the pause ends, unless their
// results have expired by then. The caller holds mu.
func (g *Gatherer) holdPausedFrees(handles []string, now time.Time) (free []string) {
	held := make(map[time.Time][]string)
	for _, handle := range handles {
		if until, paused := g.pauseOfHolder(handle, now); paused {
			held[until] = append(held[until], handle)
		} else {
			free = append(free, handle)
		}
	}
	for until, handles := range held {
		time.AfterFunc(until.Sub(now), func() { g.queueHeldFrees(handles) })
	}
	return free
}

// queueHeldFrees queues the handles whose results have not expired.
func (g *Gatherer) queueHeldFrees(handles []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, handle := range handles {
		if _, tracked := g.holder(handle); tracked {
			g.queueFree(handle)
		}
	}
}

// pauseOfHolder returns when the pause of the server that holds a result ends,
// false if it is not paused or if this gatherer does not track the result.
func (g *Gatherer) pauseOfHolder(handle string, now time.Time) (time.Time, bool) {
	held, tracked := g.holder(handle)
	if !tracked {
		return time.Time{}, false
	}
	return g.config.Servers.PausedUntil(held.server, now)
}

// holder returns the result with a handle, false if it is not tracked. The caller
// holds mu.
func (g *Gatherer) holder(handle string) (heldResult, bool) {
	for _, s := range g.services {
		if held, tracked := s.memory.byHandle[handle]; tracked {
			return held, true
		}
	}
	return heldResult{}, false
}
