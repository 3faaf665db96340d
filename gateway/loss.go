package gateway

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// crashDelay is how long after a broken connection its upstream is looked
	// at: a process that crashes closes its listener by then.
	crashDelay = 40 * time.Millisecond
	// crashTimeout bounds the look: a live upstream accepts within
	// milliseconds.
	crashTimeout = 700 * time.Millisecond
)

// confirmLoss finds out whether an upstream that broke off has crashed, which
// speaks against the request; a lost connection alone does not.
func (g *Gateway) confirmLoss(d quarantine.Digest, chosen instance.Status) {
	time.Sleep(crashDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	err := g.config.Transport.Reach(ctx, chosen.Addr)
	if err == nil {
		return
	}
	now := time.Now()
	g.config.Logger.Warn("upstream crashed under a request", "upstream", string(chosen.ID), "addr", chosen.Addr.String(),
		"digest", d.String(), "error", err.Error())
	g.config.Instances.MarkUnreachable(chosen.ID, now)
	g.config.Quarantine.Ended(d, upstream.ID(chosen.ID), true)
}
