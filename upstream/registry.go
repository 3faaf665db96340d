package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
)

// minDownClaims is how many other hosts must claim that an upstream is down
// before a host without a recent answer of its own treats it as dead.
const minDownClaims = 2

// sufficientClaims is how many other hosts' unexpired claims make a host's own
// claim of the same kind superfluous.
const sufficientClaims = 3

// Timing holds the intervals and timeouts of the decisions about upstreams. If all
// of them are zero, DefaultTiming is used.
type Timing struct {
	// ClaimTTL is how long a claim of another host counts.
	ClaimTTL time.Duration
	// ClaimRefresh is how often a host repeats a claim that still holds.
	ClaimRefresh time.Duration
	// RecentAnswer is how long an answer to this host outweighs other hosts'
	// claims that the upstream is down.
	RecentAnswer time.Duration
	// FailureMerge is the time within which failures count as one event.
	FailureMerge time.Duration
	// IdleProbe is how often the hosts that are assigned to an upstream probe it
	// while they send it no calls.
	IdleProbe time.Duration
	// LeavingProbe is how often a leaving upstream is probed.
	LeavingProbe time.Duration
	// ProbeBackoffMin and ProbeBackoffMax bound the delay between probes of an
	// upstream that fails them.
	ProbeBackoffMin time.Duration
	ProbeBackoffMax time.Duration
	// UnlistedGrace is how long an upstream that is no longer listed is kept, as
	// long as it answers probes.
	UnlistedGrace time.Duration
}

// DefaultTiming returns the timing that NewTable uses if none is given.
func DefaultTiming() Timing {
	return Timing{
		ClaimTTL:        30 * time.Second,
		ClaimRefresh:    10 * time.Second,
		RecentAnswer:    2 * time.Second,
		FailureMerge:    100 * time.Millisecond,
		IdleProbe:       time.Second,
		LeavingProbe:    5 * time.Second,
		ProbeBackoffMin: 250 * time.Millisecond,
		ProbeBackoffMax: 5 * time.Second,
		UnlistedGrace:   30 * time.Second,
	}
}

// registry combines the evidence about every upstream. It does no I/O and takes
// the time as an argument. Callers must serialise its use.
type registry struct {
	self    host.Info
	timing  Timing
	entries map[ID]*entry
	// active holds the entries that need periodic work. All others are listed,
	// live and free of failures and claims.
	active map[ID]*entry
	// idleProbes holds the upstreams that this host probes while they are idle.
	idleProbes map[ID]*entry
}

func newRegistry(self host.Info, timing Timing) *registry {
	return &registry{
		self:       self,
		timing:     timing,
		entries:    make(map[ID]*entry),
		active:     make(map[ID]*entry),
		idleProbes: make(map[ID]*entry),
	}
}

// applyList applies a new host list. It skips entry hosts, which have no pool.
func (r *registry) applyList(now time.Time, listings []infra.Listing) {
	listed := make(map[ID]bool, len(listings))
	for _, l := range listings {
		if l.Pool == "" {
			continue
		}
		id := ID(l.Addr.String())
		listed[id] = true
		e := r.ensure(id, Upstream{ID: id, Addr: l.Addr, Pool: l.Pool, Place: l.Place})
		if e.listedLeaving && !l.Leaving {
			e.nextProbe = now
		}
		e.listed, e.listedLeaving, e.unlistedAt = true, l.Leaving, time.Time{}
		r.updateActive(e)
	}
	for id, e := range r.entries {
		if e.listed && !listed[id] {
			e.listed, e.unlistedAt, e.nextProbe = false, now, now
			r.updateActive(e)
		}
	}
}

// updateActive adds an entry to active or removes it after the entry changed.
func (r *registry) updateActive(e *entry) {
	if e.inactive() {
		delete(r.active, e.ID)
		return
	}
	r.active[e.ID] = e
}

func (r *registry) remove(e *entry) {
	delete(r.entries, e.ID)
	delete(r.active, e.ID)
	delete(r.idleProbes, e.ID)
}

// ensure returns the entry of an upstream, which it creates if needed. An address
// that now belongs to another pool is another machine, so its old entry is
// dropped.
func (r *registry) ensure(id ID, up Upstream) *entry {
	e, known := r.entries[id]
	if known && e.Pool == up.Pool {
		e.Place = up.Place
		return e
	}
	if known {
		r.remove(e)
	}
	e = &entry{Upstream: up, score: rendezvousScore(string(r.self.ID), string(id)), claims: make(map[host.ID]claim), tracked: true}
	r.entries[id] = e
	return e
}

// report records the evidence from one call.
func (r *registry) report(now time.Time, id ID, evidence Evidence) {
	e, known := r.entries[id]
	if !known {
		return
	}
	switch evidence {
	case Answered:
		e.recordAnswer(now)
	case ReportedLeaving:
		e.recordAnswer(now)
		e.reportedLeaving, e.reportedLeavingAt = true, now
		e.nextProbe = now.Add(r.timing.LeavingProbe)
	case RefusedConnection, ConnectionLost:
		e.recordFailure(now, r.timing)
		e.nextProbe = now
	}
	r.updateActive(e)
}

