package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

const (
	// brittleLength is how long upstreams fall over after they have begun to.
	brittleLength = 4 * time.Second
	// brittleRestart is how long one that has fallen over is down.
	brittleRestart = 500 * time.Millisecond
	// brittleSlots is how many requests an upstream runs at once, as its entry says.
	brittleSlots = 8
	// allowedFalls is how often the upstreams of a service may fall over in one time in
	// which they are brittle, and one more for fallsEach of them.
	allowedFalls = 2
	fallsEach    = 10
)

// brittleFaults are services whose upstreams fall over when they must turn requests away.
var brittleFaults = []fault{makeBrittle}

// brittleTime is a time in which the upstreams of a service were brittle.
type brittleTime struct {
	service   string
	upstreams []*platformtest.Brittle
}

// makeBrittle makes the upstreams of a service say that they are brittle, and fall over from
// inTouchTime later on.
func makeBrittle(e *environment, r *rand.Rand) (string, error) {
	b := brittleTime{service: pick(r, []string{"plain", "events"})}
	rejections := 1 + r.IntN(6)
	servers := e.ofService(b.service)
	for _, s := range servers {
		u := &platformtest.Brittle{
			Slots: brittleSlots, MaxRejections: rejections, Restart: brittleRestart, From: time.Now().Add(inTouchTime),
		}
		s.SetBrittle(u)
		b.upstreams = append(b.upstreams, u)
	}
	time.Sleep(inTouchTime + brittleLength)
	for _, s := range servers {
		s.SetBrittle(nil)
	}
	e.mu.Lock()
	e.brittle = append(e.brittle, b)
	e.mu.Unlock()
	return fmt.Sprintf("upstreams of %s were brittle, %d rejections a second", b.service, rejections), nil
}

// checkBrittle checks that upstreams did not fall over more often than is allowed.
func (e *environment) checkBrittle() (violations []string) {
	for _, b := range e.brittle {
		falls := 0
		for _, u := range b.upstreams {
			falls += u.Falls()
		}
		if falls > allowedFalls+len(b.upstreams)/fallsEach {
			violations = append(violations, fmt.Sprintf("%d brittle upstreams of %s fell over %d times", len(b.upstreams), b.service, falls))
		}
	}
	return violations
}
