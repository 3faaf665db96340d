package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// The service whose upstreams are replaced by those of another software version.
const (
	releasedService  = "turns"
	versionServers   = 2 // upstreams of one version
	turnEvents       = 25
	turnEventPause   = 20 * time.Millisecond
	maxReleaseGap    = 2 * time.Second // longest time in which the old and the new version both take new requests
	exitDelay        = 5 * time.Second // time from an upstream's leaving to its exit, above the drain bound and the longest stream
	maxExtraExitTime = time.Second
)

// softwareVersions are the versions that a release draws from. They have no order: an
// earlier one may come back.
var softwareVersions = []string{"v1", "v1.1", "7f3a", "stable"}

// releaseFaults are releases of upstreams and broken connections to them.
var releaseFaults = []fault{releaseVersion, releaseVersion, breakStream}

// release starts upstreams of a version and returns the error of the first that does
// not start.
func (e *environment) release(version string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for range versionServers {
		added, err := e.startServer(&platformtest.Upstream{
			ID: fmt.Sprintf("%s-%d", releasedService, len(e.changed)), Service: releasedService, Zone: "riga-a",
			Version: version, Events: turnEvents, EventPause: turnEventPause, Work: 5 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		e.changed = append(e.changed, added)
	}
	return nil
}

// present returns the upstreams that have not begun to leave.
func (e *environment) present() (all []*server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range append(slices.Clone(e.upstreams), e.changed...) {
		if s.leavingAt.IsZero() {
			all = append(all, s)
		}
	}
	return all
}

// ofService returns the upstreams of one service that have not begun to leave.
func (e *environment) ofService(service string) (all []*server) {
	for _, s := range e.present() {
		if s.Service == service {
			all = append(all, s)
		}
	}
	return all
}

// releaseVersion starts upstreams of another version beside the present ones, and lets
// the present ones leave.
func releaseVersion(e *environment, r *rand.Rand) (string, error) {
	old := e.ofService(releasedService)
	version := pick(r, softwareVersions)
	for version == old[0].Version {
		version = pick(r, softwareVersions)
	}
	if err := e.release(version); err != nil {
		return "", err
	}
	time.Sleep(time.Duration(r.Int64N(int64(maxReleaseGap))))
	for _, s := range old {
		announces, exit := r.IntN(3) > 0, exitDelay+time.Duration(r.Int64N(int64(maxExtraExitTime)))
		e.leaving.Go(func() { e.leave(s, announces, exit) })
		time.Sleep(faultDuration(r) / 2)
	}
	return fmt.Sprintf("released %s of %s after %s", version, releasedService, old[0].Version), nil
}

// leave lets an upstream leave, with or without an announcement, and ends it after the
// given time.
func (e *environment) leave(s *server, announces bool, exit time.Duration) {
	e.mu.Lock()
	if s.leavingAt.IsZero() {
		s.leavingAt = time.Now()
	}
	if announces {
		s.Register(e.store, "draining")
	} else {
		e.store.Delete("servers/" + s.ID)
	}
	s.unlistedAt, s.announced, s.removed = time.Now(), announces, !announces
	e.mu.Unlock()
	time.Sleep(exit)
	e.mu.Lock()
	s.announced = false
	e.store.Delete("servers/" + s.ID)
	e.mu.Unlock()
	s.proxy.close()
}

// breakStream breaks off streams of one upstream of the released service.
func breakStream(e *environment, r *rand.Rand) (string, error) {
	s := pick(r, e.ofService(releasedService))
	if r.IntN(2) == 0 {
		s.proxy.reset()
		return "reset connections to " + s.ID, nil
	}
	s.QueueFaults(platformtest.TruncateAnswer, platformtest.TruncateAnswer, platformtest.TruncateAnswer)
	return s.ID + " breaks off streams", nil
}

// served reports whether two upstreams of a version took new requests throughout the
// given time.
func (e *environment) served(version string, from, until time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.changed {
		if s.Version == version && s.readyAt.Before(from) && (s.leavingAt.IsZero() || s.leavingAt.After(until)) {
			n++
		}
	}
	return n >= versionServers
}
