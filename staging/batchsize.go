package staging

import (
	"time"

	"github.com/galenaseam/galenaseam/routing"
)

const (
	// busyShare is the share of the capacity of a service's servers from which a free
	// server takes a batch that another would finish sooner. Near the limit, time that a
	// slow server is idle is lost.
	busyShare = 0.0
	// fasterShare is the share of the duration at the free server within which another
	// one must finish the batch. The times are estimates, and a server that is waited for
	// may get other work.
	fasterShare = 0.75
)

// busyServer is a server that runs a call.
type busyServer struct {
	slowness float64
	freeIn   time.Duration
}

// batchChoice is what the decision depends on whether a free server takes the queued
// pieces now.
type batchChoice struct {
	spec   *routing.StageServer
	pieces int // queued pieces that may run at the server
	// slowness is that of the free server, the fastest one.
	slowness float64
	busy     []busyServer
	// load is the share of the servers' capacity that the arriving pieces take.
	load float64
}

// startsNow reports whether the free server takes the queued pieces. It does not if there
// is only one batch, and a server that is about to be free would finish it clearly sooner.
func (c batchChoice) startsNow() bool {
	if c.pieces >= c.spec.BatchSize || c.load > busyShare {
		return true
	}
	usual := float64(callTime(c.spec, c.pieces))
	limit := time.Duration(fasterShare * c.slowness * usual)
	for _, b := range c.busy {
		if b.freeIn+time.Duration(b.slowness*usual) < limit {
			return false
		}
	}
	return true
}
