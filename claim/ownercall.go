package claim

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// maxRefusals is how many hosts may answer codeUnavailable before the call fails.
const maxRefusals = 2

// retryPause is the delay after every host has failed, and after a redirect to
// an owner that has already failed.
const retryPause = 50 * time.Millisecond

// ownerCall is a claim or settlement to send to a shard's owner.
type ownerCall struct {
	shard int
	// send calls one host; relay lets that host forward the request to the owner.
	send func(ctx context.Context, peer process, relay bool) (reply, error)
}

// callOwner finds the shard's owner and calls it, retrying until ctx ends.
// conclusive is true if r is a decision, or if no host can have acted on the call.
func (s *Service) callOwner(ctx context.Context, call ownerCall) (r reply, conclusive bool) {
	failed := make(map[host.ID]bool)
	conclusive = true
	refusals := 0
	relay := false
	for ctx.Err() == nil && refusals < maxRefusals {
		peer, ok := s.nextTarget(call.shard, failed)
		if !ok {
			clear(failed)
			relay = false
			s.sleep(ctx, retryPause)
			continue
		}
		r, err := s.callOnce(ctx, call, peer, relay)
		switch {
		case err != nil:
			conclusive = conclusive && notSent(err)
			failed[peer.ID] = true
			s.forgetOwner(call.shard, peer)
		case r.Code == codeUnavailable:
			refusals++
			conclusive = false
			failed[peer.ID] = true
			s.forgetOwner(call.shard, peer)
		case r.Code == codeRedirect:
			relay = failed[r.Owner.ID]
			s.followRedirect(ctx, call.shard, r.Owner, relay)
		default:
			if !relay {
				s.rememberOwner(call.shard, peer)
			}
			return r, true
		}
	}
	return reply{Code: codeUnavailable}, conclusive
}

// followRedirect makes owner the next host to call. If owner has already failed,
// it only waits: the redirecting host then relays the next call.
func (s *Service) followRedirect(ctx context.Context, shard int, owner process, relay bool) {
	if relay {
		s.sleep(ctx, retryPause)
		return
	}
	s.rememberOwner(shard, owner)
}

func (s *Service) callOnce(ctx context.Context, call ownerCall, peer process, relay bool) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.CallTimeout)
	defer cancel()
	return call.send(ctx, peer, relay)
}

func (s *Service) claimCall(request claimRequest) ownerCall {
	return ownerCall{
		shard: shardOf(request.Key, s.cfg.Settings.Shards),
		send: func(ctx context.Context, peer process, relay bool) (reply, error) {
			request := request
			request.Relay = relay
			if peer.ID == s.cfg.View.Self().ID {
				return s.handleClaim(ctx, request)
			}
			return link.CallTyped[claimRequest, reply](ctx, s.cfg.Caller, peer.Addr, methodClaim, request)
		},
	}
}

func (s *Service) settleCall(request settleRequest) ownerCall {
	return ownerCall{
		shard: shardOf(request.Key, s.cfg.Settings.Shards),
		send: func(ctx context.Context, peer process, relay bool) (reply, error) {
			request := request
			request.Relay = relay
			if peer.ID == s.cfg.View.Self().ID {
				return s.handleSettle(ctx, request)
			}
			return link.CallTyped[settleRequest, reply](ctx, s.cfg.Caller, peer.Addr, methodSettle, request)
		},
	}
}

// sleep waits for a random time between d/2 and 3d/2, or until ctx ends.
func (s *Service) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(s.jitter(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
