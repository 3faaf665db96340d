package upstream

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
)

// claimsToCondemn is how many other hosts must say that an upstream is down
// before a host without evidence of its own believes it.
const claimsToCondemn = 2

// claimsEnough is how many fresh claims make another one superfluous.
const claimsEnough = 3

// Timing holds the times of the decisions. Zero values take the defaults.
type Timing struct {
	// ClaimTTL is how long a claim of another host counts.
	ClaimTTL time.Duration
	// ClaimRefresh is how often a host repeats a claim that still holds.
	ClaimRefresh time.Duration
	// RecentAnswer is how long an own answer outweighs what others claim.
	RecentAnswer time.Duration
	// FailureMerge is the time in which failures count as one event.
	FailureMerge time.Duration
	// IdleProbe is how often an upstream without calls is probed by the hosts
	// on duty for it.
	IdleProbe time.Duration
	// LeavingProbe is how often a leaving upstream is asked again.
	LeavingProbe time.Duration
	// ProbeBackoffMin and ProbeBackoffMax bound the wait between probes of a
	// dead upstream.
	ProbeBackoffMin time.Duration
	ProbeBackoffMax time.Duration
	// UnlistedGrace is how long an upstream that is no longer listed is kept
	// while it answers.
	UnlistedGrace time.Duration
}

// DefaultTiming returns the times used unless set otherwise.
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

// registry merges the evidence on every upstream. It does no I/O and takes the
// time as input; callers serialise its use.
type registry struct {
	self    host.Info
	timing  Timing
	entries map[ID]*entry
	// active is the entries about which there is any news; the rest are live
	// and need no look.
	active map[ID]*entry
	// duties is the upstreams that this host keeps watch over when idle.
	duties map[ID]*entry
}

func newRegistry(self host.Info, timing Timing) *registry {
	return &registry{
		self:    self,
		timing:  timing,
		entries: make(map[ID]*entry),
		active:  make(map[ID]*entry),
		duties:  make(map[ID]*entry),
	}
}

// applyList takes in a new host list. Entry hosts have no pool and are passed
// over.
func (r *registry) applyList(now time.Time, listings []infra.Listing) {
	seen := make(map[ID]bool, len(listings))
	for _, l := range listings {
		if l.Pool == "" {
			continue
		}
		id := ID(l.Addr.String())
		seen[id] = true
		e := r.ensure(id, Upstream{ID: id, Addr: l.Addr, Pool: l.Pool, Place: l.Place})
		if e.listedLeaving && !l.Leaving {
			e.nextProbe = now
		}
		e.listed, e.listedLeaving, e.unlistedAt = true, l.Leaving, time.Time{}
		r.touch(e)
	}
	for id, e := range r.entries {
		if e.listed && !seen[id] {
			e.listed, e.unlistedAt, e.nextProbe = false, now, now
			r.touch(e)
		}
	}
}

// touch keeps active up to date after a change of an entry.
func (r *registry) touch(e *entry) {
	if e.quiet() {
		delete(r.active, e.ID)
		return
	}
	r.active[e.ID] = e
}

func (r *registry) forget(e *entry) {
	delete(r.entries, e.ID)
	delete(r.active, e.ID)
	delete(r.duties, e.ID)
}

// ensure returns the entry of an upstream. An address that now belongs to
// another pool is another machine: what was known of it is dropped.
func (r *registry) ensure(id ID, up Upstream) *entry {
	e, known := r.entries[id]
	if known && e.Pool == up.Pool {
		e.Place = up.Place
		return e
	}
	if known {
		r.forget(e)
	}
	e = &entry{Upstream: up, score: score(string(r.self.ID), string(id)), claims: make(map[host.ID]claim), tracked: true}
	r.entries[id] = e
	return e
}

// report takes in what a call saw.
func (r *registry) report(now time.Time, id ID, seen Evidence) {
	e, known := r.entries[id]
	if !known {
		return
	}
	switch seen {
	case Answered:
		e.answered(now)
	case SaidLeaving:
		e.answered(now)
		e.saidLeaving, e.saidAt = true, now
		e.nextProbe = now.Add(r.timing.LeavingProbe)
	case RefusedConnection, Lost:
		e.failed(now, r.timing)
		e.nextProbe = now
	}
	r.touch(e)
}

