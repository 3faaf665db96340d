package claim

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// handoff is what an owner has seen of the host that should own its shard.
type handoff struct {
	// atTakeover is who it was when the shard was taken.
	atTakeover host.ID
	candidate  host.ID
	since      time.Time
}

func (sh *shard) vacating() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.vacate && sh.table != nil
}

// giveUp hands the shard on: the next host that is asked takes it without
// probing this one. A failure is harmless, as the next host then probes.
func (sh *shard) giveUp(ctx context.Context) {
	next := sh.log.head
	next.Vacant = true
	next.Nonce = sh.log.newID()
	if sh.log.pending == nil {
		if err := sh.log.swapHead(ctx, next); err != nil {
			sh.service.cfg.Logger.Warn("claim shard not handed on", "shard", sh.index, "error", err)
		}
	}
	sh.forget()
	sh.answerAll(reply{Code: codeUnavailable})
}

// considerHandoff hands a shard to the host that should own it, once the
// list of hosts has been steady. It acts only on a change since the takeover,
// so that hosts whose lists differ for good do not hand a shard to and fro.
func (sh *shard) considerHandoff(ctx context.Context) {
	if !sh.owned() {
		return
	}
	best := sh.service.preferred(sh.index)
	now := sh.service.cfg.Now()
	if best != sh.handoff.candidate {
		sh.handoff.candidate = best
		sh.handoff.since = now
	}
	self := sh.service.cfg.View.Self().ID
	steady := now.Sub(sh.handoff.since) >= sh.service.cfg.Settings.HandoffDelay
	if best == self || best == sh.handoff.atTakeover || !steady {
		return
	}
	sh.service.cfg.Logger.Info("claim shard handed on", "shard", sh.index, "to", best)
	sh.giveUp(ctx)
}

// preferred returns the host that should own a shard by this host's list.
func (s *Service) preferred(index int) host.ID {
	ranked := rank(index, s.cfg.View.Members())
	if len(ranked) == 0 {
		return s.cfg.View.Self().ID
	}
	return ranked[0].ID
}

// beginVacate tells the worker to hand the shard on.
func (sh *shard) beginVacate() {
	sh.mu.Lock()
	sh.vacate = true
	sh.mu.Unlock()
	select {
	case sh.wake <- struct{}{}:
	default:
	}
}
