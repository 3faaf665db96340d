package galenaseam

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/request"
	"github.com/galenaseam/galenaseam/upstream"
)

// quarantineGuard implements request.Guard with the host's quarantine.
type quarantineGuard struct {
	quarantine *quarantine.Quarantine
	parts      *quarantine.Parts
	logger     *slog.Logger
}

// ScreenParts reports whether a prompt with these parts may be sent to an engine.
func (g quarantineGuard) ScreenParts(ctx context.Context, parts []string) bool {
	return g.parts.Await(ctx, parts).Decision != quarantine.PartsRefused
}

// LostParts records that an engine died before it had generated anything from a prompt
// with these parts. It may have been about to, or not have begun to read the prompt.
func (g quarantineGuard) LostParts(parts []string, id upstream.ID) {
	g.parts.Lost(parts, id, time.Now(), quarantine.Weak)
}

// AnsweredParts records that an engine answered a prompt with these parts.
func (g quarantineGuard) AnsweredParts(parts []string) { g.parts.Answered(parts) }

// Screen returns whether a request may run, and logs the request if the
// quarantine restricts it.
func (g quarantineGuard) Screen(d request.Digest) request.Screening {
	verdict := g.quarantine.Check(time.Now(), quarantine.Digest(d))
	if verdict != quarantine.Allow {
		g.logger.Warn("quarantine restricts request", "digest", quarantine.Digest(d).String(), "verdict", verdict.String())
	}
	switch verdict {
	case quarantine.RunAlone:
		return request.RunAlone
	case quarantine.Refuse:
		return request.Refuse
	default:
		return request.Allow
	}
}

// Started records that an upstream starts to run a request.
func (g quarantineGuard) Started(d request.Digest, id upstream.ID) {
	g.quarantine.Started(quarantine.Digest(d), id)
}

// Lost records that an upstream died while it ran a request.
func (g quarantineGuard) Lost(d request.Digest, id upstream.ID) {
	g.logger.Warn("upstream lost while running a request", "digest", quarantine.Digest(d).String(), "upstream", string(id))
	g.quarantine.Ended(quarantine.Digest(d), id, true)
}

// Ended records the end of a request. complete means that every stage ran without
// losing an upstream. A suspect request that ran alone is then cleared; otherwise
// the evidence against a request remains.
func (g quarantineGuard) Ended(d request.Digest, complete bool) {
	if complete {
		g.quarantine.Ended(quarantine.Digest(d), "", false)
		return
	}
	g.quarantine.Release(quarantine.Digest(d))
}
