package claim

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// handoffState tracks which host this owner's member list prefers as the owner.
type handoffState struct {
	// preferredAtTakeover was the preferred owner when this host took the shard.
	preferredAtTakeover host.ID
	// candidate is the preferred owner at the last check, and candidateSince is when
	// a check first found it preferred.
	candidate      host.ID
	candidateSince time.Time
}

func (sh *shard) handoffDue() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.handoffRequested && sh.table != nil
}

// vacate marks the shard vacant in the store, so that the next host takes it over
// without probing this one. A failure is harmless, as the next host then probes.
func (sh *shard) vacate(ctx context.Context) {
	next := sh.log.head
	next.Vacant = true
	next.Nonce = sh.log.newID()
	if sh.log.pending == nil {
		if err := sh.log.swapHead(ctx, next); err != nil {
			sh.service.cfg.Logger.Warn("claim shard could not be marked vacant", "shard", sh.index, "error", err)
		}
	}
	sh.clearOwnership()
	sh.replyAll(reply{Code: codeUnavailable})
}

// checkHandoff gives the shard up when another host has been the preferred owner
// for HandoffDelay. It does so only if the preference has changed since the
// takeover; otherwise hosts whose member lists differ permanently would pass the
// shard back and forth.
func (sh *shard) checkHandoff(ctx context.Context) {
	if !sh.owned() {
		return
	}
	preferred := sh.service.preferredOwner(sh.index)
	now := sh.service.cfg.Now()
	if preferred != sh.handoff.candidate {
		sh.handoff.candidate = preferred
		sh.handoff.candidateSince = now
	}
	self := sh.service.cfg.View.Self().ID
	steady := now.Sub(sh.handoff.candidateSince) >= sh.service.cfg.Settings.HandoffDelay
	if preferred == self || preferred == sh.handoff.preferredAtTakeover || !steady {
		return
	}
	sh.service.cfg.Logger.Info("handing off claim shard", "shard", sh.index, "to", preferred)
	sh.vacate(ctx)
}

// preferredOwner returns the host that ranks first for a shard in this host's
// member list.
func (s *Service) preferredOwner(index int) host.ID {
	ranked := rankOwners(index, s.cfg.View.Members())
	if len(ranked) == 0 {
		return s.cfg.View.Self().ID
	}
	return ranked[0].ID
}

// requestHandoff tells the worker to give the shard up.
func (sh *shard) requestHandoff() {
	sh.mu.Lock()
	sh.handoffRequested = true
	sh.mu.Unlock()
	select {
	case sh.wake <- struct{}{}:
	default:
	}
}
