package directory

import (
	"context"
	"encoding/base64"
	"time"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/internal/sleep"
)

// The store answers with all changes at once. On a slow link, a configuration among them holds up
// those of upstreams for seconds. A host with such a link watches upstreams apart, too.

const (
	// slowConfigFraction of Config.MaxPropagationDelay is how long the configuration in force may
	// take on the host's link before the host watches upstreams apart.
	slowConfigFraction = 0.05
	// apartCheckInterval is the time between checks whether that is needed.
	apartCheckInterval = 500 * time.Millisecond
	// apartBatchDelay is the pause after changes, so that changes close together are read in one
	// call.
	apartBatchDelay = 200 * time.Millisecond
)

// needsUpstreamsApart reports whether a configuration takes long on this host's link.
func (d *Directory) needsUpstreamsApart() bool {
	if d.config.LinkMegabits <= 0 {
		return false
	}
	d.mu.Lock()
	bytes := base64.StdEncoding.EncodedLen(len(d.rawConfig))
	d.mu.Unlock()
	took := float64(bytes) * bitsPerByte / (d.config.LinkMegabits * 1e6)
	return took > d.fractionOfMaxDelay(slowConfigFraction).Seconds()
}

// followUpstreams watches the store for changes of upstreams while this host watches the store and
// needs them apart.
func (d *Directory) followUpstreams(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, follows := d.chooseWatcher(time.Now()); follows || d.Revision() == 0 || !d.needsUpstreamsApart() {
			_ = sleep.For(ctx, apartCheckInterval)
			continue
		}
		changes, err := d.readUpstreams(ctx, d.watchWait())
		switch {
		case err != nil:
			d.config.Logger.Debug("changes of upstreams not read", "error", err.Error())
			_ = sleep.For(ctx, maxRetryDelay)
		case changes > 0:
			_ = sleep.For(ctx, apartBatchDelay)
		}
	}
	return nil
}

// readUpstreams waits up to wait for changes of upstreams and applies them. The call for all
// changes deals with a store that fails.
func (d *Directory) readUpstreams(ctx context.Context, wait time.Duration) (changes int, err error) {
	items, asOf, err := d.config.Source.UpstreamChanges(ctx, d.upstreamsPosition(), wait)
	if err != nil {
		return 0, err
	}
	if !d.applyItems(items, asOf, infra.Position{}, time.Now()) {
		return 0, Error.New("the store is in era %d, this host in another", asOf.Era)
	}
	return len(items), nil
}
