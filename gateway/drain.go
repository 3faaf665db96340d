package gateway

import (
	"time"

	"github.com/galenaseam/galenaseam/routing"
)

// Drain says how a stopping host treats the requests that still arrive.
type Drain struct {
	// RoutedUntil is until when the load balancer may still send new connections to the host.
	// Later requests come on connections that were opened before.
	RoutedUntil time.Time
	// StopAt is when the host ends what is in progress.
	StopAt time.Time
}

// lateResponseFactor times the mean response time of a service is what a request needs to be
// taken by a stopping host.
const lateResponseFactor = 2

// takes reports whether a stopping host takes a request that has arrived, of a route of a kind,
// whose service has a mean response time. It refuses what it would have to end: streams
// that come when the load balancer sends nothing more, since it is not known how long they
// last, and other requests whose answers are not to be expected before StopAt.
func (d *Drain) takes(kind routing.Kind, mean time.Duration, now time.Time) bool {
	if kind == routing.Stream {
		return now.Before(d.RoutedUntil) && now.Before(d.StopAt)
	}
	return now.Add(lateResponseFactor * mean).Before(d.StopAt)
}

// Drain makes every further answer close its connection, and refuses the requests that come
// too late to be finished.
func (g *Gateway) Drain(d Drain) { g.drain.Store(&d) }

// refuseLate returns the refusal of a request that comes too late; false if the host takes it.
func (x *exchange) refuseLate() (refusal, bool) {
	d := x.drain.Load()
	if d == nil && !x.hostStops() {
		return refusal{}, false
	}
	if !x.hostStops() && d.takes(x.route.Kind, x.config.ResponseTimes.Mean(x.service), time.Now()) {
		return refusal{}, false
	}
	return x.stopRefusal(), true
}
