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

// Core holds what one host has learned and decides from it.
type Core struct {
	settings Settings
	place    host.Place
	rand     *rand.Rand
	timings  *timings
	pools    map[string]*pool
	docs     documents
	budgets  *retryBudgets
	costs    *ledger
	log      *explanations
	// probes holds when a refused pipeline was last tested.
	probes map[string]time.Time
	// sequence numbers calls, so that equals keep their order.
	sequence uint64
}

// New returns a Core that stands at place and draws from seed.
func New(settings Settings, place host.Place, seed uint64) *Core {
	return &Core{
		settings: settings,
		place:    place,
		rand:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		timings:  newTimings(),
		pools:    make(map[string]*pool),
		budgets:  newRetryBudgets(settings),
		costs:    newLedger(),
		log:      newExplanations(),
		probes:   make(map[string]time.Time),
	}
}

// Pools returns the names of the pools that requests have asked for, in order.
func (c *Core) Pools() []string { return slices.Sorted(maps.Keys(c.pools)) }

// Known reports whether the pool was observed.
func (c *Core) Known(pool string) bool { return c.pools[pool] != nil }

// Adopt takes in a generation of the document, if it is new.
func (c *Core) Adopt(doc *document.Document) { c.docs.of(doc) }

// Observation is what a host sees of one pool.
type Observation struct {
	// Upstreams are the live upstreams, ordered by ID.
	Upstreams []upstream.Upstream
	// Hosts is how many hosts share the pool, this one included.
	Hosts int
	// LoadOf returns the newest report of an upstream.
	LoadOf func(upstream.ID) (upstream.Load, bool)
}

// Observe takes in the state of a pool.
func (c *Core) Observe(now time.Time, name string, o Observation) {
	p := c.pools[name]
	if p == nil {
		p = newPool(name)
		c.pools[name] = p
	}
	p.terms = c.docs.pool(name)
	p.hosts = max(o.Hosts, 1)
	p.replace(now, o.Upstreams)
	if c.settings.LoadReports && o.LoadOf != nil {
		p.readLoads(now, o.LoadOf)
	}
	p.tick(now, c.settings)
}

// Enqueue puts a stage of a request into its pool's queue.
func (c *Core) Enqueue(now time.Time, r *Request, stage int, avoid []upstream.ID) (*Call, *Refusal) {
	p := c.pools[r.Stages[stage].Pool]
	if p == nil || len(p.order) == 0 {
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
		Request:  r,
		Stage:    stage,
		Expires:  c.latestStart(r, stage),
		doubtful: c.doubtfulStart(r, stage),
		avoid:    avoid,
		pool:     p,
		cost:     c.timings.of(&r.Arrival, stage).mean(),
		enqueued: now,
		sequence: c.sequence,
		index:    notQueued,
	}
}

// Abandon takes a call out of its queue; cause tells why in its explanation.
func (c *Core) Abandon(now time.Time, call *Call, cause Cause) *Refusal {
	call.pool.queue.remove(call)
	return c.refuse(now, call.Request, call.Stage, cause)
}

// Grants is what Grant decided.
type Grants struct {
	Started []*Attempt
	// Dropped are calls that were taken out because others, which can still
	// make their deadlines, wait behind them.
	Dropped []*Call
}

// Grant gives queued calls of a pool to upstreams, as far as there is room.
func (c *Core) Grant(now time.Time, name string) Grants {
	p := c.pools[name]
	if p == nil {
		return Grants{}
	}
	var granted []*Attempt
	for p.queue.size > 0 {
		call := p.queue.next(now, p, c.settings)
		if call == nil {
			p.limit.markFull()
			break
		}
		if p.allAvoided(call) {
			// Trying the same upstream again beats not trying.
			call.avoid = nil
		}
		s, probe := c.choose(now, p, call)
		if s == nil {
			p.queue.setAside(call)
			continue
		}
		granted = append(granted, c.start(now, call, s, probe, false))
	}
	p.queue.restoreAside(c.settings)
	dropped := p.queue.dropped
	p.queue.dropped = nil
	return Grants{Started: granted, Dropped: dropped}
}

// Hedge starts a second copy of a running attempt, or returns nil when no
// budget or upstream is free.
func (c *Core) Hedge(now time.Time, first *Attempt, avoid []upstream.ID) *Attempt {
	call := first.Call
	if !c.mayHedge(call) {
		return nil
	}
	avoid = append(avoid[:len(avoid):len(avoid)], first.Upstream.ID)
	copied := c.newCall(now, call.Request, call.Stage, avoid, call.pool)
	s, probe := c.choose(now, call.pool, copied)
	if s == nil || probe || !c.budgets.spend(call.pool.name, &call.Request.Class) {
		return nil
	}
	return c.start(now, copied, s, false, true)
}

func (c *Core) start(now time.Time, call *Call, s *server, probe, hedge bool) *Attempt {
	r := call.Request
	p := call.pool
	r.attempts[call.Stage]++
	if r.attempts[call.Stage] == 1 {
		c.budgets.earn(p.name, &r.Class)
	}
	h := c.timings.of(&r.Arrival, call.Stage)
	a := &Attempt{
		Call: call, Upstream: s.Upstream, Started: now, Hedge: hedge, Probe: probe,
		Deadline: c.attemptDeadline(r, call.Stage),
		server:   s,
		expected: h.quantile(0.5),
	}
	// An upstream that is set aside waits for its first probe from now on.
	s.lastProbe = now
	r.settle(call.Stage, p)
	s.begin(now, a)
	p.begin(call)
	c.log.choice(now, a, c.stageBudget(now, r, call.Stage))
	return a
}

// Complete takes in how an attempt ended. It returns false when that was told
// before.
func (c *Core) Complete(now time.Time, a *Attempt, o Outcome) bool {
	if a.done {
		return false
	}
	a.done = true
	call := a.Call
	elapsed := now.Sub(a.Started)
	a.server.end(now, a)
	call.pool.end(call)
	c.learn(now, a, o, elapsed)
	c.charge(a, o, elapsed)
	c.log.outcome(now, a, o, elapsed)
	return true
}

func (c *Core) learn(now time.Time, a *Attempt, o Outcome, elapsed time.Duration) {
	call := a.Call
	r := call.Request
	class := r.Class.Name
	switch {
	case o.Failure == Succeeded:
		h := c.timings.of(&r.Arrival, call.Stage)
		h.add(elapsed)
		ratio := a.ratio(elapsed)
		a.server.learn(now, call.pool, class, ratio, false)
		call.pool.limit.sample(h.slowdown(elapsed))
	case o.Failure.blamesUpstream():
		a.server.learn(now, call.pool, class, a.ratio(elapsed), true)
	case o.Failure == Cancelled && elapsed > a.expected:
		// A hedge that lost took at least this long.
		a.server.learn(now, call.pool, class, a.ratio(elapsed), false)
	}
}

// Finish ends a request.
func (c *Core) Finish(now time.Time, r *Request, f Final) {
	if r.done {
		return
	}
	r.done = true
	for stage := range r.Stages {
		if p := c.pools[r.Stages[stage].Pool]; p != nil {
			r.settle(stage, p)
		}
	}
	c.settleCosts(r, f)
	c.log.final(now, r, f)
}
