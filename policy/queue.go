package policy

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// notQueued is the heap index of a call or flow that is not queued.
	notQueued = -1
	// minClassShare is the share of the host's limit on a pool that each class
	// below the highest may use even while higher classes wait.
	minClassShare = 0.1
	// starvationTimeout applies when that share is less than one slot: a class
	// whose calls wait is served after this time without a grant.
	starvationTimeout = time.Second
	// maxIdleFlows bounds the flows without calls that a class keeps.
	maxIdleFlows = 4096
	// sharedFlow is the key of a class's only flow when fairness is off.
	sharedFlow = ""
)

// queue holds the calls that wait for one pool, ordered by class priority, then
// fairly between workspaces, then by expiry.
type queue struct {
	classes []*classQueue
	size    int
	// deferred holds the calls that no upstream could take during one Grant,
	// dropped those that next dropped during it.
	deferred []*Call
	dropped  []*Call
}

func newQueue() *queue { return &queue{} }

// classQueue holds the waiting calls of one class. Start-time fair queueing
// divides the grants between workspaces.
type classQueue struct {
	name     string
	priority int
	flows    map[string]*flow
	active   flowHeap
	// virtualTime is the virtual start time of the last grant.
	virtualTime float64
	// lastGrant is when next last took a call of the class. After the queue was
	// empty, it is when the first call in it was enqueued.
	lastGrant time.Time
	size      int
}

// flow holds the waiting calls of one workspace, ordered by expiry.
type flow struct {
	class *classQueue
	key   string
	calls callHeap
	// virtualStart is the virtual time at which the flow's next call starts.
	virtualStart float64
	share        float64
	index        int
}

func (q *queue) class(call *Call) *classQueue {
	class := &call.Request.Class
	for _, c := range q.classes {
		if c.name == class.Name && c.priority == class.Priority {
			return c
		}
	}
	c := &classQueue{
		name: class.Name, priority: class.Priority,
		flows: make(map[string]*flow), lastGrant: call.enqueued,
	}
	q.classes = append(q.classes, c)
	slices.SortStableFunc(q.classes, func(a, b *classQueue) int { return b.priority - a.priority })
	return c
}

func (q *queue) push(call *Call, settings Settings) {
	c := q.class(call)
	if c.size == 0 {
		c.lastGrant = call.enqueued
	}
	key := sharedFlow
	if settings.Fairness {
		key = call.Request.Workspace
	}
	f := c.flows[key]
	if f == nil {
		f = &flow{class: c, key: key, virtualStart: c.virtualTime, share: call.Request.share(), index: notQueued}
		c.flows[key] = f
	}
	call.flow = f
	heap.Push(&f.calls, call)
	if f.index == notQueued {
		f.virtualStart = max(f.virtualStart, c.virtualTime)
		heap.Push(&c.active, f)
	}
	c.size++
	q.size++
}

// remove removes a call from the queue. It does nothing if the call isn't
// queued.
func (q *queue) remove(call *Call) {
	if call.index == notQueued {
		return
	}
	f := call.flow
	heap.Remove(&f.calls, call.index)
	f.class.size--
	q.size--
	if len(f.calls) == 0 {
		q.deactivateFlow(f)
	}
}

// deactivateFlow takes an empty flow off the active flows. The class forgets
// the flow unless its virtual time is ahead of the class, so that a workspace
// gains nothing by leaving and coming back.
func (q *queue) deactivateFlow(f *flow) {
	if f.index != notQueued {
		heap.Remove(&f.class.active, f.index)
	}
	if f.virtualStart <= f.class.virtualTime {
		delete(f.class.flows, f.key)
	}
	if len(f.class.flows) > len(f.class.active)+maxIdleFlows {
		f.class.removeIdleFlows()
	}
}

// removeIdleFlows removes the idle flows whose virtual time is not ahead of the
// class. If that is not enough, it removes all idle flows.
func (c *classQueue) removeIdleFlows() {
	for key, f := range c.flows {
		if f.index == notQueued && f.virtualStart <= c.virtualTime {
			delete(c.flows, key)
		}
	}
	if len(c.flows) <= len(c.active)+maxIdleFlows {
		return
	}
	for key, f := range c.flows {
		if f.index == notQueued {
			delete(c.flows, key)
		}
	}
}

// hasWaiting reports whether calls of the priority or a higher one wait.
func (q *queue) hasWaiting(priority int) bool {
	for _, c := range q.classes {
		if c.size > 0 && c.priority >= priority {
			return true
		}
	}
	return false
}

// next removes and returns the call to run next, or nil. It drops calls that
// are at risk of missing their deadlines in favour of those behind them.
func (q *queue) next(now time.Time, p *pool, settings Settings) *Call {
	for {
		c := q.pickClass(now, p, settings)
		if c == nil {
			return nil
		}
		call := q.popCall(c)
		c.lastGrant = now
		if now.Before(call.riskyAfter) || (c.size == 0 && now.Before(call.Expires)) {
			return call
		}
		q.dropped = append(q.dropped, call)
	}
}

// pickClass returns the class to serve next, or nil. Lower classes that starve
// come first, then the highest class that has room.
func (q *queue) pickClass(now time.Time, p *pool, settings Settings) *classQueue {
	if !settings.Queueing {
		return q.firstWaiting()
	}
	for i := len(q.classes) - 1; i > 0; i-- {
		if c := q.classes[i]; c.size > 0 && c.starving(now, p) && p.inFlight < p.limit.value()+overLimitSlots {
			return c
		}
	}
	for _, c := range q.classes {
		if c.size > 0 && p.hasRoom(c, settings) {
			return c
		}
	}
	return nil
}

func (q *queue) firstWaiting() *classQueue {
	for _, c := range q.classes {
		if c.size > 0 {
			return c
		}
	}
	return nil
}

// starving reports whether a class has less than its minimum share.
func (c *classQueue) starving(now time.Time, p *pool) bool {
	floor := int(minClassShare * float64(p.limit.value()))
	if floor > 0 {
		return p.inFlightByClass[c.name] < floor
	}
	return now.Sub(c.lastGrant) > starvationTimeout
}

// popCall removes the call that expires first from the class's flow with the
// lowest virtual start. The class must have a waiting call.
func (q *queue) popCall(c *classQueue) *Call {
	f := c.active[0]
	call := heap.Pop(&f.calls).(*Call)
	c.virtualTime = max(c.virtualTime, f.virtualStart)
	f.virtualStart += call.weight() / f.share
	c.size--
	q.size--
	if len(f.calls) == 0 {
		q.deactivateFlow(f)
	} else {
		heap.Fix(&c.active, f.index)
	}
	return call
}

// weight is the cost of a call in fair queueing: its expected time, which grows
// with its tokens, and at least a minimum per call.
func (call *Call) weight() float64 {
	const least = 10 * time.Millisecond
	return max(call.expectedTime, least).Seconds()
}

// deferCall keeps a call that next returned but no upstream could take, until
// requeueDeferred.
func (q *queue) deferCall(call *Call) {
	call.flow.virtualStart -= call.weight() / call.flow.share
	q.deferred = append(q.deferred, call)
}

func (q *queue) requeueDeferred(settings Settings) {
	for _, call := range q.deferred {
		q.push(call, settings)
	}
	clear(q.deferred)
	q.deferred = q.deferred[:0]
}
