package gateway

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// crashCheckDelay is the time between a broken connection and the check
	// whether the upstream still listens: a process that crashes has closed its
	// listener by then.
	crashCheckDelay = 40 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt of the check: a live
	// upstream accepts within milliseconds.
	crashCheckTimeout = 700 * time.Millisecond
)

// confirmCrash checks whether the upstream of a broken connection has crashed. A
// crash counts against the request in the quarantine; a lost connection alone
// does not.
func (g *Gateway) confirmCrash(d quarantine.Digest, chosen instance.Status) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := g.config.Transport.Probe(ctx, chosen.Addr)
	if err == nil {
		return
	}
	now := time.Now()
	g.config.Logger.Warn("upstream crashed while running a request", "upstream", string(chosen.ID), "addr", chosen.Addr.String(),
		"digest", d.String(), "error", err.Error())
	g.config.Instances.MarkUnreachable(chosen.ID, now)
	g.config.Quarantine.Ended(d, upstream.ID(chosen.ID), true)
}
