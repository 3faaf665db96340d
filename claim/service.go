package claim

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/infra"
)

// Service claims requests for this host's callers and owns some of the fleet's
// shards. It is safe for concurrent use.
type Service struct {
	cfg     Config
	metrics *metrics
	shards  []*shard

	phase atomic.Int32

	liveMu sync.Mutex // guards live
	live   map[attemptID]*attempt
	idle   *sync.Cond // uses liveMu; signalled when live is empty

	routeMu sync.Mutex // guards owners
	owners  map[int]process

	randMu sync.Mutex // guards cfg.Rand

	background       context.Context
	cancelBackground context.CancelFunc
	tasksMu          sync.Mutex // held to add to tasks and to cancel background
	tasks            sync.WaitGroup
}

// The phases of a Service.
const (
	phaseStarting int32 = iota
	phaseServing
	phaseDraining
)

// New creates a service and registers its call handlers. Run starts it.
func New(cfg Config) (*Service, error) {
	cfg = cfg.withDefaults()
	if err := cfg.Settings.check(); err != nil {
		return nil, err
	}
	m, err := newMetrics(cfg.Registerer)
	if err != nil {
		return nil, err
	}
	background, cancel := context.WithCancel(context.Background())
	s := &Service{
		cfg:              cfg,
		metrics:          m,
		live:             make(map[attemptID]*attempt),
		owners:           make(map[int]process),
		background:       background,
		cancelBackground: cancel,
	}
	s.idle = sync.NewCond(&s.liveMu)
	for i := range cfg.Settings.Shards {
		s.shards = append(s.shards, newShard(s, i))
	}
	s.register(cfg.Registrar)
	return s, nil
}

// Run serves until ctx ends. It returns an error if the store was laid out with
// another number of shards.
func (s *Service) Run(ctx context.Context) error {
	defer s.stopBackground()
	if err := s.checkLayout(ctx); err != nil {
		return err
	}
	s.phase.CompareAndSwap(phaseStarting, phaseServing)
	group, ctx := errgroup.WithContext(ctx)
	for _, sh := range s.shards {
		group.Go(func() error {
			sh.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// checkLayout compares the number of shards with the layout in the store, or
// writes the layout if there is none. It retries until the store answers.
func (s *Service) checkLayout(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		found, err := s.ensureLayout(ctx)
		if err == nil && found.Shards != s.cfg.Settings.Shards {
			return Error.New("the store was laid out with %d shards, but the settings have %d", found.Shards, s.cfg.Settings.Shards)
		}
		if err == nil {
			return nil
		}
		s.cfg.Logger.Warn("claim layout could not be read or written", "error", err)
		s.sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

func (s *Service) ensureLayout(ctx context.Context) (layout, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.StoreTimeout)
	defer cancel()
	found, err := s.cfg.Store.Get(ctx, layoutKey)
	if err != nil {
		return layout{}, Error.Wrap(err)
	}
	own := layout{Shards: s.cfg.Settings.Shards}
	if found.Version != infra.NoVersion {
		var recorded layout
		err := decode(found.Value, &recorded)
		return recorded, err
	}
	value, err := encode(own)
	if err != nil {
		return layout{}, err
	}
	_, err = s.cfg.Store.CompareAndSwap(ctx, layoutKey, infra.NoVersion, value, infra.NoLease)
	return own, Error.Wrap(err)
}

// Drain makes the end of every attempt durable and hands off all shards. Call it
// after the last request has ended, while Run still runs.
func (s *Service) Drain(ctx context.Context) error {
	err := s.waitIdle(ctx)
	s.phase.Store(phaseDraining)
	for _, sh := range s.shards {
		sh.requestHandoff()
	}
	for _, sh := range s.shards {
		for sh.owned() && ctx.Err() == nil {
			s.sleep(ctx, drainPoll)
		}
	}
	return errors.Join(err, Error.Wrap(ctx.Err()))
}

// drainPoll is how often Drain checks whether the shards are handed off.
const drainPoll = 5 * time.Millisecond

func (s *Service) waitIdle(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.liveMu.Lock()
		defer s.liveMu.Unlock()
		s.idle.Broadcast()
	})
	defer stop()
	s.liveMu.Lock()
	defer s.liveMu.Unlock()
	for len(s.live) > 0 {
		if ctx.Err() != nil {
			return Error.New("%d attempts are not settled", len(s.live))
		}
		s.idle.Wait()
	}
	return nil
}

func (s *Service) serving() bool { return s.phase.Load() == phaseServing }

// goBackground starts a task. When Run ends, it cancels the task and waits for it.
func (s *Service) goBackground(task func(context.Context)) {
	s.tasksMu.Lock()
	defer s.tasksMu.Unlock()
	if s.background.Err() != nil {
		return
	}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		task(s.background)
	}()
}

func (s *Service) stopBackground() {
	s.phase.Store(phaseDraining)
	s.tasksMu.Lock()
	s.cancelBackground()
	s.tasksMu.Unlock()
	s.tasks.Wait()
}

func (s *Service) newID() attemptID {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	var id attemptID
	if _, err := io.ReadFull(s.cfg.Rand, id[:]); err != nil {
		panic("claim: reading random bytes: " + err.Error())
	}
	return id
}

// jitter returns a random duration between d/2 and 3d/2.
func (s *Service) jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}
