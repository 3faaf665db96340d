package directory

import "time"

// heartbeatJitter is the fraction by which the time between two writes of an upstream
// may exceed Config.HeartbeatInterval.
const heartbeatJitter = 0.2

// outageTracker decides from the outcomes of this host's calls whether the store has been
// away for long enough that entries of living upstreams may have expired. It does no I/O.
// The directory's mutex guards it.
type outageTracker struct {
	// minLength is the length of the shortest outage in which such an entry can expire.
	minLength time.Duration
	// reachedAt is when the store was last known to be reachable, from this host or from the
	// one that it follows.
	reachedAt time.Time
	failedAt  time.Time // the last failed call
	failing   bool      // the last call of this host failed
	endedAt   time.Time // the last failed call of the newest outage
}

// newOutageTracker returns a tracker for upstreams that write their entries at an
// interval, and whose entries expire after a time without a write.
func newOutageTracker(heartbeatInterval, entryTTL time.Duration) outageTracker {
	longestGap := time.Duration((1 + heartbeatJitter) * float64(heartbeatInterval))
	return outageTracker{minLength: max(entryTTL-longestGap, 0)}
}

// reached records that the store was reachable, by a call of this host or of another. If
// calls of this host have failed since it was reachable before, that was an outage, provided
// that it was long enough.
func (o *outageTracker) reached(at time.Time) {
	if o.failing && at.Sub(o.reachedAt) >= o.minLength {
		o.endedAt = o.failedAt
	}
	if at.After(o.reachedAt) {
		o.reachedAt = at
	}
}

// failed records a failed call. It returns true if it is the first in a row.
func (o *outageTracker) failed(now time.Time) (first bool) {
	first = !o.failing
	o.failing, o.failedAt = true, now
	return first
}

// answered records an answer of the store to this host, before it is applied. restored is
// true if the call before failed, and silence is then the time for which the store may have
// been away.
func (o *outageTracker) answered(now time.Time) (silence time.Duration, restored bool) {
	silence, restored = now.Sub(o.reachedAt), o.failing
	o.reached(now)
	o.failing = false
	return silence, restored
}
