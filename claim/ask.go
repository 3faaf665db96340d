package claim

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// refusalsToGiveUp is how many hosts may say that they can't decide before the
// request is refused.
const refusalsToGiveUp = 2

// roundPause is how long to wait after every host has failed, and after
// redirects that lead in a circle.
const roundPause = 50 * time.Millisecond

// question is a claim or a settlement on its way to a shard's owner.
type question struct {
	shard int
	// ask asks one host; relay lets it pass the question on.
	ask func(ctx context.Context, peer process, relay bool) (reply, error)
}

// askOwner asks the shard's owner, wherever it is, until ctx ends. answered is
// false when some host may have acted on the question without a word back.
func (s *Service) askOwner(ctx context.Context, q question) (r reply, answered bool) {
	failed := make(map[host.ID]bool)
	answered = true
	refusals := 0
	relay := false
	for ctx.Err() == nil && refusals < refusalsToGiveUp {
		peer, ok := s.target(q.shard, failed)
		if !ok {
			clear(failed)
			relay = false
			s.pause(ctx, roundPause)
			continue
		}
		r, err := s.askOnce(ctx, q, peer, relay)
		switch {
		case err != nil:
			answered = answered && notSent(err)
			failed[peer.ID] = true
			s.forgetOwner(q.shard, peer)
		case r.Code == codeUnavailable:
			refusals++
			answered = false
			failed[peer.ID] = true
			s.forgetOwner(q.shard, peer)
		case r.Code == codeRedirect:
			relay = failed[r.Owner.ID]
			s.follow(ctx, q.shard, r.Owner, relay)
		default:
			if !relay {
				s.rememberOwner(q.shard, peer)
			}
			return r, true
		}
	}
	return reply{Code: codeUnavailable}, answered
}

// follow goes after a redirect. To an owner that could not be reached the peer
// relays the next question.
func (s *Service) follow(ctx context.Context, shard int, owner process, relay bool) {
	if relay {
		s.pause(ctx, roundPause)
		return
	}
	s.rememberOwner(shard, owner)
}

func (s *Service) askOnce(ctx context.Context, q question, peer process, relay bool) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.CallTimeout)
	defer cancel()
	return q.ask(ctx, peer, relay)
}

func (s *Service) claimQuestion(request claimRequest) question {
	return question{
		shard: shardOf(request.Key, s.cfg.Settings.Shards),
		ask: func(ctx context.Context, peer process, relay bool) (reply, error) {
			request := request
			request.Relay = relay
			if peer.ID == s.cfg.View.Self().ID {
				return s.handleClaim(ctx, request)
			}
			return link.CallTyped[claimRequest, reply](ctx, s.cfg.Caller, peer.Addr, methodClaim, request)
		},
	}
}

func (s *Service) settleQuestion(request settleRequest) question {
	return question{
		shard: shardOf(request.Key, s.cfg.Settings.Shards),
		ask: func(ctx context.Context, peer process, relay bool) (reply, error) {
			request := request
			request.Relay = relay
			if peer.ID == s.cfg.View.Self().ID {
				return s.handleSettle(ctx, request)
			}
			return link.CallTyped[settleRequest, reply](ctx, s.cfg.Caller, peer.Addr, methodSettle, request)
		},
	}
}

// pause waits for about d, or until ctx ends.
func (s *Service) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(s.jitter(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
