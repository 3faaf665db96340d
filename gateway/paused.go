package gateway

import "time"

// pausedFor returns how long until the first of the service's upstreams accepts
// requests of this host again. It returns false unless all have asked for a pause.
func (x *exchange) pausedFor() (time.Duration, bool) {
	now := time.Now()
	back, paused := x.config.Instances.FirstBack(x.service, now)
	return back.Sub(now), paused
}
