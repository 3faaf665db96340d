package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/internal/sleep"
)

const (
	// smallFleetWatchWait is how long one watch waits for changes in a small
	// fleet. A silent watch is noticed one second later. With a wait of 4 s,
	// hosts noticed it only after the store had counted as stable again for
	// 0.6 s, and refused requests by an old configuration.
	smallFleetWatchWait = 2500 * time.Millisecond
	// minRetryDelay is the delay after a failed store call. It doubles up to
	// maxRetryDelay, so that a returning store is not flooded.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
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
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.followStore(ctx) })
	group.Go(func() error { return d.followPeers(ctx) })
	group.Go(func() error { return sleep.Every(ctx, expiryCheckInterval, d.removeExpired) })
	return group.Wait()
}

// followStore reads the whole store and then its changes, from a watcher if
// there is one to follow, else from the store itself.
func (d *Directory) followStore(ctx context.Context) error {
	delay := minRetryDelay
	readAll := true
	connected := true
	for ctx.Err() == nil {
		if w, follows := d.chooseWatcher(time.Now()); follows && d.Revision() > 0 && d.followWatcher(ctx, w) {
			continue
		}
		err := d.callStore(ctx, &readAll)
		if err == nil {
			if !connected {
				d.config.Logger.Info("connection to the store restored", "as_of", d.Revision())
			}
			connected, delay = true, minRetryDelay
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		d.mu.Lock()
		d.storeFailedAt = now
		d.mu.Unlock()
		if connected {
			d.config.Logger.Warn("connection to the store lost", "as_of", d.Revision(), "error", err.Error())
			d.wakeFollowers() // and the requests that wait for the first read
		}
		connected = false
		_ = sleep.For(ctx, delay)
		delay = d.nextRetryDelay(delay, rand.Float64())
	}
	return nil
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
// read in one call.
func (d *Directory) batchDelay() time.Duration {
	if d.isLarge() {
		return d.fractionOfMaxDelay(batchFraction)
	}
	return smallFleetBatchDelay
}

// callStore makes one call to the store and applies the result. It sets
// readAll if the next call must read everything.
func (d *Directory) callStore(ctx context.Context, readAll *bool) error {
	if *readAll {
		items, asOf, err := d.config.Source.Read(ctx)
		if err != nil {
			return err
		}
		d.applySnapshot(items, asOf, time.Now())
		*readAll = false
		d.publishPosition()
		return nil
	}
	items, asOf, err := d.config.Source.Changes(ctx, d.position(), d.watchWait())
	if errors.Is(err, ErrHistoryGone) {
		at := d.position()
		d.config.Logger.Warn("store no longer holds the changes to follow, reading everything", "era", at.Era, "as_of", at.Revision)
		*readAll = true
		return nil
	}
	if err != nil {
		*readAll = true
		return err
	}
	if !d.applyChanges(items, asOf, time.Now()) {
		*readAll = true
		return nil
	}
	if len(items) > 0 {
		d.publishPosition()
		_ = sleep.For(ctx, d.batchDelay())
	}
	return nil
}
