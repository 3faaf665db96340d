package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	minCopyAge = 2 * time.Second
	maxCopyAge = 5 * time.Second
	// lostRevisions is the number of writes of others that a restore loses, so that the
	// store gives out revisions again that hosts have seen.
	lostRevisions = 60
	// maxRewriteDelay is the longest time from a restore until the operator and the
	// upstreams have written again what they wrote last.
	maxRewriteDelay = 2 * time.Second
	// configBound is bounds.config_apply_ms of the hosts' settings.
	configBound = 2 * time.Second
	// retiredKeyPause is the time between requests with keys that are no longer
	// allowed.
	retiredKeyPause = 60 * time.Millisecond
)

// restoreFaults are a store that comes back from an older copy.
var restoreFaults = []fault{restoreStore}

// restoreStore takes the store back to a copy of some seconds ago. The operator and
// the upstreams write again afterwards.
func restoreStore(e *environment, r *rand.Rand) (string, error) {
	age := minCopyAge + time.Duration(r.Int64N(int64(maxCopyAge-minCopyAge)))
	copied := e.store.Snapshot()
	time.Sleep(age)
	for i := range lostRevisions {
		e.store.Put(fmt.Sprint("other/", i), nil)
	}
	e.mu.Lock()
	e.store.Restore(copied)
	e.restores = append(e.restores, time.Now())
	e.mu.Unlock()
	time.Sleep(time.Duration(r.Int64N(int64(maxRewriteDelay))))
	for _, s := range e.servers() {
		e.rewrite(s)
	}
	e.rewriteEngines()
	e.rewriteEvacuations()
	e.configure()
	return fmt.Sprintf("the store came back from a copy %s old", age), nil
}

// rewrite writes an upstream's entry again, or removes it if the upstream was removed.
func (e *environment) rewrite(s *server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case s.unlistedAt.IsZero():
		s.Register(e.store, "ready")
	case s.announced:
		s.Register(e.store, "draining")
	default:
		e.store.Delete("servers/" + s.ID)
	}
}

// retiredKey is an API key that newer configurations don't allow.
type retiredKey struct {
	key string
	at  time.Time
}

// mayBeUsed reports whether a host may still take an upstream for ready that is no
// longer listed, because of a restore: the restore lost the change, or the host
// missed the change and read the copy, or the entry was removed so soon after a
// restore that it may seem missing in the copy only.
func (e *environment) mayBeUsed(s *server, h *hostProcess, until time.Time) bool {
	return e.lostInRestore(s.unlistedAt, drainBound) ||
		e.lostInRestore(s.unlistedAt, until.Sub(s.unlistedAt)) && h.wasDisrupted(s.unlistedAt, until, killed, stopped, storeCut) ||
		s.removed && e.lostInRestore(s.unlistedAt.Add(-inTouchTime), inTouchTime)
}

// lostInRestore reports whether the store came back from a copy within the given time
// after a write, so that it lost the write.
func (e *environment) lostInRestore(written time.Time, bound time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.restores {
		if at.After(written) && at.Before(written.Add(bound)) {
			return true
		}
	}
	return false
}

// runRetiredKeys sends requests with keys that are no longer allowed until ctx ends.
func (c *callers) runRetiredKeys(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 3000))
	for n := 0; ctx.Err() == nil; n++ {
		if key, found := c.env.pickRetired(r); found {
			c.record(c.send("/read/", pick(r, c.env.hosts), fmt.Sprintf("%d-k%d", seed, n), key, defaultClientTimeout))
		}
		time.Sleep(retiredKeyPause)
	}
}

// pickRetired returns a key that no host in touch may allow any more.
func (e *environment) pickRetired(r *rand.Rand) (string, bool) {
	e.mu.Lock()
	retired := append([]retiredKey(nil), e.retired...)
	e.mu.Unlock()
	if len(retired) == 0 {
		return "", false
	}
	k := pick(r, retired)
	return k.key, time.Since(k.at) > configBound && !e.lostInRestore(k.at, configBound)
}

// checkRestores checks that hosts in touch don't go back to what the store said
// before: no request with a retired key runs, and none that is sent later than the
// drain bound after the store stopped listing an upstream as ready reaches it.
func (e *environment) checkRestores(outcomes []outcome) (violations []string) {
	byID := make(map[string]outcome)
	for _, o := range outcomes {
		byID[o.id] = o
	}
	for _, s := range e.servers() {
		late, longest, last := 0, time.Duration(0), ""
		for _, a := range s.Arrivals() {
			o, known := byID[a.RequestID]
			if !known || e.host(o.host).wasDisrupted(o.sentAt.Add(-inTouchTime), a.At, killed, stopped, paused, storeCut) {
				continue
			}
			if o.key != keptKey {
				violations = append(violations, fmt.Sprintf("%s %s at %s: reached %s with %s, which is no longer allowed", o.path, o.id, o.host, s.ID, o.key))
			}
			if s.unlistedAt.IsZero() || e.mayBeUsed(s, e.host(o.host), a.At) {
				continue
			}
			if since := o.sentAt.Sub(s.unlistedAt); since > drainBound {
				late++
				if since > longest {
					longest, last = since, o.id+" at "+o.host
				}
			}
		}
		if late > 0 {
			violations = append(violations, fmt.Sprintf("%d requests reached %s later than the store stopped listing it as ready, the last one, %s, sent %s after it",
				late, s.ID, last, longest.Round(time.Millisecond)))
		}
	}
	return violations
}
