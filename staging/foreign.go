package staging

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// askTimeout bounds asking a server for its free memory; it also is how
	// long a server that does not answer is left alone.
	askTimeout = 300 * time.Millisecond
	// foreignLife is how long a server's word on its memory is used before it
	// is asked again.
	foreignLife = 400 * time.Millisecond
	// reportGrain is how far a report may be below the truth: servers report
	// whole megabytes.
	reportGrain = 1 << 20
)

// foreign is the memory of a server that results take which this gatherer does
// not know: those of another host that gathered before, or still does.
type foreign struct {
	bytes  int64
	at     time.Time
	asking bool
	// settled says that all of the server's results are known here.
	settled bool
}

// usedRoom is the memory that results take on a server; known is false while
// the server has yet to tell.
func (s *gathering) usedRoom(id instance.ID, now time.Time) (used int64, known bool) {
	f, asked := s.foreign[id]
	if !asked || !f.settled && now.Sub(f.at) > foreignLife {
		return 0, false
	}
	return s.room.byServer[id] + f.bytes, true
}

// doubt has a server asked again, because it had less memory than was thought.
func (s *gathering) doubt(id instance.ID) { delete(s.foreign, id) }

// askRoom asks a server for its free memory, in the background. The caller
// holds mu.
func (g *Gatherer) askRoom(s *gathering, server instance.Status, spec *routing.StageServer) {
	if s.foreign[server.ID].asking {
		return
	}
	s.foreign[server.ID] = foreign{asking: true}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		free, err := g.config.Caller.FreeRoom(ctx, server.Entry)
		cancel()
		now := time.Now()
		g.mu.Lock()
		known := s.room.byServer[server.ID]
		f := foreign{at: now, bytes: max(spec.ResultRoom-free-known-reportGrain, 0)}
		f.settled = f.bytes < spec.ResultRoom/settledPart
		if err != nil {
			g.config.Logger.Warn("stage server did not tell its free memory", "upstream", string(server.ID), "error", err.Error())
			f = foreign{at: now}
		}
		s.foreign[server.ID] = f
		ended := g.pump(s, now)
		g.mu.Unlock()
		runAll(ended)
	}()
}

// settledPart is the part of a server's memory that may be unknown: reports are
// some time old.
const settledPart = 16
