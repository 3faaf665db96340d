package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/internal/sleep"
)

const (
	// smallFleetWatchWait is how long one watch waits for changes in a small
	// fleet. With overdueMargin it is below 3 s, after which a host whose connections
	// fell silent counts as in touch again.
	smallFleetWatchWait = 2500 * time.Millisecond
	// minRetryDelay is the delay after a failed store call. It doubles up to
	// maxRetryDelay, so that a returning store is not flooded.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// unreadableRetryDelay is the delay after a read of the whole store that has more than this
	// host can hold. Another one is as long, and fails until somebody removes items.
	unreadableRetryDelay = 5 * time.Second
	// followerRetryFraction of Config.MaxPropagationDelay is the maximum for the followers
	// of a large fleet: the watchers find out first that the store is back.
	followerRetryFraction = 0.5
	// smallFleetBatchDelay is the pause after changes in a small fleet, so
	// that changes close together are read in one call. The store counts every
	// call.
	smallFleetBatchDelay = 200 * time.Millisecond
	// expiryCheckInterval is the time between checks for expired entries to
	// remove.
	expiryCheckInterval = 200 * time.Millisecond
)

// Run follows the store and the other hosts until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	defer d.background.Wait()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.followStore(ctx) })
	group.Go(func() error { return d.followPeers(ctx) })
	group.Go(func() error { return d.followConfigurations(ctx) })
	group.Go(func() error { return d.followUpstreams(ctx) })
	group.Go(func() error { return sleep.Every(ctx, expiryCheckInterval, d.removeExpired) })
	return group.Wait()
}

// followStore reads the whole store and then its changes, from a watcher if
// there is one to follow, else from the store itself.
func (d *Directory) followStore(ctx context.Context) error {
	delay := minRetryDelay
	next := nextCall{readAll: true}
	for ctx.Err() == nil {
		if w, follows := d.chooseWatcher(time.Now()); follows && d.Revision() > 0 && d.followWatcher(ctx, w) {
			continue
		}
		if d.needsUpstreamsApart() && !next.readAll {
			d.background.Go(func() { _, _ = d.readUpstreams(ctx, confirmWait) }) // the other call gets them too
		}
		err := d.callStore(ctx, &next)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			delay = minRetryDelay
		default:
			d.recordFailure(err, time.Now())
			d.config.Source.Reconnect()
			next = nextCall{readAll: next.readAll, confirm: true}
			if errors.Is(err, ErrUnreadable) {
				delay = unreadableRetryDelay
			}
			_ = sleep.For(ctx, delay)
			delay = d.nextRetryDelay(delay, rand.Float64())
		}
	}
	return nil
}

// recordFailure records a failed call to the store.
func (d *Directory) recordFailure(err error, now time.Time) {
	d.mu.Lock()
	first, asOf, reachedAt := d.outages.failed(now), d.asOf, d.outages.reachedAt
	d.mu.Unlock()
	if !first {
		return
	}
	attrs := []any{"as_of", asOf.Revision, "error", err.Error()}
	if !reachedAt.IsZero() {
		attrs = append(attrs, "reached_ms_ago", now.Sub(reachedAt).Milliseconds())
	}
	d.config.Logger.Warn("connection to the store lost", attrs...)
	d.wakeFollowers() // and the requests that wait for the first read
}

// recordAnswer records an answer of the store, before it is applied.
func (d *Directory) recordAnswer(now time.Time) {
	d.mu.Lock()
	silence, restored := d.outages.answered(now)
	asOf, outageEnd := d.asOf, d.outages.endedAt
	d.mu.Unlock()
	if restored {
		d.config.Logger.Info("connection to the store restored", "as_of", asOf.Revision,
			"silence_ms", silence.Milliseconds(), "entries_may_have_expired", now.Sub(outageEnd) < expiryGrace)
	}
}

// nextRetryDelay returns the delay after the next failed store call in a row. jitter is
// from 0 to 1.
func (d *Directory) nextRetryDelay(delay time.Duration, jitter float64) time.Duration {
	if !d.isLarge() || d.isWatcher() || d.Revision() == 0 {
		return min(2*delay, maxRetryDelay)
	}
	longest := d.fractionOfMaxDelay(followerRetryFraction)
	return min(2*delay, time.Duration((1+jitter)/2*float64(longest)))
}

// batchDelay is the pause after changes, so that changes close together are
// read in one call. Configurations that take long on the link are not to come together.
func (d *Directory) batchDelay() time.Duration {
	if d.isLarge() && !d.needsUpstreamsApart() {
		return d.fractionOfMaxDelay(batchFraction)
	}
	return smallFleetBatchDelay
}

// nextCall says what the next call to the store is for.
type nextCall struct {
	readAll bool // read everything instead of the changes
	confirm bool // get the changes up to now without waiting for further ones
}

// confirmWait is the wait of a call that gets the changes up to now.
const confirmWait = time.Millisecond

// callStore makes one call to the store and applies the result. It sets what the next
// call is for.
func (d *Directory) callStore(ctx context.Context, next *nextCall) error {
	if next.readAll {
		items, asOf, err := d.config.Source.Read(ctx)
		if err != nil {
			return err
		}
		now := time.Now()
		d.recordAnswer(now)
		d.awaitLastStatesForStore(ctx, items, asOf)
		d.applySnapshot(items, asOf, now)
		*next = nextCall{}
		d.publishPosition()
		return nil
	}
	wait := d.watchWait()
	if next.confirm {
		wait = confirmWait
	}
	sent := time.Now()
	items, asOf, err := d.awaitChanges(ctx, wait)
	now := time.Now()
	switch {
	case errors.Is(err, ErrHistoryGone):
		at := d.position()
		d.config.Logger.Warn("store no longer holds the changes to follow, reading everything", "era", at.Era, "as_of", at.Revision)
		*next = nextCall{readAll: true}
		return nil
	case errors.Is(err, ErrUnreadable):
		at := d.position()
		d.config.Logger.Warn("changes of the store can't be read, reading everything", "era", at.Era, "as_of", at.Revision, "error", err.Error())
		*next = nextCall{readAll: true}
		return sleep.For(ctx, minRetryDelay)
	case errors.Is(err, ErrWatchCut) && !next.confirm:
		d.recordCutWatch(now.Sub(sent), now)
		*next = nextCall{confirm: true}
		return sleep.For(ctx, minRetryDelay-now.Sub(sent))
	case err != nil:
		return err
	}
	d.recordAnswer(now)
	*next = nextCall{readAll: !d.applyChanges(items, asOf, now)}
	if len(items) > 0 && !next.readAll {
		d.publishPosition()
		_ = sleep.For(ctx, d.batchDelay())
	}
	return nil
}

// recordCutWatch records that the store has cut a waiting watch. It was reachable then.
func (d *Directory) recordCutWatch(waited time.Duration, now time.Time) {
	d.cutWatches.Inc()
	d.config.Logger.Debug("watch cut by the store", "waited_ms", waited.Milliseconds())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outages.reached(now)
}

func newCutWatchCounter(registerer prometheus.Registerer) prometheus.Counter {
	return promauto.With(registerer).NewCounter(prometheus.CounterOpts{
		Name: "seam_store_watches_cut_total", Help: "Watches that the store ended without an answer before their wait was over.",
	})
}
