package policy

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// notQueued is the index of a call that is in no queue.
	notQueued = -1
	// floorShare is the share of a pool's slots that the lower classes may
	// hold even while higher ones wait.
	floorShare = 0.1
	// starveAfter is how long a class that has no floor of whole slots may go
	// without a grant while its calls wait.
	starveAfter = time.Second
	// maxIdleFlows bounds the workspaces without calls that a class keeps.
	maxIdleFlows = 4096
	// noFlow is the one flow of a class when fairness is off.
	noFlow = ""
)

// queue holds the calls that wait for one pool: by class priority, then
// fairly between workspaces, then by slack.
type queue struct {
	classes []*classQueue
	size    int
	aside   []*Call
	dropped []*Call
}

func newQueue() *queue { return &queue{} }

// classQueue holds the waiting calls of one class. Workspaces share it by
// start-time fair queueing.
type classQueue struct {
	name     string
	priority int
	flows    map[string]*flow
	active   flowHeap
	// virtual is the virtual time of the last grant.
	virtual   float64
	lastGrant time.Time
	size      int
}

// flow holds the waiting calls of one workspace, least slack first.
type flow struct {
	class *classQueue
	key   string
	calls callHeap
	// virtual is the virtual time at which the flow's next call starts.
	virtual float64
	share   float64
	index   int
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
	key := noFlow
	if settings.Fairness {
		key = call.Request.Workspace
	}
	f := c.flows[key]
	if f == nil {
		f = &flow{class: c, key: key, virtual: c.virtual, share: call.Request.share(), index: notQueued}
		c.flows[key] = f
	}
	call.flow = f
	heap.Push(&f.calls, call)
	if f.index == notQueued {
		f.virtual = max(f.virtual, c.virtual)
		heap.Push(&c.active, f)
	}
	c.size++
	q.size++
}

// remove takes a call out; it does nothing when the call isn't queued.
func (q *queue) remove(call *Call) {
	if call.index == notQueued {
		return
	}
	f := call.flow
	heap.Remove(&f.calls, call.index)
	f.class.size--
	q.size--
	if len(f.calls) == 0 {
		q.retire(f)
	}
}

// retire drops an empty flow. Its virtual time is kept by the class, so that
// a workspace gains nothing by leaving and coming back.
func (q *queue) retire(f *flow) {
	if f.index != notQueued {
		heap.Remove(&f.class.active, f.index)
	}
	if f.virtual <= f.class.virtual {
		delete(f.class.flows, f.key)
	}
	if len(f.class.flows) > len(f.class.active)+maxIdleFlows {
		f.class.sweep()
	}
}

// sweep drops the idle flows that have nothing to make up for any more, and
// all of them when that is not enough.
func (c *classQueue) sweep() {
	for key, f := range c.flows {
		if f.index == notQueued && f.virtual <= c.virtual {
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

// waiting reports whether calls of the priority or above wait.
func (q *queue) waiting(priority int) bool {
	for _, c := range q.classes {
		if c.size > 0 && c.priority >= priority {
			return true
		}
	}
	return false
}

// next takes out the call that should run next, or returns nil. Calls that
// would hardly end in time are dropped for those behind them.
func (q *queue) next(now time.Time, p *pool, settings Settings) *Call {
	for {
		c := q.pick(now, p, settings)
		if c == nil {
			return nil
		}
		call := q.take(c)
		c.lastGrant = now
		if now.Before(call.doubtful) || (c.size == 0 && now.Before(call.Expires)) {
			return call
		}
		q.dropped = append(q.dropped, call)
	}
}

// pick chooses the class whose turn it is.
func (q *queue) pick(now time.Time, p *pool, settings Settings) *classQueue {
	if !settings.Queueing {
		return q.first()
	}
	for i := len(q.classes) - 1; i > 0; i-- {
		if c := q.classes[i]; c.size > 0 && c.starving(now, p) && p.inFlight < p.limit.value()+overdraftSlots {
			return c
		}
	}
	for _, c := range q.classes {
		if c.size > 0 && p.mayTake(c, settings) {
			return c
		}
	}
	return nil
}

func (q *queue) first() *classQueue {
	for _, c := range q.classes {
		if c.size > 0 {
			return c
		}
	}
	return nil
}

// starving reports whether a lower class is below its floor.
func (c *classQueue) starving(now time.Time, p *pool) bool {
	floor := int(floorShare * float64(p.limit.value()))
	if floor > 0 {
		return p.inFlightOf[c.name] < floor
	}
	return now.Sub(c.lastGrant) > starveAfter
}

// take removes the flow's call with the least slack from a class that has one.
func (q *queue) take(c *classQueue) *Call {
	f := c.active[0]
	call := heap.Pop(&f.calls).(*Call)
	c.virtual = max(c.virtual, f.virtual)
	f.virtual += call.weight() / f.share
	c.size--
	q.size--
	if len(f.calls) == 0 {
		q.retire(f)
	} else {
		heap.Fix(&c.active, f.index)
	}
	return call
}

// weight is what a call counts for in fair queues: its expected time, which
// grows with its tokens, and never less than a request's least.
func (call *Call) weight() float64 {
	const least = 10 * time.Millisecond
	return max(call.cost, least).Seconds()
}

// setAside keeps a taken call that found no upstream until restoreAside.
func (q *queue) setAside(call *Call) {
	call.flow.virtual -= call.weight() / call.flow.share
	q.aside = append(q.aside, call)
}

func (q *queue) restoreAside(settings Settings) {
	for _, call := range q.aside {
		q.push(call, settings)
	}
	clear(q.aside)
	q.aside = q.aside[:0]
}
