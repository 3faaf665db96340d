package sleep

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx ends. It always returns nil, so that
// it can be run in an errgroup.
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
