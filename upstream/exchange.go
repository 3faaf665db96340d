package upstream

import (
	"context"

	"github.com/galenaseam/galenaseam/member"
	"golang.org/x/sync/errgroup"
)

// receiveClaim records a claim that another host published.
func (t *Table) receiveClaim(fact member.Fact) {
	if len(fact.Payload) != 1 || claimKind(fact.Payload[0]) > claimLeaving {
		t.metrics.malformedClaims.Inc()
		return
	}
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	now := t.config.Now()
	id := ID(fact.Key)
	t.registry.recordClaim(now, fact.From, id, claimKind(fact.Payload[0]))
	t.refreshState(now, id)
}

// publishClaims publishes this host's new, changed and expiring claims.
func (t *Table) publishClaims() {
	if t.config.Gossip == nil {
		return
	}
	t.registryMu.Lock()
	updates := t.registry.pendingClaims(t.config.Now())
	t.registryMu.Unlock()
	for _, u := range updates {
		if err := t.config.Gossip.Publish(factTopic, string(u.id), []byte{byte(u.kind)}); err != nil {
			t.config.Logger.Warn("claim not published", "upstream", string(u.id), "error", err)
		}
	}
}

// assignIdleProbes distributes the probes of idle upstreams among the hosts that
// are alive now, and keeps this host's share.
func (t *Table) assignIdleProbes(context.Context) {
	hosts := newHostsByPlace(t.config.View.Self(), t.config.View.Members())
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	t.registry.assignIdleProbes(hosts)
}

// startProbes starts the probes that are due, each in a goroutine that waits for
// a token.
func (t *Table) startProbes(ctx context.Context, group *errgroup.Group) {
	if t.config.Prober == nil {
		return
	}
	t.registryMu.Lock()
	due := t.registry.dueProbes(t.config.Now())
	t.registryMu.Unlock()
	for _, up := range due {
		group.Go(func() error {
			t.probe(ctx, up)
			return nil
		})
	}
}

// probe waits for a token, probes one upstream and records the result.
func (t *Table) probe(ctx context.Context, up Upstream) {
	select {
	case t.probeTokens <- struct{}{}:
		defer func() { <-t.probeTokens }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.ProbeTimeout)
	defer cancel()
	started := t.config.Now()
	evidence := t.config.Prober.Probe(ctx, up)
	t.metrics.probes.Inc()

	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	now := t.config.Now()
	t.registry.recordProbe(now, started, up.ID, evidence)
	t.refreshState(now, up.ID)
}

// Claimants returns how many other hosts claim that an upstream is down, for
// display to operators.
func (t *Table) Claimants(id ID) int {
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	e, ok := t.registry.entries[id]
	if !ok {
		return 0
	}
	return e.countClaims(t.config.Now(), claimDown, t.config.Timing.ClaimTTL)
}
