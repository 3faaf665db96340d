package claim

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// retryAfter is what callers are told when they should come back.
const retryAfter = time.Second

// Begin claims a request, or finds out what became of it. A repeat of a request
// that is still running waits until it ends or ctx does. The error is ctx's, or
// says that the key is empty; nothing ran then.
func (s *Service) Begin(ctx context.Context, k Key, d Digest, requestID string) (Decision, error) {
	if k.IdempotencyKey == "" {
		return Decision{}, Error.New("empty idempotency key")
	}
	a := s.begin(idOf(k))
	request := claimRequest{
		Shards:  s.cfg.Settings.Shards,
		Key:     a.key,
		Digest:  shorten(d),
		Seconds: keySeconds(k.IdempotencyKey, s.cfg.Now()),
		Hold:    hold{Attempt: a.id, Holder: processOf(s.cfg.View.Self())},
	}
	decision := s.decide(ctx, a, request)
	s.metrics.verdicts.WithLabelValues(decision.Verdict.String()).Inc()
	if decision.Verdict != Run && decision.Verdict != Replay {
		s.cfg.Logger.Info("request not run", "request_id", requestID, "workspace", k.Workspace,
			"service", k.Service, "verdict", decision.Verdict.String())
	}
	return decision, nil
}

// decide asks the owner and, while another attempt runs, its holder in turns.
func (s *Service) decide(ctx context.Context, a *attempt, request claimRequest) Decision {
	for {
		r, answered := s.claimOnce(ctx, request)
		if r.Code == codeGranted {
			return Decision{Verdict: Run, Grant: &Grant{service: s, attempt: a}}
		}
		if r.Code != codeRunning {
			s.abandon(a, answered)
			return decided(r)
		}
		joined := s.join(ctx, *r.Held)
		if !joined.released {
			s.abandon(a, true)
			return joined.decision
		}
		request.Disowned = r.Held.Attempt
	}
}

func (s *Service) claimOnce(ctx context.Context, request claimRequest) (reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.ClaimTimeout)
	defer cancel()
	started := time.Now()
	r, answered := s.askOwner(ctx, s.claimQuestion(request))
	s.metrics.latency.Observe(time.Since(started).Seconds())
	return r, answered
}

func decided(r reply) Decision {
	switch r.Code {
	case codeDone:
		return ended(*r.Outcome)
	case codeLost:
		return Decision{Verdict: Unknown}
	case codeMismatch:
		return Decision{Verdict: Mismatch}
	case codeExpired:
		return Decision{Verdict: Expired}
	}
	return Decision{Verdict: Unavailable, RetryAfter: retryAfter}
}

func ended(o Outcome) Decision {
	switch {
	case o.Ran == RanUnknown:
		return Decision{Verdict: Unknown, Outcome: o}
	case o.Truncated:
		return Decision{Verdict: AlreadyRan, Outcome: o}
	}
	return Decision{Verdict: Replay, Outcome: o}
}

// joined is what came of waiting for another attempt.
type joined struct {
	// released says that the holder does not know the attempt: it was given
	// up, or its outcome is in the log.
	released bool
	decision Decision
}

// joinWait is how long one call waits at the holder.
const joinWait = time.Second

// joinFailures is how many calls on a holder may fail in a row before the
// request's fate is unknown.
const joinFailures = 3

// join waits at the holder of a running attempt.
func (s *Service) join(ctx context.Context, h hold) joined {
	unknown := joined{decision: Decision{Verdict: Unknown, RetryAfter: retryAfter}}
	failures := 0
	for ctx.Err() == nil && failures < joinFailures {
		answer, err := s.joinOnce(ctx, h)
		if err != nil {
			failures++
			if s.gone(h.Holder.ID) {
				return unknown
			}
			s.pause(ctx, roundPause)
			continue
		}
		failures = 0
		switch {
		case answer.Stranger:
			return unknown
		case !answer.Known:
			return joined{released: true}
		case answer.Outcome != nil:
			return joined{decision: ended(*answer.Outcome)}
		}
	}
	return unknown
}

func (s *Service) joinOnce(ctx context.Context, h hold) (joinReply, error) {
	request := joinRequest{Holder: h.Holder.ID, Attempt: h.Attempt, Wait: joinWait}
	ctx, cancel := context.WithTimeout(ctx, joinWait+s.cfg.Settings.CallTimeout)
	defer cancel()
	if h.Holder.ID == s.cfg.View.Self().ID {
		return s.handleJoin(ctx, request)
	}
	return link.CallTyped[joinRequest, joinReply](ctx, s.cfg.Caller, h.Holder.Addr, methodJoin, request)
}

// gone says whether this host's list has the host as dead or not at all.
func (s *Service) gone(id host.ID) bool {
	m, ok := s.cfg.View.Lookup(id)
	return !ok || m.State == host.Dead
}
