package claim

import (
	"context"
	"sync"
)

// attempt is one try of this host to claim and run a request. It is live from
// before the first call on an owner until its end is durable.
type attempt struct {
	id   attemptID
	key  keyID
	done chan struct{}
	// outcome is set before done is closed; nil means that nothing ran.
	outcome *Outcome
}

// Grant is the right to run a request once. Its end must be told by Finish or
// Release; until then repeats of the request wait for it.
type Grant struct {
	service *Service
	attempt *attempt
	once    sync.Once
}

// Finish records how the request ended. Repeats that wait get the outcome at
// once; it is made durable in the background, for as long as the store is down.
// An outcome with RanNo is a release. Only the first call of Finish or Release
// counts.
func (g *Grant) Finish(ctx context.Context, o Outcome) error {
	if o.Ran == RanNo {
		return g.Release(ctx)
	}
	g.once.Do(func() {
		g.attempt.outcome = &o
		close(g.attempt.done)
		recorded := g.service.recorded(o)
		g.service.settleInBackground(g.attempt, &recorded)
	})
	return ctx.Err()
}

// Release gives the claim back: nothing ran, and a later repeat may run. Only
// the first call of Finish or Release counts.
func (g *Grant) Release(ctx context.Context) error {
	g.once.Do(func() {
		close(g.attempt.done)
		g.service.settleInBackground(g.attempt, nil)
	})
	return ctx.Err()
}

// recorded is the part of an outcome that the log keeps.
func (s *Service) recorded(o Outcome) Outcome {
	if len(o.Body) <= s.cfg.Settings.MaxHeldBytes {
		return o
	}
	o.Body = nil
	o.Truncated = true
	return o
}

func (s *Service) liveAttempt(id attemptID) *attempt {
	s.liveMu.Lock()
	defer s.liveMu.Unlock()
	return s.live[id]
}

func (s *Service) begin(key keyID) *attempt {
	a := &attempt{id: s.newID(), key: key, done: make(chan struct{})}
	s.liveMu.Lock()
	defer s.liveMu.Unlock()
	s.live[a.id] = a
	s.metrics.unsettled.Set(float64(len(s.live)))
	return a
}

// end takes an attempt off the live ones. From then on this host says that it
// does not know the attempt, so it must never be run after.
func (s *Service) end(a *attempt) {
	s.liveMu.Lock()
	defer s.liveMu.Unlock()
	delete(s.live, a.id)
	s.metrics.unsettled.Set(float64(len(s.live)))
	if len(s.live) == 0 {
		s.idle.Broadcast()
	}
}

// settleInBackground makes an attempt's end durable and then ends it.
func (s *Service) settleInBackground(a *attempt, outcome *Outcome) {
	s.goBackground(func(ctx context.Context) {
		s.settle(ctx, a, outcome)
	})
}

func (s *Service) settle(ctx context.Context, a *attempt, outcome *Outcome) {
	request := settleRequest{Shards: s.cfg.Settings.Shards, Key: a.key, Attempt: a.id, Outcome: outcome}
	backoff := firstBackoff
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, s.cfg.Settings.ClaimTimeout)
		r, _ := s.askOwner(tryCtx, s.settleQuestion(request))
		cancel()
		if r.Code == codeSettled {
			s.end(a)
			return
		}
		s.pause(ctx, backoff)
		backoff = min(2*backoff, lastBackoff)
	}
}

// abandon gives up an attempt that was never granted. If an owner may have
// written the claim, this host tries for a while to release it; after that the
// next repeat does, as this host no longer knows the attempt.
func (s *Service) abandon(a *attempt, answered bool) {
	s.end(a)
	if answered {
		return
	}
	s.goBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.ClaimTimeout)
		defer cancel()
		request := settleRequest{Shards: s.cfg.Settings.Shards, Key: a.key, Attempt: a.id}
		_, _ = s.askOwner(ctx, s.settleQuestion(request))
	})
}
