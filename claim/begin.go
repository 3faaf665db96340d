package claim

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// retryAfter is the delay suggested to callers before they retry.
const retryAfter = time.Second

// Begin claims a request, or finds out what became of an earlier one with the
// same key. If that request is still running, Begin waits until it ends or ctx
// does. The only error is an empty idempotency key; nothing ran then.
func (s *Service) Begin(ctx context.Context, k Key, d Digest, requestID string) (Decision, error) {
	if k.IdempotencyKey == "" {
		return Decision{}, Error.New("empty idempotency key")
	}
	a := s.startAttempt(hashKey(k))
	request := claimRequest{
		Shards:  s.cfg.Settings.Shards,
		Key:     a.key,
		Digest:  shorten(d),
		KeyTime: keyUnixTime(k.IdempotencyKey, s.cfg.Now()),
		Holder:  claimHolder{Attempt: a.id, Process: processOf(s.cfg.View.Self())},
	}
	decision := s.decide(ctx, a, request)
	s.metrics.verdicts.WithLabelValues(decision.Verdict.String()).Inc()
	if decision.Verdict != Run && decision.Verdict != Replay {
		s.cfg.Logger.Info("request not run", "request_id", requestID, "workspace", k.Workspace,
			"service", k.Service, "verdict", decision.Verdict.String())
	}
	return decision, nil
}

// decide calls the shard's owner and, while another attempt holds the claim,
// waits for that attempt's holder and then tries again.
func (s *Service) decide(ctx context.Context, a *attempt, request claimRequest) Decision {
	for {
		r, conclusive := s.claimOnce(ctx, request)
		if r.Code == codeGranted {
			return Decision{Verdict: Run, Grant: &Grant{service: s, attempt: a}}
		}
		if r.Code != codeRunning {
			s.abandon(a, conclusive)
			return decisionForReply(r)
		}
		joined := s.join(ctx, *r.Holder)
		if !joined.released {
			s.abandon(a, true)
			return joined.decision
		}
		request.Disowned = r.Holder.Attempt
	}
}

func (s *Service) claimOnce(ctx context.Context, request claimRequest) (reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.ClaimTimeout)
	defer cancel()
	started := time.Now()
	r, conclusive := s.callOwner(ctx, s.claimCall(request))
	s.metrics.latency.Observe(time.Since(started).Seconds())
	return r, conclusive
}

func decisionForReply(r reply) Decision {
	switch r.Code {
	case codeDone:
		return decisionForOutcome(*r.Outcome)
	case codeLost:
		return Decision{Verdict: Unknown}
	case codeMismatch:
		return Decision{Verdict: Mismatch}
	case codeExpired:
		return Decision{Verdict: Expired}
	}
	return Decision{Verdict: Unavailable, RetryAfter: retryAfter}
}

func decisionForOutcome(o Outcome) Decision {
	switch {
	case o.Ran == RanUnknown:
		return Decision{Verdict: Unknown, Outcome: o}
	case o.Truncated:
		return Decision{Verdict: AlreadyRan, Outcome: o}
	}
	return Decision{Verdict: Replay, Outcome: o}
}

// joinResult is the result of waiting for another attempt.
type joinResult struct {
	// released says that the holder does not know the attempt: it either gave
	// the attempt up or made its outcome durable in the log.
	released bool
	decision Decision
}

// joinWait is how long one call waits at the holder for the attempt to end.
const joinWait = time.Second

// maxJoinFailures is how many consecutive calls to a holder may fail before the
// request's outcome counts as unknown.
const maxJoinFailures = 3

// join waits at the holder of a running attempt for that attempt to end.
func (s *Service) join(ctx context.Context, h claimHolder) joinResult {
	unknown := joinResult{decision: Decision{Verdict: Unknown, RetryAfter: retryAfter}}
	failures := 0
	for ctx.Err() == nil && failures < maxJoinFailures {
		answer, err := s.joinOnce(ctx, h)
		if err != nil {
			failures++
			if s.hostGone(h.Process.ID) {
				return unknown
			}
			s.sleep(ctx, retryPause)
			continue
		}
		failures = 0
		switch {
		case answer.WrongProcess:
			return unknown
		case !answer.Known:
			return joinResult{released: true}
		case answer.Outcome != nil:
			return joinResult{decision: decisionForOutcome(*answer.Outcome)}
		}
	}
	return unknown
}

func (s *Service) joinOnce(ctx context.Context, h claimHolder) (joinReply, error) {
	request := joinRequest{Holder: h.Process.ID, Attempt: h.Attempt, Wait: joinWait}
	ctx, cancel := context.WithTimeout(ctx, joinWait+s.cfg.Settings.CallTimeout)
	defer cancel()
	if h.Process.ID == s.cfg.View.Self().ID {
		return s.handleJoin(ctx, request)
	}
	return link.CallTyped[joinRequest, joinReply](ctx, s.cfg.Caller, h.Process.Addr, methodJoin, request)
}

// hostGone says whether this host's member list shows the host as dead or lacks
// it.
func (s *Service) hostGone(id host.ID) bool {
	m, ok := s.cfg.View.Lookup(id)
	return !ok || m.State == host.Dead
}
