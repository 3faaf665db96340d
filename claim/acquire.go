package claim

import (
	"context"
	"errors"
	"time"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/link"
)

// tenure spaces out the takeovers of a shard that two hosts keep taking from
// each other.
type tenure struct {
	first, last time.Duration
	wait        time.Duration
	taken       time.Time
	notBefore   time.Time
}

func (t *tenure) took(now time.Time) { t.taken = now }

func (t *tenure) lost(now time.Time) {
	if now.Sub(t.taken) > t.last {
		t.wait = 0
	}
	t.wait = min(max(t.first, 2*t.wait), t.last)
	t.notBefore = now.Add(t.wait)
}

// acquire makes this host the shard's owner. On an error the reply is for
// those who wait.
func (sh *shard) acquire(ctx context.Context) (reply, error) {
	refused := reply{Code: codeUnavailable}
	found, err := sh.log.readHead(ctx)
	if err != nil {
		sh.failed(err)
		return refused, err
	}
	self := processOf(sh.service.cfg.View.Self())
	owner := found.head.Owner
	if found.version != infra.NoVersion && !found.head.Vacant && owner.ID != self.ID {
		if sh.service.probe(ctx, owner, sh.index) {
			sh.learnOwner(owner)
			return reply{Code: codeRedirect, Owner: owner}, Error.New("shard %d has an owner", sh.index)
		}
		if time.Now().Before(sh.tenure.notBefore) {
			return refused, Error.New("shard %d was lost a moment ago", sh.index)
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
		if !errors.Is(err, errDeposed) {
			sh.failed(err)
		}
		return err
	}
	sh.tenure.took(time.Now())
	sh.handoff = handoff{atTakeover: sh.service.preferred(sh.index)}
	sh.service.metrics.tookOver(time.Since(started))
	sh.service.cfg.Logger.Info("claim shard taken", "shard", sh.index, "epoch", sh.log.head.Epoch,
		"former", found.head.Owner.ID, "keys", t.len())
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.table = t
	sh.failures = 0
	return nil
}

func (sh *shard) learnOwner(owner process) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.owner = owner
	sh.ownerKnown = time.Now()
}

// probe asks a shard's recorded owner whether it still serves the shard. The
// answer only saves needless takeovers: the log is safe whatever it is.
func (s *Service) probe(ctx context.Context, owner process, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Settings.ProbeTimeout)
	defer cancel()
	request := probeRequest{Owner: owner.ID, Shard: index}
	answer, err := link.CallTyped[probeRequest, probeReply](ctx, s.cfg.Caller, owner.Addr, methodProbe, request)
	return err == nil && answer.Willing
}

// makeRoom folds the ring into the segments when it is nearly full. It fails
// only when no record fits any more.
func (sh *shard) makeRoom(ctx context.Context) error {
	l := &sh.log
	full := l.room() < 1 || sh.table.openBytes > 4*l.segmentBytes
	due := full || l.pending != nil || l.room() <= l.head.Ring/4 || sh.table.openBytes > 2*l.segmentBytes
	if !due || sh.inFlight != nil {
		return nil
	}
	sh.lastWrite = time.Now()
	err := sh.checkpoint(ctx)
	if err == nil || full || errors.Is(err, errDeposed) {
		return err
	}
	sh.service.metrics.storeErrors.Inc()
	return nil
}

// checkpoint holds no lock while it writes; sealing, which changes the table,
// takes mu through the log's lock.
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

// horizonSteps is how many steps the horizon makes in one retention.
const horizonSteps = 16
