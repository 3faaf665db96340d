package directory

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/internal/sleep"
)

const (
	// smallWatchWait is how long one watch of a small fleet's hosts waits for
	// changes. A watch that went silent is noticed a second after that, within
	// the time in which the store counts as unstable.
	smallWatchWait = 2500 * time.Millisecond
	// retryPause is the pause after a failed call to the store; it doubles up
	// to maxRetryPause, so that a store that returns is not flooded.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// smallPause is the pause after changes in a small fleet, so that those that
	// come together are read together: the store counts every call.
	smallPause = 200 * time.Millisecond
	// lapseInterval is how often entries that lapsed are looked at.
	lapseInterval = 200 * time.Millisecond
)

// Run follows the store and the other hosts until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.followStore(ctx) })
	group.Go(func() error { return d.followPeers(ctx) })
	group.Go(func() error { return sleep.Every(ctx, lapseInterval, d.dropLapsed) })
	return group.Wait()
}

// followStore reads everything once and then every change.
func (d *Directory) followStore(ctx context.Context) error {
	pause := retryPause
	read := true
	inTouch := true
	for ctx.Err() == nil {
		if w, follows := d.watcher(time.Now()); follows && d.AsOf() > 0 && d.follow(ctx, w) {
			continue
		}
		err := d.step(ctx, &read)
		if err == nil {
			if !inTouch {
				d.config.Logger.Info("store regained", "as_of", d.AsOf())
			}
			inTouch, pause = true, retryPause
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		d.mu.Lock()
		d.troubleAt = now
		d.mu.Unlock()
		if inTouch {
			d.config.Logger.Warn("store lost", "as_of", d.AsOf(), "error", err.Error())
		}
		inTouch = false
		_ = sleep.For(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
	return nil
}

// pause is how long changes are gathered before they are read.
func (d *Directory) pause() time.Duration {
	if d.isLarge() {
		return d.share(gatherShare)
	}
	return smallPause
}

// step makes one call to the store and takes in what it says.
func (d *Directory) step(ctx context.Context, read *bool) error {
	if *read {
		items, asOf, err := d.config.Source.Read(ctx)
		if err != nil {
			return err
		}
		d.applyAll(items, asOf, time.Now())
		*read = false
		d.tell()
		return nil
	}
	items, asOf, err := d.config.Source.Changes(ctx, d.AsOf(), d.watchWait())
	if errors.Is(err, ErrHistoryGone) {
		d.config.Logger.Warn("store forgot its history", "as_of", d.AsOf())
		*read = true
		return nil
	}
	if err != nil {
		*read = true
		return err
	}
	now := time.Now()
	for _, item := range items {
		d.apply(item, now)
	}
	d.advance(asOf, now)
	if len(items) > 0 {
		d.announce()
		d.tell()
		_ = sleep.For(ctx, d.pause())
	}
	return nil
}
