package staging

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/routing"
)

// Group is the pieces of one stage of one request.
type Group struct {
	Service   string   `cbor:"1,keyasint"`
	RequestID string   `cbor:"2,keyasint"`
	Stage     int      `cbor:"3,keyasint"`
	Pieces    int      `cbor:"4,keyasint"`
	Key       string   `cbor:"5,keyasint"`
	Inputs    []string `cbor:"6,keyasint"`
	// Remaining is the time to the caller's deadline, Aim the time to the point
	// at which this stage should be done for the answer to be in time.
	Remaining time.Duration `cbor:"7,keyasint"`
	Aim       time.Duration `cbor:"8,keyasint"`
	// ResultBytes is the size of one piece's result.
	ResultBytes int64 `cbor:"9,keyasint"`
	// Priority is the request's rank; 0 is the most urgent.
	Priority int `cbor:"10,keyasint"`
	// Near is the data centre that saves MovedBytes between data centres; ""
	// for none.
	Near       host.DataCentre `cbor:"11,keyasint"`
	MovedBytes int64           `cbor:"12,keyasint"`
	// Stay keeps the group with a gatherer that no longer owns the service:
	// its host can't reach the owner.
	Stay bool `cbor:"13,keyasint"`
	// Scarce says that the inputs take much of the memory of the servers that
	// keep them: others wait until this group is done.
	Scarce bool `cbor:"14,keyasint"`
}

// work is a group that waits for servers, or runs on some.
type work struct {
	Group
	queued   time.Time
	deadline time.Time
	aim      time.Time
	results  []call.PieceResult
	waiting  []int // pieces that no server has
	open     int   // pieces without a result
	tries    int   // times that pieces were sent again after failures
	refusals int   // times that a server had no memory for pieces
	ended    bool  // the asker has its answer, or has left
	done     func([]call.PieceResult)
}

// newWork starts the clock of a group.
func newWork(g Group, now time.Time, done func([]call.PieceResult)) *work {
	w := &work{
		Group: g, queued: now, deadline: now.Add(g.Remaining), aim: now.Add(g.Aim),
		results: make([]call.PieceResult, g.Pieces), open: g.Pieces, done: done,
	}
	for i := range g.Pieces {
		w.waiting = append(w.waiting, i)
	}
	return w
}

// queue is the groups of one service that wait. It does no I/O.
type queue struct {
	waiting []*work
}

func (q *queue) push(w *work) { q.waiting = append(q.waiting, w) }

const (
	// lateShare is the part of a server's memory that late groups with large
	// results may fill, so that ones that can be in time find room.
	lateShare = 0.5
	// heavyBytes is the size from which a group waits for a server in its own
	// data centre: less crosses in no time.
	heavyBytes = 1 << 20
	// nearPatience is how long it waits, about the duration of one call.
	nearPatience = 250 * time.Millisecond
)

// place is a server's data centre, and which data centres have servers.
type place struct {
	centre host.DataCentre
	served map[host.DataCentre]bool
}

// mayRunAt says whether a group may run in a data centre now.
func (w *work) mayRunAt(p place, now time.Time) bool {
	return w.Near == "" || w.Near == p.centre || w.MovedBytes < heavyBytes ||
		!p.served[w.Near] || now.Sub(w.queued) >= nearPatience
}

// pieces counts the pieces that may run at a place.
func (q *queue) pieces(p place, now time.Time) int {
	n := 0
	for _, w := range q.waiting {
		if w.mayRunAt(p, now) {
			n += len(w.waiting)
		}
	}
	return n
}

// oldest is when the group that waits longest came.
func (q *queue) oldest() time.Time {
	oldest := q.waiting[0].queued
	for _, w := range q.waiting {
		if w.queued.Before(oldest) {
			oldest = w.queued
		}
	}
	return oldest
}

// total counts the pieces that wait.
func (q *queue) total() int {
	n := 0
	for _, w := range q.waiting {
		n += len(w.waiting)
	}
	return n
}

