package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

const (
	// evacuationBound is the smallest bound on changes of the store in the hosts' settings.
	evacuationBound = 2 * time.Second
	// evacuationLength is how long a data centre is evacuated.
	evacuationLength = evacuationBound + 2*time.Second
)

// evacuationFaults are evacuations of a data centre with upstreams of its own.
var evacuationFaults = []fault{evacuate}

// evacuationTime is a time in which a data centre was evacuated.
type evacuationTime struct {
	servers     []*server
	from, until time.Time
	lateStages  int // stage calls that arrived after the bound
}

// evacuate starts upstreams in another data centre, evacuates it for a while, and lets them
// leave later. They are faster than the others, so that hosts use them.
func evacuate(e *environment, r *rand.Rand) (string, error) {
	e.mu.Lock()
	dc := fmt.Sprint("riga-", len(e.changed))
	var servers []*server
	for _, service := range []string{"plain", "events", platformtest.StageService} {
		u := &platformtest.Upstream{ID: service + "-in-" + dc, Service: service, Zone: dc}
		if service == "events" {
			u.Events, u.EventPause = eventCount, 10*time.Millisecond
		}
		s, err := e.startServer(u)
		if err != nil {
			e.mu.Unlock()
			return "", err
		}
		servers = append(servers, s)
	}
	e.changed = append(e.changed, servers...)
	e.mu.Unlock()
	time.Sleep(time.Second + faultDuration(r))
	before := e.setEvacuated(dc, true)
	stages := servers[len(servers)-1]
	time.Sleep(evacuationBound)
	stageCalls := len(stages.Calls())
	time.Sleep(evacuationLength - evacuationBound)
	ended := evacuationTime{servers: servers, from: before, until: time.Now(), lateStages: len(stages.Calls()) - stageCalls}
	e.setEvacuated(dc, false)
	e.mu.Lock()
	e.evacuations = append(e.evacuations, ended)
	e.mu.Unlock()
	used := len(servers[0].Arrivals()) + len(servers[1].Arrivals())
	time.Sleep(faultDuration(r))
	back := len(servers[0].Arrivals()) + len(servers[1].Arrivals()) - used
	for _, s := range servers {
		e.leaving.Go(func() { e.leave(s, true, exitDelay) })
	}
	return fmt.Sprintf("%s was evacuated after %d requests and %d stage calls, and got %d afterwards", dc, used, stageCalls, back), nil
}

// setEvacuated writes or removes the key of a data centre. It returns the time.
func (e *environment) setEvacuated(dc string, evacuated bool) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if evacuated {
		e.evacuated[dc] = true
	} else {
		delete(e.evacuated, dc)
	}
	e.writeEvacuation(dc)
	return time.Now()
}

// writeEvacuation makes the store's key of a data centre what it should be. The caller holds
// mu.
func (e *environment) writeEvacuation(dc string) {
	if e.evacuated[dc] {
		e.store.Put(platform.EvacuationPrefix+dc, []byte("{}"))
	} else {
		e.store.Delete(platform.EvacuationPrefix + dc)
	}
}

// rewriteEvacuations writes the keys of data centres again after the store came back from a
// copy.
func (e *environment) rewriteEvacuations() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for dc := range e.evacuated {
		e.writeEvacuation(dc)
	}
	for _, key := range e.store.Keys(platform.EvacuationPrefix) {
		e.writeEvacuation(key[len(platform.EvacuationPrefix):])
	}
}

// checkEvacuations checks that hosts in touch send nothing to an evacuated data centre.
func (e *environment) checkEvacuations(outcomes []outcome) (violations []string) {
	byID := make(map[string]outcome)
	for _, o := range outcomes {
		byID[o.id] = o
	}
	for _, evacuated := range e.evacuations {
		if e.lostInRestore(evacuated.from.Add(-maxCopyAge), evacuationLength+maxCopyAge+maxRewriteDelay) {
			continue
		}
		undisturbed := true
		for _, h := range e.hosts {
			undisturbed = undisturbed && !h.wasDisrupted(evacuated.from.Add(-inTouchTime), evacuated.until, killed, stopped, paused, storeCut)
		}
		if undisturbed && evacuated.lateStages > 0 {
			violations = append(violations, fmt.Sprintf("%d stage calls reached %s while its data centre was evacuated", evacuated.lateStages, evacuated.servers[2].ID))
		}
		for _, s := range evacuated.servers {
			for _, a := range s.Arrivals() {
				o, known := byID[a.RequestID]
				if !known || a.At.Before(evacuated.from.Add(evacuationBound)) || a.At.After(evacuated.until) {
					continue
				}
				if !e.host(o.host).wasDisrupted(a.At.Add(-inTouchTime), a.At, killed, stopped, paused, storeCut) {
					violations = append(violations, fmt.Sprintf("%s %s at %s: reached %s %s after its data centre was evacuated",
						o.path, o.id, o.host, s.ID, a.At.Sub(evacuated.from).Round(time.Millisecond)))
				}
			}
		}
	}
	return violations
}
