package upstream

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/internal/defaults"
	"github.com/galenaseam/galenaseam/member"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of every error this package returns.
var Error = errs.Class("upstream")

// The defaults of a Table's configuration, and its fixed intervals and limits.
const (
	DefaultPollInterval = time.Second
	DefaultProbeTimeout = time.Second
	DefaultSubsetSize   = 64
	updateInterval      = 100 * time.Millisecond
	probeAssignInterval = 2 * time.Second
	rebuildInterval     = 20 * time.Millisecond
	maxConcurrentProbes = 32
)

// factTopic is the gossip topic of hosts' claims about upstreams.
const factTopic member.Topic = "upstream"

// Config configures a Table. List and View must be set.
type Config struct {
	List infra.HostList
	View host.View
	// Gossip exchanges claims with other hosts; nil exchanges none.
	Gossip member.Gossip
	// Prober probes upstreams; nil makes no probes.
	Prober Prober
	// PollInterval is how often the host list is read.
	PollInterval time.Duration
	ProbeTimeout time.Duration
	// SubsetSize is the most upstreams of a pool that the host sends work to.
	SubsetSize int
	Timing     Timing
	Now        func() time.Time
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// snapshot is the immutable state that readers see. Changes replace it.
type snapshot struct {
	pools map[string][]Upstream
	byID  map[ID]*snapshotEntry
}

// snapshotEntry is one upstream in a snapshot. Its load is shared with the
// registry's entry and so is always current.
type snapshotEntry struct {
	Upstream
	load *atomic.Pointer[Load]
}

// Table implements View for a host. It updates the registry from the host list,
// calls, probes and other hosts' claims.
type Table struct {
	config      Config
	metrics     *tableMetrics
	probeTokens chan struct{} // one token for each probe that may run at once

	registryMu sync.Mutex // guards registry, builtAt and stale
	registry   *registry
	builtAt    time.Time // when the snapshot was last replaced
	stale      bool      // the snapshot lacks a change of the registry

	current atomic.Pointer[snapshot]
	polled  atomic.Bool
}

var _ View = (*Table)(nil)

// NewTable returns a table that is empty until Run has read the host list.
func NewTable(config Config) *Table {
	fillDefaults(&config)
	t := &Table{
		config:      config,
		metrics:     newTableMetrics(config.Registerer),
		probeTokens: make(chan struct{}, maxConcurrentProbes),
		registry:    newRegistry(config.View.Self(), config.Timing),
	}
	t.current.Store(&snapshot{})
	if config.Gossip != nil {
		config.Gossip.Subscribe(factTopic, t.receiveClaim)
	}
	return t
}

func fillDefaults(c *Config) {
	defaults.Set(&c.PollInterval, DefaultPollInterval)
	defaults.Set(&c.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&c.SubsetSize, DefaultSubsetSize)
	defaults.Set(&c.Timing, DefaultTiming())
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
}

// Run reads the host list, probes upstreams and publishes claims until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, t.config.PollInterval, t.Poll) })
	group.Go(func() error { return every(ctx, probeAssignInterval, t.assignIdleProbes) })
	group.Go(func() error {
		return every(ctx, updateInterval, func(ctx context.Context) {
			t.updateStates()
			t.publishClaims()
			t.startProbes(ctx, group)
		})
	})
	return group.Wait()
}

// every calls do at once and then after each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, do func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Poll reads the host list once. If it can't be read, the previous list stays in
// use.
func (t *Table) Poll(ctx context.Context) {
	listings, err := t.config.List.List(ctx)
	if err != nil {
		t.metrics.pollErrors.Inc()
		t.config.Logger.Warn("host list unreadable, keeping the previous one", "error", err)
		return
	}
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	now := t.config.Now()
	t.registry.applyList(now, listings)
	t.registry.updateStates(now)
	t.rebuild()
	t.polled.Store(true)
}

// Ready reports whether the host list was read at least once.
func (t *Table) Ready() bool { return t.polled.Load() }

func (t *Table) updateStates() {
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	changed := t.registry.updateStates(t.config.Now())
	if changed || t.stale {
		t.rebuild()
	}
}

// rebuildSoon replaces the snapshot now or, if it was replaced within
// rebuildInterval, leaves that to the next updateStates. registryMu must be held.
func (t *Table) rebuildSoon() {
	t.stale = true
	if t.config.Now().Sub(t.builtAt) >= rebuildInterval {
		t.rebuild()
	}
}

// rebuild replaces the snapshot. registryMu must be held.
func (t *Table) rebuild() {
	next := &snapshot{pools: make(map[string][]Upstream), byID: make(map[ID]*snapshotEntry, len(t.registry.entries))}
	live := make(map[string][]*entry)
	var counts [Dead + 1]int
	for id, e := range t.registry.entries {
		next.byID[id] = &snapshotEntry{Upstream: e.Upstream, load: &e.load}
		counts[e.State]++
		if e.State == Live {
			live[e.Pool] = append(live[e.Pool], e)
		}
	}
	for pool, entries := range live {
		next.pools[pool] = subset(t.registry.self, entries, t.config.SubsetSize)
	}
	t.current.Store(next)
	t.builtAt, t.stale = t.config.Now(), false
	for state, count := range counts {
		t.metrics.upstreams.WithLabelValues(State(state).String()).Set(float64(count))
	}
}

// Pool returns the live upstreams of a pool that this host tracks.
func (t *Table) Pool(name string) []Upstream { return t.current.Load().pools[name] }

// Lookup returns one upstream, live or not.
func (t *Table) Lookup(id ID) (Upstream, bool) {
	found, ok := t.current.Load().byID[id]
	if !ok {
		return Upstream{}, false
	}
	return found.Upstream, true
}

// All returns every known upstream, in no particular order.
func (t *Table) All() []Upstream {
	current := t.current.Load()
	out := make([]Upstream, 0, len(current.byID))
	for _, e := range current.byID {
		out = append(out, e.Upstream)
	}
	return out
}

// LoadOf returns the newest load report of an upstream.
func (t *Table) LoadOf(id ID) (Load, bool) {
	found, ok := t.current.Load().byID[id]
	if !ok {
		return Load{}, false
	}
	load := found.load.Load()
	if load == nil {
		return Load{}, false
	}
	return *load, true
}

// Report records the evidence from one call.
func (t *Table) Report(id ID, evidence Evidence) {
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	now := t.config.Now()
	t.registry.report(now, id, evidence)
	t.refreshState(now, id)
}

// refreshState recomputes one upstream's state and publishes a change to readers
// without waiting for the next updateStates. registryMu must be held.
func (t *Table) refreshState(now time.Time, id ID) {
	e, ok := t.registry.entries[id]
	if ok && t.registry.updateState(now, e) {
		t.config.Logger.Info("upstream changed state", "upstream", string(id), "pool", e.Pool, "state", e.State.String())
		t.rebuildSoon()
	}
}

// ReportLoad records an upstream's load report unless a newer one is known. If
// models is nil, the known models stay as they are.
func (t *Table) ReportLoad(id ID, load Load, models []string) {
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	e, ok := t.registry.entries[id]
	if !ok {
		return
	}
	if last := e.load.Load(); last == nil || last.AtUnixNano <= load.AtUnixNano {
		e.load.Store(&load)
	}
	if models != nil && !slices.Equal(e.Models, models) {
		e.Models = models
		t.rebuildSoon()
	}
}
