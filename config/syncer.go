package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
)

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	Store     infra.Store
	View      host.View
	Caller    link.Caller
	Registrar link.Registrar
	// Gossip announces new generations. Without it, hosts learn of them by
	// polling each other.
	Gossip member.Gossip
	// Rand selects the peers to ask; nil seeds a new generator.
	Rand   *rand.Rand
	Logger *slog.Logger
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
	// FirstDocument is created in a store that has no document if no peer
	// serves one either; empty for none.
	FirstDocument []byte
	// Settle is how long a host that knows no peer waits for the host list
	// before it assumes that it is alone. Zero means two seconds.
	Settle time.Duration
}

// defaultSettle is the default of SyncerConfig.Settle.
const defaultSettle = 2 * time.Second

// Syncer applies the newest generation on one host. Lock order: applyToken
// before mu.
type Syncer struct {
	cfg         SyncerConfig
	metrics     *syncerMetrics
	store       infra.Store
	firstBodies document.Bodies

	current       atomic.Pointer[Snapshot]
	servedObjects atomic.Pointer[objectSet]
	ready         atomic.Bool

	// applyToken has room for one token, which is held while a head is
	// compared, fetched and applied. It is a channel and not a mutex because
	// fetching takes time and those who wait have deadlines.
	applyToken chan struct{}

	// mu guards random and subscribers.
	mu          sync.Mutex
	random      *rand.Rand
	subscribers []func(*Snapshot)

	// pollPeers holds the next peer to poll, factPeers the peer whose
	// announcement came last.
	pollPeers chan host.Member
	factPeers chan host.Member
}

// NewSyncer returns a Syncer and registers its handlers. It fails if the first
// document is invalid.
func NewSyncer(cfg SyncerConfig) (*Syncer, error) {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Settle == 0 {
		cfg.Settle = defaultSettle
	}
	s := &Syncer{
		cfg: cfg, random: cfg.Rand, applyToken: make(chan struct{}, 1),
		pollPeers: make(chan host.Member, 1), factPeers: make(chan host.Member, 1),
	}
	if err := s.parseFirstDocument(); err != nil {
		return nil, err
	}
	s.metrics = newSyncerMetrics(cfg.Registerer)
	s.store = countingStore{cfg.Store, s.metrics.storeCalls}
	s.registerHandlers()
	return s, nil
}

// parseFirstDocument parses SyncerConfig.FirstDocument.
func (s *Syncer) parseFirstDocument() error {
	if len(s.cfg.FirstDocument) == 0 {
		return nil
	}
	parsed, err := document.Parse(s.cfg.FirstDocument)
	if err != nil {
		return Error.Wrap(err)
	}
	s.firstBodies = parsed.Bodies()
	return nil
}

// Run keeps the host up to date until ctx ends, and returns ctx's error.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{s.runStart, s.runWatch, s.runPolls, s.runFacts} {
		group.Go(func() error { return loop(ctx) })
	}
	for range pollWorkers {
		group.Go(func() error { return s.askPeers(ctx, s.pollPeers) })
	}
	return group.Wait()
}

// Current returns the snapshot in force, or nil if there is none yet.
func (s *Syncer) Current() *Snapshot { return s.current.Load() }

// Ready reports whether the host may serve its generation: at startup enough
// peers answered and none had a newer one. A host without peers needs an
// answer of the store instead.
func (s *Syncer) Ready() bool { return s.ready.Load() }

// Floor returns the newest generation that this host serves or that a host in
// its view announces.
func (s *Syncer) Floor() Generation {
	floor := headOf(s.Current()).generation()
	for _, m := range s.cfg.View.Members() {
		floor = max(floor, Generation(m.Generation))
	}
	s.metrics.floor.Set(float64(floor))
	return floor
}

// Subscribe calls deliver with the snapshot in force, if there is one, and
// with every later one in order. deliver must return quickly, because no head
// is applied meanwhile.
func (s *Syncer) Subscribe(deliver func(*Snapshot)) {
	s.applyToken <- struct{}{}
	defer func() { <-s.applyToken }()
	s.mu.Lock()
	s.subscribers = append(s.subscribers, deliver)
	s.mu.Unlock()
	if served := s.Current(); served != nil {
		deliver(served)
	}
}

// processHead compares a head with the one in force and applies it if it is a
// descendant. from provides its objects.
func (s *Syncer) processHead(ctx context.Context, candidate *head, origin string, from objectSource) error {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case s.applyToken <- struct{}{}:
	}
	defer func() { <-s.applyToken }()
	served := s.Current()
	relation, err := compareHeadsWithHistory(ctx, headOf(served), candidate, from)
	if err != nil {
		s.metrics.fetchFailures.WithLabelValues(origin).Inc()
		return err
	}
	switch relation {
	case headFork:
		s.reportRefused(served, candidate, relation, origin)
	case headDescendant:
		return s.follow(ctx, served, candidate, origin, from)
	}
	return nil
}

// reportRefused logs and counts a head that is older than the one in force or
// a fork of it.
func (s *Syncer) reportRefused(served *Snapshot, candidate *head, relation headRelation, origin string) {
	s.metrics.headsRefused.WithLabelValues(relation.String()).Inc()
	s.cfg.Logger.Error("configuration head not followed", "cause", relation.String(), "from", origin,
		"serving", uint64(served.Generation), "shown", uint64(candidate.generation()))
}

// follow fetches a head's document and applies it. The caller holds
// applyToken.
func (s *Syncer) follow(ctx context.Context, served *Snapshot, candidate *head, origin string, from objectSource) error {
	next, err := load(ctx, candidate, served, from)
	if err != nil {
		s.metrics.fetchFailures.WithLabelValues(origin).Inc()
		s.cfg.Logger.Warn("configuration generation not fetched", "generation", uint64(candidate.generation()),
			"from", origin, "error", err.Error())
		return err
	}
	held := objectSetOf(next)
	held.add(next.records...)
	held.add(newObject(encode(next.head.Record)))
	s.servedObjects.Store(held)
	s.current.Store(next)
	s.publish(next, origin)
	return nil
}

// publish reports a newly applied generation to metrics, log, subscribers and
// peers. The caller holds applyToken.
func (s *Syncer) publish(next *Snapshot, origin string) {
	delay := time.Since(time.Unix(0, next.Operation.AtUnixNano))
	s.metrics.generation.Set(float64(next.Generation))
	s.metrics.applied.Inc()
	s.metrics.inForceDelay.Observe(max(delay, 0).Seconds())
	s.cfg.Logger.Info("configuration in force", "generation", uint64(next.Generation), "from", origin,
		"operation", next.Operation.ID, "team", next.Operation.Team)
	s.mu.Lock()
	subscribers := s.subscribers
	s.mu.Unlock()
	for _, deliver := range subscribers {
		deliver(next)
	}
	s.announce(next)
}
