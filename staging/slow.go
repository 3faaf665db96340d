package staging

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
)

const (
	// probeTimeout bounds a check of whether a slow server accepts connections.
	probeTimeout = 300 * time.Millisecond
	// slowCallInterval is the time between checks of a call that is past its timeout.
	slowCallInterval = 400 * time.Millisecond
)

// superviseCall ends a call that has not returned within its timeout once its pieces may
// run elsewhere, or if its server accepts no connections. Otherwise the call continues:
// its server may still return the results, and there would be none without it.
func (g *Gatherer) superviseCall(ctx context.Context, end context.CancelFunc, b *batchCall, timeout time.Duration) {
	for sleep.ForRunning(ctx, timeout) == nil {
		if g.mayRunElsewhere(b, time.Now()) || !g.acceptsConnections(ctx, b) {
			end()
			return
		}
		timeout = slowCallInterval
	}
}

// mayRunElsewhere reports whether nobody waits for the pieces of a call any more, or all
// may be retried. It pays for the retries.
func (g *Gatherer) mayRunElsewhere(b *batchCall, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pieces := 0
	for _, part := range b.parts {
		switch {
		case part.item.ended || now.After(part.item.deadline):
		case part.item.retries >= maxRetries:
			return false
		default:
			pieces += len(part.pieces)
		}
	}
	b.retriesPaid = pieces == 0 || g.config.Retries.AllowRetries(b.service.name, pieces, 1, now)
	return b.retriesPaid
}

// acceptsConnections reports whether the server of a call can be reached.
func (g *Gatherer) acceptsConnections(ctx context.Context, b *batchCall) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return g.config.Caller.Probe(ctx, b.server.Entry) == nil
}
