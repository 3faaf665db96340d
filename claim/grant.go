package claim

import (
	"context"
	"sync"
)

// attempt is one try of this host to claim and run a request. It is live from
// before the first call to an owner until its end is durable or it is abandoned.
type attempt struct {
	id   attemptID
	key  keyID
	done chan struct{}
	// outcome is set before done is closed; nil means that nothing ran.
	outcome *Outcome
}

// Grant is the right to run a request once. The holder must end it with Finish or
// Release; until then repeats of the request wait for it.
type Grant struct {
	service *Service
	attempt *attempt
	once    sync.Once
}

// Finish records how the request ended. Waiting repeats get the outcome at once.
// A background task makes it durable and retries for as long as the store is
// down. An outcome with RanNo is a release. Only the first call of Finish or
// Release has an effect.
func (g *Grant) Finish(ctx context.Context, o Outcome) error {
	if o.Ran == RanNo {
		return g.Release(ctx)
	}
	g.once.Do(func() {
		g.attempt.outcome = &o
		close(g.attempt.done)
		recorded := g.service.outcomeForLog(o)
		g.service.settleInBackground(g.attempt, &recorded)
	})
	return ctx.Err()
}

// Release gives up the claim: nothing ran, and a later repeat may run. Only the
// first call of Finish or Release has an effect.
func (g *Grant) Release(ctx context.Context) error {
	g.once.Do(func() {
		close(g.attempt.done)
		g.service.settleInBackground(g.attempt, nil)
	})
	return ctx.Err()
}

// outcomeForLog returns the outcome without a body that is too large to record.
func (s *Service) outcomeForLog(o Outcome) Outcome {
	if len(o.Body) <= s.cfg.Settings.MaxRecordedBodyBytes {
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

func (s *Service) startAttempt(key keyID) *attempt {
	a := &attempt{id: s.newID(), key: key, done: make(chan struct{})}
	s.liveMu.Lock()
	defer s.liveMu.Unlock()
	s.live[a.id] = a
	s.metrics.unsettled.Set(float64(len(s.live)))
	return a
}

// endAttempt removes an attempt from the live ones. From then on this host
// answers joins with "not known", so the attempt must never run afterwards.
func (s *Service) endAttempt(a *attempt) {
	s.liveMu.Lock()
	defer s.liveMu.Unlock()
	delete(s.live, a.id)
	s.metrics.unsettled.Set(float64(len(s.live)))
	if len(s.live) == 0 {
		s.idle.Broadcast()
	}
}

// settleInBackground makes an attempt's end durable and then removes the attempt.
func (s *Service) settleInBackground(a *attempt, outcome *Outcome) {
	s.goBackground(func(ctx context.Context) {
		s.settle(ctx, a, outcome)
	})
}

func (s *Service) settle(ctx context.Context, a *attempt, outcome *Outcome) {
	request := settleRequest{Shards: s.cfg.Settings.Shards, Key: a.key, Attempt: a.id, Outcome: outcome}
	backoff := minBackoff
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, s.cfg.Settings.ClaimTimeout)
		r, _ := s.callOwner(tryCtx, s.settleCall(request))
		cancel()
		if r.Code == codeSettled {
			s.endAttempt(a)
			return
		}
		s.sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// abandon drops an attempt that was not granted. If an owner may have written the
// claim all the same, this host tries to release it for up to ClaimTimeout. After
// that, the next repeat takes the claim over, as this host no longer knows the
// attempt.
func (s *Service) abandon(a *attempt, conclusive bool) {
	s.endAttempt(a)
	if conclusive {
		return
	}
	s.goBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.ClaimTimeout)
		defer cancel()
		request := settleRequest{Shards: s.cfg.Settings.Shards, Key: a.key, Attempt: a.id}
		_, _ = s.callOwner(ctx, s.settleCall(request))
	})
}
