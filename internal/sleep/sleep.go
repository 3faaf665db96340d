// Package sleep waits for a time that a context can cut short.
package sleep

import (
	"context"
	"time"
)

// For waits for d. It returns ctx's error when ctx ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
