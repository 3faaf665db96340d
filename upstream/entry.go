package upstream

import (
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// claimKind is what one host tells the others about an upstream. Its values are
// sent to other hosts and must not change.
type claimKind uint8

// The kinds of claims. A host's newer claim about an upstream replaces its older
// one; claimNone withdraws it.
const (
	claimNone claimKind = iota
	claimDown
	claimLeaving
)

// claim is one other host's claim and when this host received it.
type claim struct {
	kind       claimKind
	receivedAt time.Time
}

// pointsPerFailure is what one failure adds to an entry's failure points.
const pointsPerFailure = 2

// entry is everything that the host knows about one upstream.
type entry struct {
	Upstream
	score uint64 // rendezvous score of this host and this upstream
	// tracked says that the upstream was in the host's subset when it was last
	// live. Claims about upstreams that are not tracked cause no probes.
	tracked bool
	load    atomic.Pointer[Load] // the newest report; nil if there is none

	listed        bool
	listedLeaving bool
	unlistedAt    time.Time

	lastAnswer        time.Time
	lastFailure       time.Time
	failurePoints     int // added up since the last answer
	down              bool
	reportedLeaving   bool
	reportedLeavingAt time.Time

	claims map[host.ID]claim // by the host that made them

	probing   bool
	nextProbe time.Time
	backoff   time.Duration

	published   claimKind // the claim that this host last published
	publishedAt time.Time
}

// countClaims returns how many other hosts have an unexpired claim of a kind.
func (e *entry) countClaims(now time.Time, kind claimKind, ttl time.Duration) int {
	count := 0
	for _, c := range e.claims {
		if c.kind == kind && now.Sub(c.receivedAt) < ttl {
			count++
		}
	}
	return count
}

// evaluate derives the state from the host list, this host's own evidence and
// the claims of other hosts. A recent answer to this host outweighs claims that
// the upstream is down.
func (e *entry) evaluate(now time.Time, timing Timing) State {
	switch {
	case e.reportedLeaving, e.listedLeaving, e.countClaims(now, claimLeaving, timing.ClaimTTL) > 0:
		return Leaving
	case e.down:
		return Dead
	case now.Sub(e.lastAnswer) < timing.RecentAnswer:
		return Live
	case e.countClaims(now, claimDown, timing.ClaimTTL) >= minDownClaims:
		return Dead
	}
	return Live
}

// recordFailure adds a failure's points and marks the upstream as down when they
// reach the threshold. Failures close together count as one event, because a
// broken connection fails every call on it.
func (e *entry) recordFailure(now time.Time, timing Timing) {
	if e.failurePoints > 0 && now.Sub(e.lastFailure) < timing.FailureMerge {
		return
	}
	e.failurePoints += pointsPerFailure
	e.lastFailure = now
	e.down = e.down || e.failurePoints >= e.downThreshold(now, timing)
}

// downThreshold returns how many failure points mark the upstream as down: those
// of two failures, or of one if another host also claims that it is down.
func (e *entry) downThreshold(now time.Time, timing Timing) int {
	if e.countClaims(now, claimDown, timing.ClaimTTL) > 0 {
		return pointsPerFailure
	}
	return 2 * pointsPerFailure
}

// recordAnswer clears the failures after an answer.
func (e *entry) recordAnswer(now time.Time) {
	e.lastAnswer = now
	e.failurePoints = 0
	e.down = false
	e.backoff = 0
}

// ownClaim returns the claim that this host's own evidence supports.
func (e *entry) ownClaim() claimKind {
	switch {
	case e.reportedLeaving:
		return claimLeaving
	case e.down:
		return claimDown
	}
	return claimNone
}

// inactive reports whether the upstream is listed and live and there is nothing
// about it to recompute, probe or publish.
func (e *entry) inactive() bool {
	return e.listed && !e.listedLeaving && !e.reportedLeaving &&
		e.failurePoints == 0 && len(e.claims) == 0 && e.published == claimNone && e.State == Live
}

func (e *entry) dropExpiredClaims(now time.Time, ttl time.Duration) {
	for from, c := range e.claims {
		if now.Sub(c.receivedAt) >= ttl {
			delete(e.claims, from)
		}
	}
}
