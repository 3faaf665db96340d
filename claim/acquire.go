package claim

import (
	"context"
	"errors"
	"time"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/link"
)

// takeoverBackoff limits how often this host takes over a shard that it has
// lost, so that two hosts do not keep taking it from each other.
type takeoverBackoff struct {
	minDelay, maxDelay time.Duration
	delay              time.Duration
	takenAt            time.Time
	notBefore          time.Time
}

func (b *takeoverBackoff) recordTakeover(now time.Time) { b.takenAt = now }

func (b *takeoverBackoff) recordLoss(now time.Time) {
	if now.Sub(b.takenAt) > b.maxDelay {
		b.delay = 0
	}
	b.delay = min(max(b.minDelay, 2*b.delay), b.maxDelay)
	b.notBefore = now.Add(b.delay)
}

// acquire makes this host the shard's owner. If it fails, the reply is for the
// operations that wait in the queue.
func (sh *shard) acquire(ctx context.Context) (reply, error) {
	refused := reply{Code: codeUnavailable}
	found, err := sh.log.readHead(ctx)
	if err != nil {
		sh.recordFailure(err)
		return refused, err
	}
	self := processOf(sh.service.cfg.View.Self())
	owner := found.head.Owner
	if found.version != infra.NoVersion && !found.head.Vacant && owner.ID != self.ID {
		if sh.service.probe(ctx, owner, sh.index) {
			sh.setKnownOwner(owner)
			return reply{Code: codeRedirect, Owner: owner}, Error.New("shard %d is served by another host", sh.index)
		}
		if time.Now().Before(sh.takeoverBackoff.notBefore) {
			return refused, Error.New("shard %d was lost recently: its takeover backoff has not ended", sh.index)
		}
	}
	return refused, sh.takeOver(ctx, found, self)
}

func (sh *shard) takeOver(ctx context.Context, found versionedHead, self process) error {
	started := time.Now()
	sh.inFlight = nil
	sh.log.pending = nil
	t, err := sh.log.takeOver(ctx, found, self, sh.service.cfg.Settings.RingSlots)
	if err != nil {
		if !errors.Is(err, errTakenOver) {
			sh.recordFailure(err)
		}
		return err
	}
	sh.takeoverBackoff.recordTakeover(time.Now())
	sh.handoff = handoffState{preferredAtTakeover: sh.service.preferredOwner(sh.index)}
	sh.service.metrics.observeTakeover(time.Since(started))
	sh.service.cfg.Logger.Info("claim shard taken over", "shard", sh.index, "epoch", sh.log.head.Epoch,
		"former", found.head.Owner.ID, "keys", t.len())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.table = t
	sh.storeFailures = 0
	return nil
}

func (sh *shard) setKnownOwner(owner process) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.owner = owner
	sh.ownerKnownAt = time.Now()
}

// probe asks a shard's recorded owner whether it still serves the shard. The
// answer only avoids needless takeovers; the log is safe whatever it is.
func (s *Service) probe(ctx context.Context, owner process, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.ProbeTimeout)
	defer cancel()
	request := probeRequest{Owner: owner.ID, Shard: index}
	answer, err := link.CallTyped[probeRequest, probeReply](ctx, s.cfg.Caller, owner.Addr, methodProbe, request)
	return err == nil && answer.Serving
}

// checkpointIfNeeded moves the ring's records into the segments when the ring is
// nearly full or the open entries have grown large. It returns errTakenOver in
// every case, but a store error only if no batch may be written before the
// checkpoint succeeds. Otherwise the next batch tries again.
func (sh *shard) checkpointIfNeeded(ctx context.Context) error {
	l := &sh.log
	full := l.freeSlots() < 1 || sh.table.openBytes > 4*l.segmentBytes
	due := full || l.pending != nil || l.freeSlots() <= l.head.Ring/4 || sh.table.openBytes > 2*l.segmentBytes
	if !due || sh.inFlight != nil {
		return nil
	}
	sh.lastWrite = time.Now()
	err := sh.checkpoint(ctx)
	if err == nil || full || errors.Is(err, errTakenOver) {
		return err
	}
	sh.service.metrics.storeErrors.Inc()
	return nil
}

// checkpoint holds no lock while it writes to the store. Sealing changes the
// table, so the log takes mu for it through tableMu.
func (sh *shard) checkpoint(ctx context.Context) error {
	settings := sh.service.cfg.Settings
	oldest := sh.service.cfg.Now().Add(-settings.Retention).Unix()
	step := int64(settings.Retention / time.Second / horizonSteps)
	horizon := sh.table.horizon
	if oldest-horizon > step {
		horizon = oldest
	}
	err := sh.log.checkpoint(ctx, sh.table, horizon)
	if err == nil {
		sh.service.metrics.checkpoints.Inc()
	}
	return err
}

// horizonSteps is how many times the horizon moves within one retention period.
const horizonSteps = 16
