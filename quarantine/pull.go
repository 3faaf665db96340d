package quarantine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/link"
)

const (
	// pullInterval is how often a host asks another for what it knows, so that it
	// also learns of facts that it missed or that ended with their host.
	pullInterval = 2 * time.Second
	// firstPullInterval is how often a host asks until it has an answer. It doubles up to
	// pullInterval while those that are asked don't answer.
	firstPullInterval = 250 * time.Millisecond
	// pullTimeout is many round trips between data centres.
	pullTimeout = 300 * time.Millisecond
)

// puller asks other hosts, one at a time, for what they know. R is their report.
type puller[R any] struct {
	fleet  host.View
	caller link.Caller
	logger *slog.Logger
	method link.Method
	merge  func(r R, from string)
}

// run asks until ctx ends.
func (p puller[R]) run(ctx context.Context) error {
	answered, interval := false, firstPullInterval
	for sleep.For(ctx, interval) == nil {
		other, found := p.chooseOther()
		if !found {
			continue
		}
		if answered = p.ask(ctx, other) || answered; answered {
			interval = pullInterval
		} else {
			interval = min(2*interval, pullInterval)
		}
	}
	return nil
}

// chooseOther returns another host at random; false if there is none.
func (p puller[R]) chooseOther() (host.Info, bool) {
	self := p.fleet.Self().ID
	var others []host.Info
	for _, m := range p.fleet.Members() {
		if m.ID != self && m.State == host.Alive {
			others = append(others, m.Info)
		}
	}
	if len(others) == 0 {
		return host.Info{}, false
	}
	return others[rand.IntN(len(others))], true
}

// ask takes over what another host knows. It returns false if the host does not answer, or
// is of a version that does not know the method.
func (p puller[R]) ask(ctx context.Context, other host.Info) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	r, err := link.CallIdempotent[struct{}, R](ctx, p.caller, other.LinkAddr, p.method, struct{}{})
	if err != nil {
		p.logger.Debug("quarantine not fetched from another host", "method", string(p.method), "peer", string(other.ID), "error", err.Error())
		return false
	}
	p.merge(r, string(other.ID))
	return true
}
