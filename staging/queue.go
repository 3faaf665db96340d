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
	Service   string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
	Stage     int    `cbor:"3,keyasint"`
	Pieces    int    `cbor:"4,keyasint"`
	// Key identifies the content to work on. It is set for stages without
	// inputs.
	Key string `cbor:"5,keyasint"`
	// Inputs are the handles of the results that the stage reads.
	Inputs []string `cbor:"6,keyasint"`
	// Remaining is the time left until the deadline. RemainingToTarget is the
	// time left until the stage should be done for the answer to meet its
	// latency objective.
	Remaining         time.Duration `cbor:"7,keyasint"`
	RemainingToTarget time.Duration `cbor:"8,keyasint"`
	// ResultBytes is the size of one piece's result.
	ResultBytes int64 `cbor:"9,keyasint"`
	// Priority is the rank of the request; 0 is the most urgent. A stream that is resumed has
	// one less than its rank, at least -1.
	Priority int `cbor:"10,keyasint"`
	// PreferredDataCentre is the data centre in which running the group saves
	// TransferBytes of traffic between data centres; "" for none.
	PreferredDataCentre host.DataCentre `cbor:"11,keyasint"`
	TransferBytes       int64           `cbor:"12,keyasint"`
	// NoHandOver keeps the group at a gatherer that no longer owns the service.
	// It is set when the requesting host cannot reach the new owner.
	NoHandOver bool `cbor:"13,keyasint"`
	// ScarceInputs says that the group's inputs take up much of the memory of
	// the servers that hold them. Other requests wait for that memory until
	// this group is done.
	ScarceInputs bool `cbor:"14,keyasint"`
	// Guaranteed says that the request is of the share that is served like the most urgent
	// class under overload.
	Guaranteed bool `cbor:"15,keyasint,omitempty"`
	// LateTolerance is by how much the group may miss its target before it is refused under
	// overload; 0 if it is not refused for that.
	LateTolerance time.Duration `cbor:"16,keyasint,omitempty"`
}

// workItem is a group that is queued or running.
type workItem struct {
	Group
	queued     time.Time
	deadline   time.Time
	target     time.Time
	results    []call.PieceResult
	waiting    []int // pieces that are not on a server
	unfinished int   // pieces without a result
	retries    int   // number of retries after failures
	refusals   int   // number of retries after a server had no memory
	ended      bool  // the caller has its answer or no longer waits
	// sentInputs is what the inputs take with each piece that is sent to a server.
	sentInputs int64
	reply      func([]call.PieceResult)
}

// newWorkItem creates the work item of a group that arrived now.
func newWorkItem(g Group, now time.Time, reply func([]call.PieceResult)) *workItem {
	w := &workItem{
		Group: g, queued: now, deadline: now.Add(g.Remaining), target: now.Add(g.RemainingToTarget),
		results: make([]call.PieceResult, g.Pieces), waiting: make([]int, g.Pieces), unfinished: g.Pieces,
		sentInputs: g.inputBytes(), reply: reply,
	}
	for i := range w.waiting {
		w.waiting[i] = i
	}
	return w
}

// queue holds the groups of one service that wait for a server. It does no I/O.
type queue struct {
	waiting []*workItem
	// overloaded selects the order of compareOverloaded.
	overloaded bool
}

// remove removes a group.
func (q *queue) remove(w *workItem) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *workItem) bool { return other == w })
}

func (q *queue) push(w *workItem) { q.waiting = append(q.waiting, w) }

const (
	// lateMemoryFraction is the fraction of a server's memory that groups with
	// large results may fill after their target has passed. The rest is left
	// for groups that can still meet theirs.
	lateMemoryFraction = 0.5
	// largeResultBytes is the size from which results are treated as large. A
	// group that would move at least this much between data centres waits for a
	// server in its preferred one: moving less takes negligible time.
	largeResultBytes = 1 << 20
	// localityWait is how long such a group waits, about the duration of one
	// call.
	localityWait = 250 * time.Millisecond
)

// locality is the data centre of a server, and the data centres that have
// servers which are not ejected.
type locality struct {
	dataCentre        host.DataCentre
	servedDataCentres map[host.DataCentre]bool
}

// mayRunAt reports whether a group may run in a server's data centre now.
func (w *workItem) mayRunAt(at locality, now time.Time) bool {
	return w.PreferredDataCentre == "" || w.PreferredDataCentre == at.dataCentre || w.TransferBytes < largeResultBytes ||
		!at.servedDataCentres[w.PreferredDataCentre] || now.Sub(w.queued) >= localityWait
}

// runnablePieces counts the queued pieces that may run at a locality.
func (q *queue) runnablePieces(at locality, now time.Time) int {
	n := 0
	for _, w := range q.waiting {
		if w.mayRunAt(at, now) {
			n += len(w.waiting)
		}
	}
	return n
}

// oldest returns the arrival time of the group that has been queued longest.
func (q *queue) oldest() time.Time {
	oldest := q.waiting[0].queued
	for _, w := range q.waiting {
		if w.queued.Before(oldest) {
			oldest = w.queued
		}
	}
	return oldest
}

// amount is an amount of queued work.
type amount struct {
	pieces float64
	bytes  float64 // of results
}

func (a *amount) add(w *workItem) {
	a.pieces += float64(len(w.waiting))
	a.bytes += float64(int64(len(w.waiting)) * w.ResultBytes)
}

// backlog is queued work: that of groups that can meet their targets, and that of the late
// groups, which are served after these.
type backlog struct {
	inTime, late amount
}

