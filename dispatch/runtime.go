package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/policy"
)

const (
	// observeEvery is how often a pool's upstreams and loads are read.
	observeEvery = 100 * time.Millisecond
	// grantEvery is how often waiting calls are looked at again although no
	// slot was freed.
	grantEvery = 20 * time.Millisecond
	// drainRetryAfter is when a caller of a draining host should come back.
	drainRetryAfter = 100 * time.Millisecond
)

// Runtime is the Dispatcher of one host. The lock of every table in it is
// coreMu; no other lock is taken while it is held but those inside the View.
type Runtime struct {
	config  Config
	metrics *metrics

	coreMu   sync.Mutex
	core     *policy.Core
	waiters  map[*policy.Call]chan *policy.Attempt
	observed map[string]time.Time
	draining bool

	// told is when suspicions were last told; only Run uses it.
	told time.Time
}

var _ Dispatcher = (*Runtime)(nil)

// New returns a Runtime. Run must be running for limits and queues to move on.
func New(config Config) (*Runtime, error) {
	if err := config.fill(); err != nil {
		return nil, err
	}
	rt := &Runtime{
		config:   config,
		core:     policy.New(config.Settings, config.Place, config.Seed),
		waiters:  make(map[*policy.Call]chan *policy.Attempt),
		observed: make(map[string]time.Time),
	}
	rt.metrics = newMetrics(rt)
	if err := rt.metrics.register(config.Registerer); err != nil {
		return nil, Error.Wrap(err)
	}
	rt.listen()
	return rt, nil
}

// Run keeps the pools' state fresh and wakes waiting calls until ctx ends.
func (rt *Runtime) Run(ctx context.Context) error {
	ticker := time.NewTicker(grantEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			rt.tick()
			rt.tell(rt.config.Now())
		}
	}
}

func (rt *Runtime) tick() {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	now := rt.config.Now()
	for _, pool := range rt.core.Pools() {
		rt.observe(now, pool)
		rt.grant(now, pool)
	}
}

// Drain makes Admit refuse new requests. Tickets that exist go on.
func (rt *Runtime) Drain() {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	rt.draining = true
}

// Admit decides on a request before anything runs.
func (rt *Runtime) Admit(ctx context.Context, a Arrival) (Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t, refusal := rt.admit(a)
	if refusal != nil {
		rt.metrics.refused(a.Class.Name, refusal)
		return nil, refusal
	}
	rt.metrics.admitted(a.Class.Name)
	return t, nil
}

func (rt *Runtime) admit(a Arrival) (*ticket, *Refusal) {
	now := rt.config.Now()
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	if rt.draining {
		return nil, &Refusal{Cause: CauseDraining, RetryAfter: drainRetryAfter}
	}
	rt.core.SetDocument(a.Document)
	for i := range a.Stages {
		rt.observe(now, a.Stages[i].Pool)
	}
	r, refusal := rt.core.Admit(now, a)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := rt.take(now, r); refusal != nil {
		rt.core.Finish(now, r, Final{})
		return nil, refusal
	}
	return &ticket{rt: rt, request: r, stages: len(r.Stages)}, nil
}

// take uses up the workspace's limit, once the policy has said yes.
func (rt *Runtime) take(now time.Time, r *policy.Request) *Refusal {
	if rt.config.Limiter == nil {
		return nil
	}
	ok, retryAfter := rt.config.Limiter.Take(now, r.Workspace, r.Class, 1, r.Tokens())
	if ok {
		return nil
	}
	return &Refusal{Cause: CauseLimit, RetryAfter: retryAfter}
}

// observe reads a pool's state when what is known is old. It needs coreMu.
func (rt *Runtime) observe(now time.Time, pool string) {
	if last, ok := rt.observed[pool]; ok && now.Sub(last) < observeEvery {
		return
	}
	rt.observed[pool] = now
	rt.core.Observe(now, pool, policy.Observation{
		Upstreams: rt.config.Upstreams.Pool(pool),
		Hosts:     rt.config.HostCount(),
		LoadOf:    rt.config.Upstreams.LoadOf,
	})
}

// grant hands out the slots that are free. It needs coreMu.
func (rt *Runtime) grant(now time.Time, pool string) {
	grants := rt.core.Grant(now, pool)
	for _, attempt := range grants.Started {
		rt.answer(attempt.Call, attempt)
	}
	for _, call := range grants.Dropped {
		rt.answer(call, nil)
	}
}

// answer ends a call's wait; a nil attempt refuses it. It needs coreMu.
func (rt *Runtime) answer(call *policy.Call, attempt *policy.Attempt) {
	waiter := rt.waiters[call]
	delete(rt.waiters, call)
	waiter <- attempt
}

// Costs returns what work has cost so far, ordered by stage, class, pipeline
// and workspace.
func (rt *Runtime) Costs() []policy.CostRow {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	return rt.core.Costs()
}

// Explain returns the decisions on one of the newest requests.
func (rt *Runtime) Explain(requestID string) (policy.Explanation, bool) {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	return rt.core.Explain(requestID)
}

// Status returns the state of every pool, ordered by name.
func (rt *Runtime) Status() []policy.PoolStatus {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	return rt.core.Status()
}
