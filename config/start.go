package config

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// enoughPeers is how many peers a starting host asks in one round.
const enoughPeers = 16

// startInterval is how long a starting host waits between rounds.
const startInterval = 300 * time.Millisecond

// round is what a starting host learnt by asking peers and the store once.
type round struct {
	asked         int
	answered      int
	storeAnswered bool
	// newest is the newest generation that any peer said it serves.
	newest Generation
	// settled says that the list of hosts had time to come.
	settled bool
}

// heard says whether enough peers answered to trust the round.
func (r round) heard() bool {
	if r.asked == 0 {
		return r.settled && r.storeAnswered
	}
	return 2*r.answered >= r.asked
}

// isReady says whether a host that serves a generation may begin to.
func (r round) isReady(serving, floor Generation) bool {
	return r.heard() && serving > 0 && serving >= r.newest && serving >= floor
}

// mayCreate says whether the first document may be put into an empty store.
func (r round) mayCreate(serving, floor Generation) bool {
	return r.heard() && r.storeAnswered && serving == 0 && r.newest == 0 && floor == 0
}

// runStart asks peers and the store until the host is ready.
func (s *Syncer) runStart(ctx context.Context) error {
	started := time.Now()
	for ctx.Err() == nil {
		r := s.askRound(ctx, time.Since(started) >= s.cfg.Settle)
		serving := headOf(s.Current()).generation()
		if r.isReady(serving, s.Floor()) {
			s.ready.Store(true)
			s.metrics.ready.Set(1)
			s.cfg.Logger.Info("configuration ready", "generation", uint64(serving),
				"asked", r.asked, "answered", r.answered, "store", r.storeAnswered)
			return nil
		}
		if r.mayCreate(serving, s.Floor()) {
			s.createFirst(ctx)
		}
		s.wait(ctx, startInterval)
	}
	return ctx.Err()
}

// askRound asks up to enoughPeers peers and the store at once.
func (s *Syncer) askRound(ctx context.Context, settled bool) round {
	s.mu.Lock()
	peers := holders(s.cfg.View, 0, enoughPeers, s.random)
	s.mu.Unlock()
	answers := make([]answer, len(peers))
	r := round{asked: len(peers), settled: settled}
	var asking sync.WaitGroup
	asking.Go(func() { r.storeAnswered = s.readStore(ctx) })
	for i, peer := range peers {
		asking.Go(func() { answers[i] = s.ask(ctx, peer) })
	}
	asking.Wait()
	for _, a := range answers {
		if a.answered {
			r.answered++
			r.newest = max(r.newest, a.generation)
		}
	}
	return r
}

// createFirst puts the first document into the store. Of several hosts one
// wins; the others follow it.
func (s *Syncer) createFirst(ctx context.Context) {
	if len(s.first) == 0 {
		return
	}
	writer := NewWriter(WriterConfig{Store: s.store, InForce: s, Logger: s.cfg.Logger})
	creating, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := writer.Create(creating, uuid.NewString(), s.first, "first document")
	if err != nil {
		s.cfg.Logger.Info("first configuration not created here", "error", err.Error())
	}
	s.readStore(ctx)
}
