package upstream

import (
	"context"

	"github.com/galenaseam/galenaseam/member"
	"golang.org/x/sync/errgroup"
)

// hear takes in a claim that another host published.
func (t *Table) hear(fact member.Fact) {
	if len(fact.Payload) != 1 || claimKind(fact.Payload[0]) > claimLeaving {
		t.metrics.malformedClaims.Inc()
		return
	}
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	now := t.config.Now()
	id := ID(fact.Key)
	t.registry.heard(now, fact.From, id, claimKind(fact.Payload[0]))
	t.refresh(now, id)
}

func (t *Table) publishNews() {
	if t.config.Gossip == nil {
		return
	}
	t.registryMu.Lock()
	news := t.registry.news(t.config.Now())
	t.registryMu.Unlock()
	for _, n := range news {
		if err := t.config.Gossip.Publish(factTopic, string(n.id), []byte{byte(n.kind)}); err != nil {
			t.config.Logger.Warn("claim not published", "upstream", string(n.id), "error", err)
		}
	}
}

// shareDuties shares out the watch over idle upstreams among the hosts that
// are alive now.
func (t *Table) shareDuties(context.Context) {
	hosts := newRoster(t.config.View.Self(), t.config.View.Members())
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	t.registry.setDuties(hosts)
}

// startProbes starts the probes that are due, as far as tokens are free.
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

func (t *Table) probe(ctx context.Context, up Upstream) {
	select {
	case t.probes <- struct{}{}:
		defer func() { <-t.probes }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.config.ProbeTimeout)
	defer cancel()
	started := t.config.Now()
	seen := t.config.Prober.Probe(ctx, up)
	t.metrics.probes.Inc()

	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	now := t.config.Now()
	t.registry.probed(now, started, up.ID, seen)
	t.refresh(now, up.ID)
}

// Claimants returns how many other hosts say that an upstream is down, for
// operators to see.
func (t *Table) Claimants(id ID) int {
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	e, ok := t.registry.entries[id]
	if !ok {
		return 0
	}
	return e.claimants(t.config.Now(), claimDown, t.config.Timing.ClaimTTL)
}