// recordProbe records the evidence from a probe that began at started. Only the
// answer to a probe that began at least LeavingProbe after the last report of
// leaving ends that state. The answer to a call does not, because the call may
// have been sent before the upstream reported that it was leaving.
func (r *registry) recordProbe(now, started time.Time, id ID, evidence Evidence) {
	e, known := r.entries[id]
	if !known {
		return
	}
	e.probing = false
	if evidence == Answered && started.Sub(e.reportedLeavingAt) >= r.timing.LeavingProbe {
		e.reportedLeaving = false
	}
	r.report(now, id, evidence)
	if evidence == RefusedConnection || evidence == ConnectionLost {
		r.probeFailed(now, e)
		return
	}
	e.nextProbe = now.Add(r.timing.IdleProbe)
	if e.reportedLeaving || e.listedLeaving {
		e.nextProbe = now.Add(r.timing.LeavingProbe)
	}
}

// probeFailed backs off the probes of an upstream that failed one. If the
// upstream is no longer listed, its grace period ends at once, so that the next
// updateStates removes it.
func (r *registry) probeFailed(now time.Time, e *entry) {
	if !e.listed {
		e.unlistedAt = now.Add(-r.timing.UnlistedGrace)
	}
	e.backoff = min(max(2*e.backoff, r.timing.ProbeBackoffMin), r.timing.ProbeBackoffMax)
	e.nextProbe = now.Add(e.backoff)
}

// recordClaim records another host's claim. A claim that the upstream is down
// makes a probe due.
func (r *registry) recordClaim(now time.Time, from host.ID, id ID, kind claimKind) {
	e, known := r.entries[id]
	if !known {
		return
	}
	if kind == claimNone {
		delete(e.claims, from)
		return
	}
	e.claims[from] = claim{kind: kind, receivedAt: now}
	if kind == claimDown && !e.down {
		e.nextProbe = now
	}
	r.updateActive(e)
}

// updateStates recomputes the states that may have changed, removes upstreams
// that have been unlisted for too long, and reports whether anything changed.
func (r *registry) updateStates(now time.Time) bool {
	changed := false
	for _, e := range r.active {
		if !e.listed && now.Sub(e.unlistedAt) >= r.timing.UnlistedGrace {
			r.remove(e)
			changed = true
			continue
		}
		e.dropExpiredClaims(now, r.timing.ClaimTTL)
		changed = r.updateState(now, e) || changed
		r.updateActive(e)
	}
	return changed
}

// updateState recomputes one state and reports whether it changed.
func (r *registry) updateState(now time.Time, e *entry) bool {
	state := e.evaluate(now, r.timing)
	if state == e.State {
		return false
	}
	e.State = state
	return true
}

// dueProbes returns the upstreams to probe now and marks them as being probed.
func (r *registry) dueProbes(now time.Time) []Upstream {
	var due []Upstream
	addIfDue := func(e *entry) {
		if !e.probing && !now.Before(e.nextProbe) && r.wantsProbe(now, e) {
			e.probing = true
			due = append(due, e.Upstream)
		}
	}
	for _, e := range r.active {
		addIfDue(e)
	}
	for _, e := range r.idleProbes {
		addIfDue(e)
	}
	slices.SortFunc(due, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

// wantsProbe reports whether an upstream needs probes: it has failures, reported
// that it is leaving, is tracked but no longer listed, is tracked and claimed to
// be down without a recent answer to this host, or is idle and assigned to this
// host.
func (r *registry) wantsProbe(now time.Time, e *entry) bool {
	switch {
	case e.failurePoints > 0, e.reportedLeaving, !e.listed && e.tracked:
		return true
	// Half of RecentAnswer leaves time for the probe before the last answer is too
	// old to outweigh the claims.
	case e.tracked && e.countClaims(now, claimDown, r.timing.ClaimTTL) > 0 && now.Sub(e.lastAnswer) >= r.timing.RecentAnswer/2:
		return true
	}
	_, assigned := r.idleProbes[e.ID]
	return assigned && now.Sub(e.lastAnswer) >= r.timing.IdleProbe
}

// claimUpdate is a claim to publish about one upstream.
type claimUpdate struct {
	id   ID
	kind claimKind
}

// pendingClaims returns the claims to publish now and marks them as published. A
// claim that enough other hosts make is left out, so that a dead upstream costs
// the fleet few datagrams.
func (r *registry) pendingClaims(now time.Time) []claimUpdate {
	var updates []claimUpdate
	for id, e := range r.active {
		own := e.ownClaim()
		recent := now.Sub(e.publishedAt) < r.timing.ClaimRefresh
		superfluous := own != claimNone && e.countClaims(now, own, r.timing.ClaimTTL) >= sufficientClaims
		unchanged := own == e.published && (recent || own == claimNone)
		if unchanged || superfluous {
			continue
		}
		e.published, e.publishedAt = own, now
		updates = append(updates, claimUpdate{id: id, kind: own})
	}
	slices.SortFunc(updates, func(a, b claimUpdate) int { return cmp.Compare(a.id, b.id) })
	return updates
}
