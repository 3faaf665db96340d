package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// What is promised of limits that upstreams name.
const (
	limitKnownTime = inTouchTime // from the first answer that names the limit until it holds
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5 // requests
	// minLimitTime and maxLimitTime are how long an upstream names a limit.
	minLimitTime = 5 * time.Second
	maxLimitTime = 9 * time.Second
)

// limitFaults are upstreams that name a limit.
var limitFaults = []fault{nameLimit}

// limitsNamed are the limits that upstreams name, in requests a second.
var limitsNamed = []float64{0, 0.4, 1, 1.1, 3}

// namedLimit is a time in which an upstream named a limit.
type namedLimit struct {
	server      *server
	perSecond   float64
	from, until time.Time
}

// nameLimit has an upstream name a limit for a while.
func nameLimit(e *environment, r *rand.Rand) (string, error) {
	s, l := pick(r, e.ofService(pick(r, []string{"plain", "events"}))), namedLimit{perSecond: pick(r, limitsNamed), from: time.Now()}
	l.server = s
	s.NameLimit(strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	time.Sleep(minLimitTime + time.Duration(r.Int64N(int64(maxLimitTime-minLimitTime))))
	l.until = time.Now()
	s.NameLimit("")
	e.mu.Lock()
	e.limits = append(e.limits, l)
	e.mu.Unlock()
	return fmt.Sprintf("%s named a limit of %g a second", s.ID, l.perSecond), nil
}

// checkLimits checks that all hosts in touch together keep to the limits.
func (e *environment) checkLimits(outcomes []outcome) (violations []string) {
	byID := make(map[string]outcome)
	for _, o := range outcomes {
		byID[o.id] = o
	}
	for _, l := range e.limits {
		if e.overlaps(l) {
			continue
		}
		var arrived []time.Time
		most := 0
		for _, a := range l.server.Arrivals() {
			o, known := byID[a.RequestID]
			if a.At.Before(l.from.Add(limitKnownTime)) || a.At.After(l.until) || !known {
				continue
			}
			if e.host(o.host).wasDisrupted(a.At.Add(-inTouchTime), a.At, killed, stopped, paused) {
				continue
			}
			arrived = append(arrived, a.At)
			for a.At.Sub(arrived[0]) > limitWindow {
				arrived = arrived[1:]
			}
			most = max(most, len(arrived))
		}
		if allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
			violations = append(violations, fmt.Sprintf("%s named a limit of %g a second and got %d requests in %s, allowed %g", l.server.ID, l.perSecond, most, limitWindow, allowed))
		}
	}
	return violations
}

// overlaps reports whether the upstream named another limit during a part of the time.
func (e *environment) overlaps(l namedLimit) bool {
	for _, other := range e.limits {
		if other != l && other.server == l.server && other.from.Before(l.until) && other.until.After(l.from) {
			return true
		}
	}
	return false
}
