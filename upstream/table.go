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

// Defaults of a Table.
const (
	DefaultPollInterval = time.Second
	DefaultProbeTimeout = time.Second
	DefaultSubsetSize   = 64
	settleInterval      = 100 * time.Millisecond
	dutyInterval        = 2 * time.Second
	rebuildInterval     = 20 * time.Millisecond
	maxProbesAtOnce     = 32
)

// factTopic is the topic of the claims that hosts spread.
const factTopic member.Topic = "upstream"

// Config configures a Table. List and View must be set.
type Config struct {
	List infra.HostList
	View host.View
	// Gossip spreads claims between hosts; nil keeps them to this host.
	Gossip member.Gossip
	// Prober asks upstreams for a sign of life; nil makes no probes.
	Prober Prober
	// PollInterval is how often the host list is read.
	PollInterval time.Duration
	ProbeTimeout time.Duration
	// SubsetSize is how many upstreams of a pool the host sends work to.
	SubsetSize int
	Timing     Timing
	Now        func() time.Time
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// snapshot is what readers see; it is replaced and never changed.
type snapshot struct {
	pools map[string][]Upstream
	byID  map[ID]*known
}

// known is one upstream in a snapshot; its load moves on by itself.
type known struct {
	Upstream
	load *atomic.Pointer[Load]
}

// Table is the View that a host uses: it feeds the registry from the host
// list, from calls, from probes and from other hosts.
type Table struct {
	config  Config
	metrics *tableMetrics
	probes  chan struct{} // one token for each probe that may run at once

	registryMu sync.Mutex
	registry   *registry
	builtAt    time.Time // when the snapshot was last replaced
	stale      bool      // the snapshot misses a change

	current atomic.Pointer[snapshot]
	polled  atomic.Bool
}

var _ View = (*Table)(nil)

// NewTable returns a table that is empty until Run has read the host list.
func NewTable(config Config) *Table {
	fillDefaults(&config)
	t := &Table{
		config:   config,
		metrics:  newTableMetrics(config.Registerer),
		probes:   make(chan struct{}, maxProbesAtOnce),
		registry: newRegistry(config.View.Self(), config.Timing),
	}
	t.current.Store(&snapshot{})
	if config.Gossip != nil {
		config.Gossip.Subscribe(factTopic, t.hear)
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

// Run polls, probes and publishes until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, t.config.PollInterval, t.Poll) })
	group.Go(func() error { return every(ctx, dutyInterval, t.shareDuties) })
	group.Go(func() error {
		return every(ctx, settleInterval, func(ctx context.Context) {
			t.settle()
			t.publishNews()
			t.startProbes(ctx, group)
		})
	})
	return group.Wait()
}

// every calls do at once and then at each interval until ctx ends.
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

// Poll reads the host list once. A list that can't be read changes nothing.
func (t *Table) Poll(ctx context.Context) {
	listings, err := t.config.List.List(ctx)
	if err != nil {
		t.metrics.pollErrors.Inc()
		t.config.Logger.Warn("host list unreadable, the last one stands", "error", err)
		return
	}
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	now := t.config.Now()
	t.registry.applyList(now, listings)
	t.registry.settle(now)
	t.rebuild()
	t.polled.Store(true)
}

// Ready says whether the host list was read at least once.
func (t *Table) Ready() bool { return t.polled.Load() }

func (t *Table) settle() {
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	changed := t.registry.settle(t.config.Now())
	if changed || t.stale {
		t.rebuild()
	}
}

// rebuildSoon replaces the snapshot now or, when many changes come together,
// with the next settling. registryMu must be held.
func (t *Table) rebuildSoon() {
	t.stale = true
	if t.config.Now().Sub(t.builtAt) >= rebuildInterval {
		t.rebuild()
	}
}

// rebuild replaces the snapshot. registryMu must be held.
func (t *Table) rebuild() {
	next := &snapshot{pools: make(map[string][]Upstream), byID: make(map[ID]*known, len(t.registry.entries))}
	live := make(map[string][]*entry)
	var counts [Dead + 1]int
	for id, e := range t.registry.entries {
		next.byID[id] = &known{Upstream: e.Upstream, load: &e.load}
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

// All returns every known upstream, in no order.
func (t *Table) All() []Upstream {
	current := t.current.Load()
	out := make([]Upstream, 0, len(current.byID))
	for _, k := range current.byID {
		out = append(out, k.Upstream)
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

// Report records what one call saw.
func (t *Table) Report(id ID, seen Evidence) {
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	now := t.config.Now()
	t.registry.report(now, id, seen)
	t.refresh(now, id)
}

// refresh makes a change of one upstream's state visible at once. registryMu
// must be held.
func (t *Table) refresh(now time.Time, id ID) {
	e, ok := t.registry.entries[id]
	if ok && t.registry.settleOne(now, e) {
		t.config.Logger.Info("upstream changed state", "upstream", string(id), "pool", e.Pool, "state", e.State.String())
		t.rebuildSoon()
	}
}

// ReportLoad records an upstream's own load report unless a newer one is
// known. A nil models leaves the known models as they are.
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
