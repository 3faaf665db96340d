package sleep

import (
	"context"
	"time"
)

// Every calls f once an interval until ctx ends, and returns nil.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			f(now)
		}
	}
}
