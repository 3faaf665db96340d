package policy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/upstream"
)

// Core holds what one host has learned about its pools and makes the policy's
// decisions.
type Core struct {
	settings     Settings
	place        host.Place
	rand         *rand.Rand
	timings      *timings
	pools        map[string]*pool
	docs         documentIndexes
	budgets      *retryBudgets
	costs        *ledger
	explanations *explanations
	// pipelineProbes holds when a probe request was last admitted to a pipeline
	// or service that the learned times rule out.
	pipelineProbes map[string]time.Time
	// sequence numbers calls, so that calls with equal expiry keep their order.
	sequence uint64
}

// New returns a Core for a host at place. The seed determines all its random
// choices.
func New(settings Settings, place host.Place, seed uint64) *Core {
	return &Core{
		settings:       settings,
		place:          place,
		rand:           rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		timings:        newTimings(),
		pools:          make(map[string]*pool),
		budgets:        newRetryBudgets(settings),
		costs:          newLedger(),
		explanations:   newExplanations(),
		pipelineProbes: make(map[string]time.Time),
	}
}

// Pools returns the sorted names of the pools that were observed.
func (c *Core) Pools() []string { return slices.Sorted(maps.Keys(c.pools)) }

// HasPool reports whether the pool was ever observed.
func (c *Core) HasPool(pool string) bool { return c.pools[pool] != nil }

// SetDocument indexes a generation of the document and uses it for the pools
// from now on. A generation that is already indexed changes nothing.
func (c *Core) SetDocument(doc *document.Document) { c.docs.indexOf(doc) }

// Observation is the state of one pool as a host sees it.
type Observation struct {
	// Upstreams are the live upstreams, ordered by ID.
	Upstreams []upstream.Upstream
	// Hosts is the number of hosts that share the pool, including this one.
	Hosts int
	// LoadOf returns the latest load report of an upstream.
	LoadOf func(upstream.ID) (upstream.Load, bool)
}

// Observe updates the state of a pool, and creates the pool if it is new.
func (c *Core) Observe(now time.Time, name string, o Observation) {
	p := c.pools[name]
	if p == nil {
		p = newPool(name)
		c.pools[name] = p
	}
	p.spec = c.docs.pool(name)
	p.hosts = max(o.Hosts, 1)
	p.setUpstreams(now, o.Upstreams)
	if c.settings.LoadReports && o.LoadOf != nil {
		p.applyLoadReports(now, o.LoadOf)
	}
	p.update(now, c.settings)
}

// Enqueue adds a call for a stage of the request to the queue of its pool. The
// call is not given to the upstreams in avoid while the pool has others.
func (c *Core) Enqueue(now time.Time, r *Request, stage int, avoid []upstream.ID) (*Call, *Refusal) {
	p := c.pools[r.Stages[stage].Pool]
	if p == nil || len(p.upstreams) == 0 {
		return nil, c.refuse(now, r, stage, CauseNoUpstream)
	}
	if p.queue.size >= c.settings.MaxQueue {
		return nil, c.refuse(now, r, stage, CauseOverload)
	}
	call := c.newCall(now, r, stage, avoid, p)
	if !now.Before(call.Expires) {
		return nil, c.refuse(now, r, stage, CauseDeadline)
	}
	p.queue.push(call, c.settings)
	return call, nil
}

func (c *Core) newCall(now time.Time, r *Request, stage int, avoid []upstream.ID, p *pool) *Call {
	c.sequence++
	return &Call{
		Request:      r,
		Stage:        stage,
		Expires:      c.latestStart(r, stage),
		riskyAfter:   c.riskyStart(r, stage),
		avoid:        avoid,
		pool:         p,
		expectedTime: c.timings.histogramOf(&r.Arrival, stage).mean(),
		enqueued:     now,
		sequence:     c.sequence,
		index:        notQueued,
	}
}

// Abandon removes a call from its queue and returns a refusal with the cause.
func (c *Core) Abandon(now time.Time, call *Call, cause Cause) *Refusal {
	call.pool.queue.remove(call)
	return c.refuse(now, call.Request, call.Stage, cause)
}

// Grants is the result of Grant.
type Grants struct {
	Started []*Attempt
	// Dropped are calls that were removed from the queue: calls at risk of
	// missing their deadlines, dropped in favour of those behind them, and
	// calls whose time has passed.
	Dropped []*Call
}

