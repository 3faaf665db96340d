package staging

import (
	"context"
	"math"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// memoryQueryTimeout bounds a query for a server's free memory. The server
	// gets no new work until it answers or the query times out.
	memoryQueryTimeout = 300 * time.Millisecond
	// memoryReportMaxAge is how long a server's report of its memory is used
	// before it is queried again.
	memoryReportMaxAge = 400 * time.Millisecond
	// minReportedMemory is the memory size below which a report is too coarse
	// to be useful: servers report whole megabytes.
	minReportedMemory = 8 << 20
	// shortageHalfLife is the half-life of the untracked memory that is assumed
	// after a shortage. It is about how long results are held.
	shortageHalfLife = 300 * time.Millisecond
	// reportGranularity is by how much a report may understate free memory:
	// servers report whole megabytes.
	reportGranularity = 1 << 20
)

// untrackedMemory is the memory of a server that is used by results which this
// gatherer does not track: those of another host that gathered for the service
// before, or still does.
type untrackedMemory struct {
	bytes        int64
	at           time.Time // when bytes was reported or assumed
	queryPending bool
	// allTracked means that this gatherer tracks practically all of the
	// server's results, so the server is not queried again.
	allTracked bool
	// decays means that bytes is an assumption that decays with
	// shortageHalfLife.
	decays bool
}

// usedMemory returns the memory that results take on a server. known is false
// when the server has to be queried first.
func (s *serviceState) usedMemory(id instance.ID, now time.Time) (used int64, known bool) {
	u, asked := s.untracked[id]
	if !asked || !u.allTracked && now.Sub(u.at) > memoryReportMaxAge {
		return 0, false
	}
	bytes := u.bytes
	if u.decays {
		bytes = int64(float64(bytes) * math.Exp2(-now.Sub(u.at).Seconds()/shortageHalfLife.Seconds()))
	}
	return s.memory.byServer[id] + bytes, true
}

// noteMemoryShortage records that a server had less free memory than was
// assumed, so that it is queried again. If its memory is too small for a report
// to be useful, it is assumed to be full of results that are freed over time.
func (s *serviceState) noteMemoryShortage(id instance.ID, spec *routing.StageServer, now time.Time) {
	delete(s.untracked, id)
	if spec.ResultMemory < minReportedMemory {
		s.untracked[id] = untrackedMemory{at: now, allTracked: true, decays: true, bytes: max(spec.ResultMemory-s.memory.byServer[id], 0)}
	}
}

// queryFreeMemory queries a server for its free memory in the background. The
// caller holds mu.
func (g *Gatherer) queryFreeMemory(s *serviceState, server instance.Status, spec *routing.StageServer) {
	if s.untracked[server.ID].queryPending {
		return
	}
	s.untracked[server.ID] = untrackedMemory{queryPending: true}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), memoryQueryTimeout)
		free, err := g.config.Caller.FreeMemory(ctx, server.Entry)
		cancel()
		now := time.Now()
		g.mu.Lock()
		known := s.memory.byServer[server.ID]
		u := untrackedMemory{at: now, bytes: max(spec.ResultMemory-free-known-reportGranularity, 0)}
		u.allTracked = u.bytes < spec.ResultMemory/allTrackedDivisor
		g.config.Logger.Debug("stage server reported free memory", "upstream", string(server.ID), "free_bytes", free,
			"known_bytes", known, "room_bytes", spec.ResultMemory)
		if err != nil {
			g.config.Logger.Warn("failed to query free memory of stage server", "upstream", string(server.ID), "error", err.Error())
			u = untrackedMemory{at: now}
		}
		s.untracked[server.ID] = u
		callbacks := g.dispatch(s, now)
		g.mu.Unlock()
		runAll(callbacks)
	}()
}

// allTrackedDivisor: a server's results count as tracked if less than
// 1/allTrackedDivisor of its memory is taken by untracked ones. Reports are
// slightly out of date, so the computed untracked memory is rarely zero.
const allTrackedDivisor = 16
