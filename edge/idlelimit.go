package edge

import "time"

// idleLimit is how long callers' connections may be idle. Callers go by the limit that
// was in force when their connection became idle, so a lower one applies only to
// connections that become idle after the change. It is not safe for concurrent use.
type idleLimit struct {
	current, previous time.Duration
	changedAt         time.Time
}

// set records the limit of the configuration in force at a time.
func (l *idleLimit) set(limit time.Duration, now time.Time) {
	if limit != l.current {
		l.previous, l.current, l.changedAt = l.current, limit, now
	}
}

// exceeded reports whether a connection has been idle for too long.
func (l *idleLimit) exceeded(idleSince, now time.Time) bool {
	limit := l.current
	if idleSince.Before(l.changedAt) {
		limit = max(limit, l.previous)
	}
	return now.Sub(idleSince) > limit
}
