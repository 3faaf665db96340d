package staging

import (
	"time"

	"github.com/galenaseam/galenaseam/call"
)

// evacuatedWait is the wait that hosts are told while evacuations leave a stage service
// without servers: nobody knows when the operators end them.
const evacuatedWait = 2 * time.Second

// isEvacuated reports whether evacuations leave a service without servers.
func (g *Gatherer) isEvacuated(service string) bool {
	return g.config.Servers.IsServiceEvacuated(service, "")
}

// refuseEvacuated fails all queued groups, since no server may get them. Pieces that are on a
// server are completed there. The groups fail like those of paused servers, which hosts of the
// build before know as well. The caller holds mu of the gatherer.
func (s *serviceState) refuseEvacuated() (callbacks []func()) {
	for _, w := range s.queue.waiting {
		callbacks = append(callbacks, w.end(call.PiecePaused))
	}
	s.queue.waiting = nil
	return callbacks
}

// findEvacuated returns the failure of the first stage that evacuations leave without servers,
// so that the request is refused before any work is done for it.
func (r *Runner) findEvacuated(g *graph) error {
	for i, s := range g.stages {
		if g.pieces[i] > 0 && r.config.Gatherer.isEvacuated(s.Service) {
			return r.newFailure(i, s.Service, call.PiecePaused, evacuatedWait)
		}
	}
	return nil
}
