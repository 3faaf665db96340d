package staging

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// room counts the memory that results take on their makers. Results leave when
// they are given up, or by themselves some time after their call.
type room struct {
	byHandle map[string]held
	byServer map[instance.ID]int64
	// heldFor is the mean time from the end of a call until its results are
	// given up.
	heldFor time.Duration
	// lost are results whose handles never came.
	lost []held
}

type held struct {
	server instance.ID
	bytes  int64
	since  time.Time
	until  time.Time
}

// heldWeight is the weight of the newest result in the mean.
const heldWeight = 0.02

func newRoom() *room {
	return &room{byHandle: make(map[string]held), byServer: make(map[instance.ID]int64)}
}

// reserve counts results that a call is about to make.
func (r *room) reserve(server instance.ID, bytes int64) { r.byServer[server] += bytes }

// release takes back what reserve counted.
func (r *room) release(server instance.ID, bytes int64) {
	if r.byServer[server] -= bytes; r.byServer[server] <= 0 {
		delete(r.byServer, server)
	}
}

// keep notes a result that a reservation has become.
func (r *room) keep(handle string, server instance.ID, bytes int64, now time.Time, life time.Duration) {
	r.byHandle[handle] = held{server: server, bytes: bytes, since: now, until: now.Add(life)}
}

// lose notes that a reservation may have become results that nobody can free.
func (r *room) lose(server instance.ID, bytes int64, until time.Time) {
	r.lost = append(r.lost, held{server: server, bytes: bytes, until: until})
}

// give frees a result.
func (r *room) give(handle string, now time.Time) {
	h, known := r.byHandle[handle]
	if !known {
		return
	}
	delete(r.byHandle, handle)
	r.heldFor += time.Duration(heldWeight * float64(now.Sub(h.since)-r.heldFor))
	r.release(h.server, h.bytes)
}

// expire frees the results whose time is up.
func (r *room) expire(now time.Time) {
	for handle, h := range r.byHandle {
		if now.After(h.until) {
			r.give(handle, now)
		}
	}
	r.lost = slices.DeleteFunc(r.lost, func(h held) bool {
		over := now.After(h.until)
		if over {
			r.release(h.server, h.bytes)
		}
		return over
	})
}
