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
	// lostAnswerReports is how many times in a row a server must report that it is idle for
	// the answer of a call to count as lost. The answer may be on its way at the first time.
	lostAnswerReports = 2
)

// superviseCall ends a call that has not returned within its timeout once its pieces may
// run elsewhere, if its server accepts no connections, or if the server is idle, so that the
// answer was lost. Otherwise the call continues: its server may still return the results, and
// there would be none without it. A call whose answer was lost would keep the server from
// getting another one until the deadlines of its requests.
func (g *Gatherer) superviseCall(ctx context.Context, end context.CancelFunc, b *batchCall, timeout time.Duration) {
	for idle := 0; sleep.ForRunning(ctx, timeout) == nil; timeout = slowCallInterval {
		if g.mayRunElsewhere(b, time.Now()) || !g.acceptsConnections(ctx, b) {
			end()
			return
		}
		if !g.serverIsIdle(ctx, b) {
			idle = 0
			continue
		}
		if idle++; idle >= lostAnswerReports {
			g.metrics.lostAnswers.WithLabelValues(b.service.name).Inc()
			g.config.Logger.Info("answer of a stage call was lost", "service", b.service.name, "upstream", string(b.server.ID),
				"took_ms", time.Since(b.started).Milliseconds())
			g.mu.Lock()
			b.answerLost = true
			g.mu.Unlock()
			end()
			return
		}
	}
}

// serverIsIdle reports whether the server of a call says that it runs no call and none waits
// there. If it does not answer, it may be silent and answer later.
func (g *Gatherer) serverIsIdle(ctx context.Context, b *batchCall) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	idle, err := g.config.Caller.IsIdle(ctx, b.server.Entry)
	return err == nil && idle
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

// acceptsConnections reports whether the server of a call can be reached, or accepts no connection
// because it is leaving.
func (g *Gatherer) acceptsConnections(ctx context.Context, b *batchCall) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := g.config.Caller.Probe(ctx, b.server.Entry)
	return err == nil || g.config.Servers.RefusesAsLeaving(b.server.Process(), err)
}