// Grant starts queued calls of a pool on upstreams while there is room.
func (c *Core) Grant(now time.Time, name string) Grants {
	p := c.pools[name]
	if p == nil {
		return Grants{}
	}
	var granted []*Attempt
	for p.queue.size > 0 {
		call := p.queue.next(now, p, c.settings)
		if call == nil {
			p.limit.markReached()
			break
		}
		if p.allAvoided(call) {
			// A repeated attempt on the same upstream is better than none.
			call.avoid = nil
		}
		s, probe := c.choose(now, p, call)
		if s == nil {
			p.queue.deferCall(call)
			continue
		}
		granted = append(granted, c.start(now, call, s, probe, false))
	}
	p.queue.requeueDeferred(c.settings)
	dropped := p.queue.dropped
	p.queue.dropped = nil
	return Grants{Started: granted, Dropped: dropped}
}

// Hedge starts a second copy of a running attempt. It returns nil if the
// settings, the retry budget or the load don't allow one.
func (c *Core) Hedge(now time.Time, first *Attempt, avoid []upstream.ID) *Attempt {
	call := first.Call
	if !c.mayHedge(call) {
		return nil
	}
	avoid = append(avoid[:len(avoid):len(avoid)], first.Upstream.ID)
	second := c.newCall(now, call.Request, call.Stage, avoid, call.pool)
	s, probe := c.choose(now, call.pool, second)
	if s == nil || probe || !c.budgets.spend(call.pool.name, &call.Request.Class) {
		return nil
	}
	return c.start(now, second, s, false, true)
}

func (c *Core) start(now time.Time, call *Call, s *upstreamState, probe, hedge bool) *Attempt {
	r := call.Request
	p := call.pool
	r.attempts[call.Stage]++
	if r.attempts[call.Stage] == 1 {
		c.budgets.earn(p.name, &r.Class)
	}
	h := c.timings.histogramOf(&r.Arrival, call.Stage)
	a := &Attempt{
		Call: call, Upstream: s.Upstream, Started: now, Hedge: hedge, Probe: probe,
		Deadline: c.attemptDeadline(r, call.Stage),
		state:    s,
		expected: h.quantile(0.5),
	}
	// If the upstream is set aside later, the wait for its first probe counts
	// from its last call.
	s.lastCallAt = now
	r.releaseCommitted(call.Stage, p)
	s.begin(now, a)
	p.begin(call)
	c.explanations.choice(now, a, c.stageBudget(now, r, call.Stage))
	return a
}

// Complete records the outcome of an attempt. It returns false if the attempt
// was already completed.
func (c *Core) Complete(now time.Time, a *Attempt, o Outcome) bool {
	if a.done {
		return false
	}
	a.done = true
	call := a.Call
	elapsed := now.Sub(a.Started)
	a.state.end(now, a)
	call.pool.end(call)
	c.learn(now, a, o, elapsed)
	c.charge(a, o, elapsed)
	c.explanations.outcome(now, a, o, elapsed)
	return true
}

func (c *Core) learn(now time.Time, a *Attempt, o Outcome, elapsed time.Duration) {
	call := a.Call
	r := call.Request
	class := r.Class.Name
	switch {
	case o.Failure == Succeeded:
		h := c.timings.histogramOf(&r.Arrival, call.Stage)
		h.add(elapsed)
		slowness := a.slowness(elapsed)
		a.state.recordCall(now, call.pool, class, slowness, false)
		call.pool.limit.addSlowdown(h.slowdown(elapsed))
	case o.Failure.blamesUpstream():
		a.state.recordCall(now, call.pool, class, a.slowness(elapsed), true)
	case o.Failure == Cancelled && elapsed > a.expected:
		// The copy of a hedged call that was cancelled would have taken at
		// least this long.
		a.state.recordCall(now, call.pool, class, a.slowness(elapsed), false)
	}
}

// Finish records the end of a request and releases its expected work. Further
// calls do nothing.
func (c *Core) Finish(now time.Time, r *Request, f Result) {
	if r.done {
		return
	}
	r.done = true
	for stage := range r.Stages {
		if p := c.pools[r.Stages[stage].Pool]; p != nil {
			r.releaseCommitted(stage, p)
		}
	}
	c.recordWaste(r, f)
	c.explanations.finish(now, r, f)
}
