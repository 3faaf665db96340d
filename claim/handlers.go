package claim

import (
	"context"
	"errors"
	"time"

	"github.com/galenaseam/galenaseam/link"
)

func notSent(err error) bool { return errors.Is(err, link.ErrNotSent) }

func (s *Service) register(r link.Registrar) {
	link.HandleTyped(r, methodClaim, s.handleClaim)
	link.HandleTyped(r, methodSettle, s.handleSettle)
	link.HandleTyped(r, methodJoin, s.handleJoin)
	link.HandleTyped(r, methodProbe, s.handleProbe)
}

func (s *Service) handleClaim(ctx context.Context, request claimRequest) (reply, error) {
	if request.Shards != s.cfg.Settings.Shards {
		return reply{}, Error.New("shard count mismatch: peer has %d, this host has %d", request.Shards, s.cfg.Settings.Shards)
	}
	sh := s.shards[shardOf(request.Key, s.cfg.Settings.Shards)]
	r := sh.submit(ctx, &pendingOp{claim: request.op()})
	if r.Code != codeRedirect || !request.Relay {
		return r, nil
	}
	request.Relay = false
	return link.CallTyped[claimRequest, reply](ctx, s.cfg.Caller, r.Owner.Addr, methodClaim, request)
}

func (s *Service) handleSettle(ctx context.Context, request settleRequest) (reply, error) {
	if request.Shards != s.cfg.Settings.Shards {
		return reply{}, Error.New("shard count mismatch: peer has %d, this host has %d", request.Shards, s.cfg.Settings.Shards)
	}
	sh := s.shards[shardOf(request.Key, s.cfg.Settings.Shards)]
	r := sh.submit(ctx, &pendingOp{settle: request.op()})
	if r.Code != codeRedirect || !request.Relay {
		return r, nil
	}
	request.Relay = false
	return link.CallTyped[settleRequest, reply](ctx, s.cfg.Caller, r.Owner.Addr, methodSettle, request)
}

func (s *Service) handleProbe(_ context.Context, request probeRequest) (probeReply, error) {
	if request.Owner != s.cfg.View.Self().ID || request.Shard < 0 || request.Shard >= len(s.shards) {
		return probeReply{}, nil
	}
	return probeReply{Serving: s.serving() && s.shards[request.Shard].canServe()}, nil
}

// handleJoin waits for the end of one of this host's attempts. Only the process
// that made the attempt may answer that it does not know it: another process at
// the same address reports WrongProcess.
func (s *Service) handleJoin(ctx context.Context, request joinRequest) (joinReply, error) {
	if request.Holder != s.cfg.View.Self().ID {
		return joinReply{WrongProcess: true}, nil
	}
	running := s.liveAttempt(request.Attempt)
	if running == nil {
		return joinReply{}, nil
	}
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	select {
	case <-running.done:
	case <-timer.C:
		return joinReply{Known: true}, nil
	case <-ctx.Done():
		return joinReply{Known: true}, nil
	}
	if running.outcome == nil {
		return joinReply{}, nil
	}
	return joinReply{Known: true, Outcome: running.outcome}, nil
}