// probed takes in what a probe that began at started saw. Only a probe lifts
// leaving: answers to calls may have begun before the upstream said so.
func (r *registry) probed(now, started time.Time, id ID, seen Evidence) {
	e, known := r.entries[id]
	if !known {
		return
	}
	e.probing = false
	if seen == Answered && started.Sub(e.saidAt) >= r.timing.LeavingProbe {
		e.saidLeaving = false
	}
	r.report(now, id, seen)
	if seen == RefusedConnection || seen == Lost {
		r.probeFailed(now, e)
		return
	}
	e.nextProbe = now.Add(r.timing.IdleProbe)
	if e.saidLeaving || e.listedLeaving {
		e.nextProbe = now.Add(r.timing.LeavingProbe)
	}
}

func (r *registry) probeFailed(now time.Time, e *entry) {
	if !e.listed {
		e.unlistedAt = now.Add(-r.timing.UnlistedGrace)
	}
	e.backoff = min(max(2*e.backoff, r.timing.ProbeBackoffMin), r.timing.ProbeBackoffMax)
	e.nextProbe = now.Add(e.backoff)
}

// heard takes in a claim of another host.
func (r *registry) heard(now time.Time, from host.ID, id ID, kind claimKind) {
	e, known := r.entries[id]
	if !known {
		return
	}
	if kind == claimNothing {
		delete(e.claims, from)
		return
	}
	e.claims[from] = claim{kind: kind, at: now}
	if kind == claimDown && !e.down {
		e.nextProbe = now
	}
	r.touch(e)
}

// settle recomputes the states that can have changed, forgets what is gone,
// and says whether anything changed.
func (r *registry) settle(now time.Time) bool {
	changed := false
	for _, e := range r.active {
		if !e.listed && now.Sub(e.unlistedAt) >= r.timing.UnlistedGrace {
			r.forget(e)
			changed = true
			continue
		}
		e.dropOldClaims(now, r.timing.ClaimTTL)
		changed = r.settleOne(now, e) || changed
		r.touch(e)
	}
	return changed
}

// settleOne recomputes one state and says whether it changed.
func (r *registry) settleOne(now time.Time, e *entry) bool {
	state := e.decide(now, r.timing)
	if state == e.State {
		return false
	}
	e.State = state
	return true
}

// dueProbes returns the upstreams to probe now and marks them as being probed.
func (r *registry) dueProbes(now time.Time) []Upstream {
	var due []Upstream
	take := func(e *entry) {
		if !e.probing && !now.Before(e.nextProbe) && r.wantsProbe(now, e) {
			e.probing = true
			due = append(due, e.Upstream)
		}
	}
	for _, e := range r.active {
		take(e)
	}
	for _, e := range r.duties {
		take(e)
	}
	slices.SortFunc(due, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

func (r *registry) wantsProbe(now time.Time, e *entry) bool {
	switch {
	case e.failures > 0, e.saidLeaving, !e.listed && e.tracked:
		return true
	case e.tracked && e.claimants(now, claimDown, r.timing.ClaimTTL) > 0 && now.Sub(e.lastAnswer) >= r.timing.RecentAnswer/2:
		return true
	}
	_, onDuty := r.duties[e.ID]
	return onDuty && now.Sub(e.lastAnswer) >= r.timing.IdleProbe
}

// telling is one claim to publish.
type telling struct {
	id   ID
	kind claimKind
}

// news returns the claims to publish now. A claim that enough others make is
// not repeated, so that a dead upstream costs the fleet few datagrams.
func (r *registry) news(now time.Time) []telling {
	var out []telling
	for id, e := range r.active {
		own := e.ownClaim()
		fresh := now.Sub(e.toldAt) < r.timing.ClaimRefresh
		enough := own != claimNothing && e.claimants(now, own, r.timing.ClaimTTL) >= claimsEnough
		settled := own == e.told && (fresh || own == claimNothing)
		if settled || enough {
			continue
		}
		e.told, e.toldAt = own, now
		out = append(out, telling{id: id, kind: own})
	}
	slices.SortFunc(out, func(a, b telling) int { return cmp.Compare(a.id, b.id) })
	return out
}
