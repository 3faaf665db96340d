package config

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
)

// maxStartPeers bounds the peers that a starting host asks in one round.
const maxStartPeers = 16

// startInterval is the time between rounds of a starting host.
const startInterval = 300 * time.Millisecond

// startRound is what a starting host learned by asking some peers and the
// store once.
type startRound struct {
	asked         int
	answered      int
	storeAnswered bool
	// newest is the newest generation that a peer said it serves.
	newest Generation
	// settled means that the host list had time to arrive.
	settled bool
}

// enoughAnswers reports whether the round can be trusted: at least half of the
// peers answered, or the store did if the host is alone.
func (r startRound) enoughAnswers() bool {
	if r.asked == 0 {
		return r.settled && r.storeAnswered
	}
	return 2*r.answered >= r.asked
}

// isReady reports whether the host may start to serve a generation.
func (r startRound) isReady(serving, floor Generation) bool {
	return r.enoughAnswers() && serving > 0 && serving >= r.newest && serving >= floor
}

// mayCreate reports whether the host may create the first document in an empty
// store.
func (r startRound) mayCreate(serving, floor Generation) bool {
	return r.enoughAnswers() && r.storeAnswered && serving == 0 && r.newest == 0 && floor == 0
}

// runStart asks peers and the store in rounds until the host is ready. It
// creates the first document if there is none anywhere.
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

// askRound asks up to maxStartPeers peers and the store concurrently.
func (s *Syncer) askRound(ctx context.Context, settled bool) startRound {
	s.mu.Lock()
	peers := peersServing(s.cfg.View, 0, maxStartPeers, s.random)
	s.mu.Unlock()
	answers := make([]headAnswer, len(peers))
	r := startRound{asked: len(peers), settled: settled}
	var wg sync.WaitGroup
	wg.Go(func() { r.storeAnswered = s.readStoreHead(ctx) })
	for i, peer := range peers {
		wg.Go(func() { answers[i] = s.askForHead(ctx, peer) })
	}
	wg.Wait()
	for _, a := range answers {
		if a.answered {
			r.answered++
			r.newest = max(r.newest, a.generation)
		}
	}
	return r
}

// createFirst creates the first document in the store. If several hosts try,
// one succeeds and the others apply its document.
func (s *Syncer) createFirst(ctx context.Context) {
	if len(s.firstBodies) == 0 {
		return
	}
	writer := NewWriter(WriterConfig{Store: s.store, HostState: s, Logger: s.cfg.Logger})
	createCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := writer.Create(createCtx, uuid.NewString(), s.firstBodies, "first document")
	if err != nil {
		s.cfg.Logger.Info("first configuration not created by this host", "error", err.Error())
	}
	s.readStoreHead(ctx)
}
