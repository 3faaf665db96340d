package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/policy"
)

const (
	// observeInterval is the shortest time between two reads of a pool's
	// upstreams and loads.
	observeInterval = 100 * time.Millisecond
	// grantInterval is how often waiting calls are reconsidered although no
	// slot was released.
	grantInterval = 20 * time.Millisecond
	// drainRetryAfter is how long a caller refused by a draining host should
	// wait before it retries.
	drainRetryAfter = 100 * time.Millisecond
)

// Runtime is the Dispatcher of one host. While coreMu is held, other locks are
// taken only inside the View, HostCount, the Limiter and the metrics.
type Runtime struct {
	config  Config
	metrics *metrics

	coreMu   sync.Mutex // guards core, waiters, observed and draining
	core     *policy.Core
	waiters  map[*policy.Call]chan *policy.Attempt
	observed map[string]time.Time
	draining bool

	// lastPublished is when suspicions were last published; only Run uses it.
	lastPublished time.Time
}

var _ Dispatcher = (*Runtime)(nil)

// New returns a Runtime. Limits and queues are updated only while Run is running.
func New(config Config) (*Runtime, error) {
	if err := config.setDefaults(); err != nil {
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
	rt.subscribeSuspicions()
	return rt, nil
}

// Run refreshes the pools' state and serves waiting calls until ctx is done.
func (rt *Runtime) Run(ctx context.Context) error {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			rt.tick()
			rt.publishSuspicions(rt.config.Now())
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

// Drain makes Admit refuse new requests. Existing tickets stay usable.
func (rt *Runtime) Drain() {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	rt.draining = true
}

// Admit decides whether a request may run.
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
	if refusal := rt.takeLimit(now, r); refusal != nil {
		rt.core.Finish(now, r, Result{})
		return nil, refusal
	}
	return &ticket{rt: rt, request: r, stages: len(r.Stages)}, nil
}

// takeLimit charges an admitted request to its workspace's limit.
func (rt *Runtime) takeLimit(now time.Time, r *policy.Request) *Refusal {
	if rt.config.Limiter == nil {
		return nil
	}
	ok, retryAfter := rt.config.Limiter.Take(now, r.Workspace, r.Class, 1, r.Tokens())
	if ok {
		return nil
	}
	return &Refusal{Cause: CauseLimit, RetryAfter: retryAfter}
}

// observe reads a pool's state if the last read is older than observeInterval.
// coreMu must be held.
func (rt *Runtime) observe(now time.Time, pool string) {
	if last, ok := rt.observed[pool]; ok && now.Sub(last) < observeInterval {
		return
	}
	rt.observed[pool] = now
	rt.core.Observe(now, pool, policy.Observation{
		Upstreams: rt.config.Upstreams.Pool(pool),
		Hosts:     rt.config.HostCount(),
		LoadOf:    rt.config.Upstreams.LoadOf,
	})
}

// grant gives free slots to waiting calls. coreMu must be held.
func (rt *Runtime) grant(now time.Time, pool string) {
	grants := rt.core.Grant(now, pool)
	for _, attempt := range grants.Started {
		rt.resolveWaiter(attempt.Call, attempt)
	}
	for _, call := range grants.Dropped {
		rt.resolveWaiter(call, nil)
	}
}

// resolveWaiter ends a call's wait; a nil attempt means that the call was
// dropped. coreMu must be held.
func (rt *Runtime) resolveWaiter(call *policy.Call, attempt *policy.Attempt) {
	waiter := rt.waiters[call]
	delete(rt.waiters, call)
	waiter <- attempt
}

// Costs returns the costs so far, ordered by stage, class, pipeline and
// workspace.
func (rt *Runtime) Costs() []policy.CostRow {
	rt.coreMu.Lock()
	defer rt.coreMu.Unlock()
	return rt.core.Costs()
}

// Explain returns the decisions on a recent request.
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
