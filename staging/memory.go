package staging

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// resultMemory tracks the memory that results take on the servers that made
// them. Results are freed explicitly or expire some time after their call.
type resultMemory struct {
	byHandle map[string]heldResult
	byServer map[instance.ID]int64 // bytes that are reserved or taken
	// meanHoldTime is the moving average of the time from the end of a call
	// until its results are freed.
	meanHoldTime time.Duration
	// abandoned are the results of calls whose handles never arrived.
	abandoned []heldResult
}

// heldResult is a result, or the results of an abandoned call, with the time at
// which it expires.
type heldResult struct {
	server instance.ID
	bytes  int64
	since  time.Time
	until  time.Time
}

// holdTimeSmoothing is the weight of the newest result in meanHoldTime.
const holdTimeSmoothing = 0.02

func newResultMemory() *resultMemory {
	return &resultMemory{byHandle: make(map[string]heldResult), byServer: make(map[instance.ID]int64)}
}

// reserve counts the memory of results that a call is about to make.
func (r *resultMemory) reserve(server instance.ID, bytes int64) { r.byServer[server] += bytes }

// release stops counting memory that was reserved or taken.
func (r *resultMemory) release(server instance.ID, bytes int64) {
	if r.byServer[server] -= bytes; r.byServer[server] <= 0 {
		delete(r.byServer, server)
	}
}

// commit turns reserved memory into a result with a handle.
func (r *resultMemory) commit(handle string, server instance.ID, bytes int64, now time.Time, ttl time.Duration) {
	r.byHandle[handle] = heldResult{server: server, bytes: bytes, since: now, until: now.Add(ttl)}
}

// abandon records that reserved memory may be taken by results that nobody can
// free before they expire.
func (r *resultMemory) abandon(server instance.ID, bytes int64, until time.Time) {
	r.abandoned = append(r.abandoned, heldResult{server: server, bytes: bytes, until: until})
}

// free stops counting a result. Freeing it again has no effect.
func (r *resultMemory) free(handle string, now time.Time) {
	h, known := r.byHandle[handle]
	if !known {
		return
	}
	delete(r.byHandle, handle)
	r.meanHoldTime += time.Duration(holdTimeSmoothing * float64(now.Sub(h.since)-r.meanHoldTime))
	r.release(h.server, h.bytes)
}

// expire stops counting the results that have expired.
func (r *resultMemory) expire(now time.Time) {
	for handle, h := range r.byHandle {
		if now.After(h.until) {
			r.free(handle, now)
		}
	}
	r.abandoned = slices.DeleteFunc(r.abandoned, func(h heldResult) bool {
		over := now.After(h.until)
		if over {
			r.release(h.server, h.bytes)
		}
		return over
	})
}