func (b *backlog) add(w *workItem, now time.Time, batchTime time.Duration) {
	if w.canMeetTarget(now, batchTime) {
		b.inTime.add(w)
	} else {
		b.late.add(w)
	}
}

// backlog returns all queued work.
func (q *queue) backlog(now time.Time, batchTime time.Duration) (all backlog) {
	for _, w := range q.waiting {
		all.add(w, now, batchTime)
	}
	return all
}

// totalPieces counts the queued pieces.
func (q *queue) totalPieces() int {
	n := 0
	for _, w := range q.waiting {
		n += len(w.waiting)
	}
	return n
}

// largestResult returns the size of the largest result of a queued piece.
func (q *queue) largestResult() int64 {
	n := int64(0)
	for _, w := range q.waiting {
		n = max(n, w.ResultBytes)
	}
	return n
}

// ahead returns the work that would be served before a new group.
func (q *queue) ahead(w *workItem, now time.Time, batchTime time.Duration) (all backlog) {
	for _, other := range q.waiting {
		if q.compare(other, w, now, batchTime) <= 0 {
			all.add(other, now, batchTime)
		}
	}
	return all
}

// expire removes and returns the groups that can no longer meet their deadline.
// Groups that have already ended are removed as well.
func (q *queue) expire(now time.Time, callTime time.Duration) []*workItem {
	var late []*workItem
	q.waiting = slices.DeleteFunc(q.waiting, func(w *workItem) bool {
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

// batchPart is the pieces of one group in a batch.
type batchPart struct {
	item   *workItem
	pieces []int
}

// takeBatch removes and returns the most urgent pieces that fit into one call
// and into the server's memory. Groups are kept whole where they fit; a group
// that is larger than a batch is split.
func (q *queue) takeBatch(now time.Time, spec *routing.StageServer, freeMemory int64, at locality) []batchPart {
	// If more pieces are queued than one call takes, groups are split to fill
	// the call completely.
	fillBatch := q.runnablePieces(at, now) > spec.BatchSize
	remaining := spec.BatchSize
	lateMemory := freeMemory - spec.UsableResultMemory() + int64(lateMemoryFraction*float64(spec.ResultMemory))
	takenBytes, callBytes := int64(0), int64(0)
	var taken []batchPart
	for _, w := range q.waiting {
		if remaining == 0 {
			break
		}
		available := freeMemory - takenBytes
		if w.ResultBytes >= largeResultBytes && !w.canMeetTarget(now, spec.FullBatchTime()) {
			available = lateMemory - takenBytes
		}
		n := len(w.waiting)
		if !w.mayRunAt(at, now) {
			continue
		}
		if n > remaining && !fillBatch && (n <= spec.BatchSize || len(taken) > 0) {
			continue
		}
		n = min(n, remaining)
		if bytes := int64(n) * w.ResultBytes; bytes > available {
			if w.ResultBytes <= 0 || available < w.ResultBytes {
				continue
			}
			n = int(available / w.ResultBytes)
		}
		if n = min(n, w.maxPiecesPerCall(callBytes)); n == 0 {
			continue
		}
		callBytes += int64(n) * w.sentBytes()
		taken = append(taken, batchPart{item: w, pieces: w.waiting[:n:n]})
		w.waiting = w.waiting[n:]
		remaining -= n
		takenBytes += int64(n) * w.ResultBytes
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *workItem) bool { return len(w.waiting) == 0 })
	return taken
}

// priorityStep is added to the target of a group for each step of lower
// priority when groups are ordered. It outweighs the differences between the objectives of
// usual routes: with 150 ms, urgent groups became late together with the others.
const priorityStep = 300 * time.Millisecond

// sort puts the groups into the order in which they are served.
func (q *queue) sort(now time.Time, batchTime time.Duration) {
	slices.SortStableFunc(q.waiting, func(a, b *workItem) int { return q.compare(a, b, now, batchTime) })
}

// canMeetTarget reports whether a group that starts now meets its target even
// in a call with a full batch, which takes batchTime. Under overload, groups
// that would narrowly miss their target must not go before those that can meet
// it.
//
// A group with scarce inputs always counts as able to meet its target: while it
// waits, its inputs block the stage before it.
func (w *workItem) canMeetTarget(now time.Time, batchTime time.Duration) bool {
	return w.ScarceInputs || !now.Add(batchTime).After(w.target)
}

// compare orders groups.
func (q *queue) compare(a, b *workItem, now time.Time, batchTime time.Duration) int {
	if q.overloaded {
		return compareOverloaded(a, b, now, batchTime)
	}
	return compare(a, b, now, batchTime)
}

// maxRank is the least urgent rank that is told apart, above those of a configuration. With
// ranks beyond it, which only a malformed group has, the target would overflow.
const maxRank = 1000

// rank returns the group's priority within its bounds.
func (w *workItem) rank() int { return min(max(w.Priority, -1), maxRank) }

// compare orders groups without overload. Those that can meet their targets come first, ordered
// by target and priority. The others follow, ordered by priority and deadline.
func compare(a, b *workItem, now time.Time, batchTime time.Duration) int {
	due := func(w *workItem) time.Time { return w.target.Add(time.Duration(w.rank()) * priorityStep) }
	aInTime, bInTime := a.canMeetTarget(now, batchTime), b.canMeetTarget(now, batchTime)
	switch {
	case aInTime && !bInTime:
		return -1
	case bInTime && !aInTime:
		return 1
	case aInTime:
		return due(a).Compare(due(b))
	default:
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), a.deadline.Compare(b.deadline))
	}
}
