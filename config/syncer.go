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

// SyncerConfig is what a Syncer works with.
type SyncerConfig struct {
	Store     infra.Store
	View      host.View
	Caller    link.Caller
	Registrar link.Registrar
	// Gossip may be nil; then hosts learn of generations by asking each other.
	Gossip member.Gossip
	// Rand spreads the timers; nil seeds one.
	Rand   *rand.Rand
	Logger *slog.Logger
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
	// FirstDocument is put in force by a store that has none, when no peer
	// holds one either; empty for none.
	FirstDocument []byte
	// Settle is how long a host that knows no peer waits for the list of
	// hosts before it counts as alone; zero means two seconds.
	Settle time.Duration
}

// defaultSettle is the default of SyncerConfig.Settle.
const defaultSettle = 2 * time.Second

// Syncer keeps the newest generation in force on one host. Lock order: the
// token in applying before mu.
type Syncer struct {
	cfg     SyncerConfig
	metrics *syncerMetrics
	store   infra.Store
	first   document.Bodies

	current atomic.Pointer[Snapshot]
	held    atomic.Pointer[content]
	ready   atomic.Bool

	// applying holds one token, which whoever judges, fetches and puts a head
	// in force takes. It is no mutex, because fetching takes time and those who
	// wait for it have deadlines.
	applying chan struct{}

	// mu guards what follows.
	mu          sync.Mutex
	random      *rand.Rand
	subscribers []func(*Snapshot)

	// polls holds the next peer to poll, facts the newest peer heard of.
	polls chan host.Member
	facts chan host.Member
}

// NewSyncer makes a Syncer and registers its calls. The error says that the
// first document is not valid.
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
		cfg: cfg, random: cfg.Rand, applying: make(chan struct{}, 1),
		polls: make(chan host.Member, 1), facts: make(chan host.Member, 1),
	}
	if err := s.readFirst(); err != nil {
		return nil, err
	}
	s.metrics = newSyncerMetrics(cfg.Registerer)
	s.store = countedStore{cfg.Store, s.metrics.storeCalls}
	s.serve()
	return s, nil
}

// readFirst checks the first document.
func (s *Syncer) readFirst() error {
	if len(s.cfg.FirstDocument) == 0 {
		return nil
	}
	parsed, err := document.Parse(s.cfg.FirstDocument)
	if err != nil {
		return Error.Wrap(err)
	}
	s.first = parsed.Bodies()
	return nil
}

// Run keeps the host up to date until ctx ends, and returns ctx's error.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{s.runStart, s.runWatch, s.runPolls, s.runFacts} {
		group.Go(func() error { return loop(ctx) })
	}
	for range pollWorkers {
		group.Go(func() error { return s.askAll(ctx, s.polls) })
	}
	return group.Wait()
}

// Current returns what is in force; nil before anything is.
func (s *Syncer) Current() *Snapshot { return s.current.Load() }

// Ready says whether the host has asked enough peers to serve what it holds.
func (s *Syncer) Ready() bool { return s.ready.Load() }

// Floor returns the newest generation that this host or any live one it knows
// of says it serves.
func (s *Syncer) Floor() Generation {
	floor := headOf(s.Current()).generation()
	for _, m := range s.cfg.View.Members() {
		floor = max(floor, Generation(m.Generation))
	}
	s.metrics.floor.Set(float64(floor))
	return floor
}

// Subscribe calls deliver with what is in force now, if anything is, and with
// every later generation, in order. deliver must return soon.
func (s *Syncer) Subscribe(deliver func(*Snapshot)) {
	s.applying <- struct{}{}
	defer func() { <-s.applying }()
	s.mu.Lock()
	s.subscribers = append(s.subscribers, deliver)
	s.mu.Unlock()
	if served := s.Current(); served != nil {
		deliver(served)
	}
}

// consider judges a head that was shown and puts it in force if it continues
// what is. from is where its objects can be had.
func (s *Syncer) consider(ctx context.Context, shown *head, origin string, from source) error {
	ctx, cancel := context.WithTimeout(ctx, considerTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	case s.applying <- struct{}{}:
	}
	defer func() { <-s.applying }()
	served := s.Current()
	seen, err := judgeFully(ctx, headOf(served), shown, from)
	if err != nil {
		s.metrics.failures.WithLabelValues(origin).Inc()
		return err
	}
	switch seen {
	case verdictFork:
		s.refuse(served, shown, seen, origin)
	case verdictFollow:
		return s.follow(ctx, served, shown, origin, from)
	}
	return nil
}

// refuse reports a head that would take the host back.
func (s *Syncer) refuse(served *Snapshot, shown *head, seen verdict, origin string) {
	s.metrics.refused.WithLabelValues(seen.String()).Inc()
	s.cfg.Logger.Error("configuration head not followed", "cause", seen.String(), "from", origin,
		"serving", uint64(served.Generation), "shown", uint64(shown.generation()))
}

// follow fetches a head's document and puts it in force. It needs the token.
func (s *Syncer) follow(ctx context.Context, served *Snapshot, shown *head, origin string, from source) error {
	next, err := load(ctx, shown, served, from)
	if err != nil {
		s.metrics.failures.WithLabelValues(origin).Inc()
		s.cfg.Logger.Warn("configuration generation not fetched", "generation", uint64(shown.generation()),
			"from", origin, "error", err.Error())
		return err
	}
	held := contentOf(next)
	held.add(next.records...)
	held.add(newObject(encode(next.head.Record)))
	s.held.Store(held)
	s.current.Store(next)
	s.tell(next, origin)
	return nil
}

// tell reports a generation that came in force. It needs the token.
func (s *Syncer) tell(next *Snapshot, origin string) {
	delay := time.Since(time.Unix(0, next.Operation.AtUnixNano))
	s.metrics.generation.Set(float64(next.Generation))
	s.metrics.applied.Inc()
	s.metrics.delay.Observe(max(delay, 0).Seconds())
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
