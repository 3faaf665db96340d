package staging

import (
	"context"
	"math"
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
	// smallRoom is the memory below which a report in whole megabytes tells too
	// little.
	smallRoom = 8 << 20
	// guessHalfLife is about how long results are held.
	guessHalfLife = 300 * time.Millisecond
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
	// guessed bytes become fewer by themselves.
	guessed bool
}

// usedRoom is the memory that results take on a server; known is false while
// the server has yet to tell.
func (s *gathering) usedRoom(id instance.ID, now time.Time) (used int64, known bool) {
	f, asked := s.foreign[id]
	if !asked || !f.settled && now.Sub(f.at) > foreignLife {
		return 0, false
	}
	bytes := f.bytes
	if f.guessed {
		bytes = int64(float64(bytes) * math.Exp2(-now.Sub(f.at).Seconds()/guessHalfLife.Seconds()))
	}
	return s.room.byServer[id] + bytes, true
}

// doubt takes note that a server had less memory than was thought. It is asked
// again; one whose memory is too small for its report to tell is taken to be
// full of results that leave one after the other.
func (s *gathering) doubt(id instance.ID, spec *routing.StageServer, now time.Time) {
	delete(s.foreign, id)
	if spec.ResultRoom < smallRoom {
		s.foreign[id] = foreign{at: now, settled: true, guessed: true, bytes: max(spec.ResultRoom-s.room.byServer[id], 0)}
	}
}

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
		g.config.Logger.Debug("stage server told its free memory", "upstream", string(server.ID), "free_bytes", free,
			"known_bytes", known, "room_bytes", spec.ResultRoom)
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
