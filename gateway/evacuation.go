package gateway

import (
	"net/http"
	"time"
)

// evacuationRetryAfter is how long callers wait whom evacuations leave without upstreams. It
// is longer than after a crash, since operators end an evacuation, and callers have few
// retries. A random time of the same length is added.
const evacuationRetryAfter = 2 * time.Second

// isEvacuated reports whether evacuations leave the request without upstreams.
func (x *exchange) isEvacuated() bool {
	return x.config.Instances.IsServiceEvacuated(x.service, x.version)
}

// evacuated refuses a request that evacuations leave without upstreams. Nothing has run for it.
func (x *exchange) evacuated() refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: "evacuated", retryAfter: x.spread(evacuationRetryAfter)}
}

// requireUpstreams refuses a request that no upstream may get, before its stages run.
func (x *exchange) requireUpstreams() (refusal, bool) {
	if x.isEvacuated() {
		return x.evacuated(), false
	}
	return refusal{}, true
}