// totalBytes is the memory that the results of all that waits will take.
func (q *queue) totalBytes() int64 {
	n := int64(0)
	for _, w := range q.waiting {
		n += int64(len(w.waiting)) * w.ResultBytes
	}
	return n
}

// largest is the size of the largest result that waits to be made.
func (q *queue) largest() int64 {
	n := int64(0)
	for _, w := range q.waiting {
		n = max(n, w.ResultBytes)
	}
	return n
}

// ahead counts the pieces that would go before a new group, and the bytes of
// their results.
func (q *queue) ahead(w *work, now time.Time, callTime time.Duration) (pieces int, bytes int64) {
	for _, other := range q.waiting {
		if compare(other, w, now, callTime) <= 0 {
			pieces += len(other.waiting)
			bytes += int64(len(other.waiting)) * other.ResultBytes
		}
	}
	return pieces, bytes
}

// expire takes out the groups that can't be done in time.
func (q *queue) expire(now time.Time, callTime time.Duration) []*work {
	var late []*work
	q.waiting = slices.DeleteFunc(q.waiting, func(w *work) bool {
		if w.ended {
			return true
		}
		if now.Add(callTime).After(w.deadline) {
			late = append(late, w)
			return true
		}
		return false
	})
	return late
}

// share is the pieces of one group in a batch.
type share struct {
	work   *work
	pieces []int
}

// batch takes the most urgent pieces that fit into one call and into the
// server's memory. Groups are kept whole where they fit; a group that is larger
// than a batch is split.
func (q *queue) batch(now time.Time, spec *routing.StageServer, room int64, at place) []share {
	// Calls are filled to the last piece when more waits than one takes.
	long := q.pieces(at, now) > spec.Batch
	left := spec.Batch
	lateRoom := room - int64((roomShare-lateShare)*float64(spec.ResultRoom))
	taking := int64(0)
	var taken []share
	for _, w := range q.waiting {
		if left == 0 {
			break
		}
		room := room - taking
		if w.ResultBytes >= heavyBytes && !w.inTime(now, spec.FullCall()) {
			room = lateRoom - taking
		}
		n := len(w.waiting)
		if !w.mayRunAt(at, now) {
			continue
		}
		if n > left && !long && (n <= spec.Batch || len(taken) > 0) {
			continue
		}
		n = min(n, left)
		if bytes := int64(n) * w.ResultBytes; bytes > room {
			if w.ResultBytes <= 0 || room < w.ResultBytes {
				continue
			}
			n = int(room / w.ResultBytes)
		}
		taken = append(taken, share{work: w, pieces: w.waiting[:n:n]})
		w.waiting = w.waiting[n:]
		left -= n
		taking += int64(n) * w.ResultBytes
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *work) bool { return len(w.waiting) == 0 })
	return taken
}

// priorityStep is how much later a group with the next lower priority may as
// well be done.
const priorityStep = 150 * time.Millisecond

// sort puts the groups in the order in which they are served.
func (q *queue) sort(now time.Time, callTime time.Duration) {
	slices.SortStableFunc(q.waiting, func(a, b *work) int { return compare(a, b, now, callTime) })
}

// inTime says whether a group that gets its turn now is done by its aim, also in
// a full call: under overload the groups that would be done just too late must
// not go before those that can be in time.
//
// One whose inputs are scarce always counts as in time: while it waits, it holds
// up the stage before.
func (w *work) inTime(now time.Time, callTime time.Duration) bool {
	return w.Scarce || !now.Add(callTime).After(w.aim)
}

// compare orders groups: those that can be in time first, by their aims and
// priorities; the others follow by their priorities and deadlines.
func compare(a, b *work, now time.Time, callTime time.Duration) int {
	due := func(w *work) time.Time { return w.aim.Add(time.Duration(w.Priority) * priorityStep) }
	x, y := a.inTime(now, callTime), b.inTime(now, callTime)
	switch {
	case x && !y:
		return -1
	case y && !x:
		return 1
	case x:
		return due(a).Compare(due(b))
	default:
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.deadline.Compare(b.deadline))
	}
}
