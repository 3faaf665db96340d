package galenaseam

import (
	"log/slog"
	"time"

	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/request"
	"github.com/galenaseam/galenaseam/upstream"
)

// guard is the request path's way to the quarantine.
type guard struct {
	quarantine *quarantine.Quarantine
	logger     *slog.Logger
}

// Screen says whether a request may run.
func (g guard) Screen(d request.Digest) request.Screening {
	verdict := g.quarantine.Check(time.Now(), quarantine.Digest(d))
	if verdict != quarantine.Allow {
		g.logger.Warn("suspect request", "digest", quarantine.Digest(d).String(), "verdict", verdict.String())
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

// Started takes note that an upstream begins to run a request.
func (g guard) Started(d request.Digest, id upstream.ID) {
	g.quarantine.Started(quarantine.Digest(d), id)
}

// Lost takes note that an upstream died while it ran a request.
func (g guard) Lost(d request.Digest, id upstream.ID) {
	g.logger.Warn("upstream lost under a request", "digest", quarantine.Digest(d).String(), "upstream", string(id))
	g.quarantine.Ended(quarantine.Digest(d), id, true)
}

// Ended takes note of a request's end. One that was run alone and came whole
// is cleared; any other keeps what is known against it.
func (g guard) Ended(d request.Digest, whole bool) {
	if whole {
		g.quarantine.Ended(quarantine.Digest(d), "", false)
		return
	}
	g.quarantine.Release(quarantine.Digest(d))
}
