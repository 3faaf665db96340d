package upstream

import (
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// claimKind is what one host tells the others of an upstream.
type claimKind uint8

// The claims. A newer claim of a host replaces its older one.
const (
	claimNothing claimKind = iota
	claimDown
	claimLeaving
)

// claim is what one other host says, and when this host heard it.
type claim struct {
	kind claimKind
	at   time.Time
}

// failurePoints is how much one failed call weighs against an upstream.
const failurePoints = 2

// entry is all that the host knows of one upstream.
type entry struct {
	Upstream
	score uint64 // rendezvous score of this host and this upstream
	// tracked says that the upstream was in the host's subset when it was last
	// live. Hosts spend no probes on what others claim of the rest.
	tracked bool
	load    atomic.Pointer[Load]

	listed        bool
	listedLeaving bool
	unlistedAt    time.Time

	lastAnswer  time.Time
	lastFailure time.Time
	failures    int // points since the last answer
	down        bool
	saidLeaving bool
	saidAt      time.Time

	claims map[host.ID]claim

	probing   bool
	nextProbe time.Time
	backoff   time.Duration

	told   claimKind // what this host last published
	toldAt time.Time
}

// claimants counts the other hosts whose claim of the kind is still fresh.
func (e *entry) claimants(now time.Time, kind claimKind, ttl time.Duration) int {
	count := 0
	for _, c := range e.claims {
		if c.kind == kind && now.Sub(c.at) < ttl {
			count++
		}
	}
	return count
}

// decide returns the state that all the evidence together gives.
func (e *entry) decide(now time.Time, timing Timing) State {
	switch {
	case e.saidLeaving, e.listedLeaving, e.claimants(now, claimLeaving, timing.ClaimTTL) > 0:
		return Leaving
	case e.down:
		return Dead
	case now.Sub(e.lastAnswer) < timing.RecentAnswer:
		return Live
	case e.claimants(now, claimDown, timing.ClaimTTL) >= claimsToCondemn:
		return Dead
	}
	return Live
}

// failed weighs one failure against the upstream. Failures close together are
// one event: a broken connection fails every call on it.
func (e *entry) failed(now time.Time, timing Timing) {
	if e.failures > 0 && now.Sub(e.lastFailure) < timing.FailureMerge {
		return
	}
	e.failures += failurePoints
	e.lastFailure = now
	e.down = e.down || e.failures >= e.pointsToCondemn(now, timing)
}

// pointsToCondemn is lower when another host already says the same.
func (e *entry) pointsToCondemn(now time.Time, timing Timing) int {
	if e.claimants(now, claimDown, timing.ClaimTTL) > 0 {
		return failurePoints
	}
	return 2 * failurePoints
}

func (e *entry) answered(now time.Time) {
	e.lastAnswer = now
	e.failures = 0
	e.down = false
	e.backoff = 0
}

// ownClaim is what this host's own evidence says.
func (e *entry) ownClaim() claimKind {
	switch {
	case e.saidLeaving:
		return claimLeaving
	case e.down:
		return claimDown
	}
	return claimNothing
}

// quiet says that nothing but life is known of the upstream.
func (e *entry) quiet() bool {
	return e.listed && !e.listedLeaving && !e.saidLeaving &&
		e.failures == 0 && len(e.claims) == 0 && e.told == claimNothing && e.State == Live
}

func (e *entry) dropOldClaims(now time.Time, ttl time.Duration) {
	for from, c := range e.claims {
		if now.Sub(c.at) >= ttl {
			delete(e.claims, from)
		}
	}
}
