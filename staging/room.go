package staging

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// room counts the memory that results take on their makers. Results leave when
// they are given up, or by themselves some time after their call.
type room struct {
	byHandle map[string]held
	byServer map[instance.ID]int64
}

type held struct {
	server instance.ID
	bytes  int64
	until  time.Time
}

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
func (r *room) keep(handle string, server instance.ID, bytes int64, until time.Time) {
	r.byHandle[handle] = held{server: server, bytes: bytes, until: until}
}

// give frees a result and returns its maker.
func (r *room) give(handle string) {
	h, known := r.byHandle[handle]
	if !known {
		return
	}
	delete(r.byHandle, handle)
	r.release(h.server, h.bytes)
}

// expire frees the results whose time is up.
func (r *room) expire(now time.Time) {
	for handle, h := range r.byHandle {
		if now.After(h.until) {
			r.give(handle)
		}
	}
}
