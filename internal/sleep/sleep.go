// Package sleep provides waits and periodic calls that end with a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d. It returns the error of ctx if ctx ends first.
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
