package staging

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

// servedRate returns the rate, in pieces per second, at which the servers can do the queued work
// that can still be in time: the measured rate, or less if that work waits for result memory.
// The measured rate alone shows a shortage of memory only after it has lasted for a while.
func (s *serviceState) servedRate(servers []instance.Status, spec *routing.StageServer, now time.Time) float64 {
	queued := s.queue.backlog(now, spec.FullBatchTime()).inTime
	missing := queued.bytes - s.freeMemory(servers, spec, now)
	if missing <= 0 {
		return s.pieceRate.rate
	}
	freed := rateEstimator{rate: s.byteCapacity(servers, spec, s.memory.holdTime(now))}
	wait := freed.timeFor(missing)
	if wait <= 0 {
		return s.pieceRate.rate
	}
	return min(s.pieceRate.rate, queued.pieces/wait.Seconds())
}

// freeMemory returns how many bytes of results the servers have memory for now.
func (s *serviceState) freeMemory(servers []instance.Status, spec *routing.StageServer, now time.Time) (free float64) {
	for _, server := range servers {
		if server.Ejected {
			continue
		}
		used, known := s.usedMemory(server.ID, now)
		if !known {
			used = s.memory.byServer[server.ID]
		}
		free += max(float64(freeResultMemory(spec, used)), 0)
	}
	return free
}

// holdTime estimates how long results are held. Results that later stages do not free raise it
// by their age, before they count in meanHoldTime.
func (r *resultMemory) holdTime(now time.Time) time.Duration {
	if len(r.byHandle) == 0 {
		return r.meanHoldTime
	}
	age := time.Duration(0)
	for _, h := range r.byHandle {
		age += now.Sub(h.since)
	}
	return max(r.meanHoldTime, age/time.Duration(len(r.byHandle)))
}
