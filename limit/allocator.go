package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/zeebo/xxh3"
)

// Times of an allocator.
const (
	// demandSettleTime is how long published demand may take to reach the other
	// hosts.
	demandSettleTime = 600 * time.Millisecond
	// deadHostHold is how long the share of a dead host stays reserved: the
	// host may still be running on the other side of a network partition.
	deadHostHold = 15 * time.Second
	// meterIdleTimeout is how long an unused meter is kept.
	meterIdleTimeout = time.Minute
)

// scope identifies what a limit applies to: a workspace, or one class of it if
// class is set.
type scope struct {
	workspace string
	class     string
}

// id returns the hash that identifies the scope in facts.
func (s scope) id() uint32 { return uint32(xxh3.HashString(s.workspace + "\x00" + s.class)) }

// meter is the state of one limit on this host.
type meter struct {
	scope    scope
	id       uint32
	requests bucket
	tokens   bucket
	usedAt   time.Time
}

// demand is a host's demand on one limit, per second.
type demand struct {
	requests float64
	tokens   float64
}

// claim is a host's demand on one limit in the form that is published.
type claim struct {
	id     uint32
	demand demand
}

// publication holds the claims of one publication until the other hosts are
// assumed to know them.
type publication struct {
	at     time.Time
	claims map[uint32]demand
}

// remoteHost holds the claims of another host.
type remoteHost struct {
	chunks    map[string][]claim
	deadSince time.Time // zero while the host is not dead
}

// allocator divides the limits between hosts by demand and decides on every
// take. It does no I/O and takes the time as input. Callers must serialise its
// use.
type allocator struct {
	limits            map[scope]document.Limit
	meters            map[scope]*meter
	remoteHosts       map[host.ID]*remoteHost
	remoteDemand      map[uint32]demand // sum over the other hosts
	remoteDemandStale bool              // remoteDemand must be summed again
	hosts             int               // number that share the limits, including this one
	pending           []publication
	tickedAt          time.Time
}

func newAllocator() *allocator {
	return &allocator{
		limits:       make(map[scope]document.Limit),
		meters:       make(map[scope]*meter),
		remoteHosts:  make(map[host.ID]*remoteHost),
		remoteDemand: make(map[uint32]demand),
		hosts:        1,
	}
}

// configure replaces the limits by those of a document and keeps the state of
// meters that still have one.
func (a *allocator) configure(limits []document.Limit) {
	clear(a.limits)
	for _, l := range limits {
		a.limits[scope{workspace: l.Workspace, class: l.Class}] = l
	}
	for s, m := range a.meters {
		l, limited := a.limits[s]
		if !limited {
			delete(a.meters, s)
			continue
		}
		m.requests.setLimit(l.RequestsPerSecond, a.hosts)
		m.tokens.setLimit(l.TokensPerSecond, a.hosts)
	}
}

// meterOf returns the meter of a scope, creating it if needed, or nil if the
// scope has no limit.
func (a *allocator) meterOf(now time.Time, s scope) *meter {
	if m, known := a.meters[s]; known {
		return m
	}
	l, limited := a.limits[s]
	if !limited {
		return nil
	}
	m := &meter{scope: s, id: s.id(), usedAt: now}
	m.requests.setLimit(l.RequestsPerSecond, a.hosts)
	m.tokens.setLimit(l.TokensPerSecond, a.hosts)
	a.refreshRemoteDemand()
	a.updateShares(m)
	a.meters[s] = m
	return m
}

// take takes the amounts from every limit that applies, or from none. If it
// takes none, it returns how long to wait.
func (a *allocator) take(now time.Time, workspace, class string, requests, tokens float64) (bool, time.Duration) {
	wait := time.Duration(0)
	var applied [2]*meter
	for i, s := range [2]scope{{workspace: workspace}, {workspace: workspace, class: class}} {
		m := a.meterOf(now, s)
		if m == nil || s.class == "" && i > 0 {
			continue
		}
		applied[i] = m
		m.usedAt = now
		m.requests.refill(now)
		m.tokens.refill(now)
		m.requests.recordOffer(requests)
		m.tokens.recordOffer(tokens)
		wait = max(wait, m.requests.wait(requests), m.tokens.wait(tokens))
	}
	if wait > 0 {
		return false, wait
	}
	for _, m := range applied {
		if m != nil {
			m.requests.take(requests)
			m.tokens.take(tokens)
		}
	}
	return true, 0
}

// refund returns amounts that a request took and did not use.
func (a *allocator) refund(workspace, class string, requests, tokens float64) {
	for i, s := range [2]scope{{workspace: workspace}, {workspace: workspace, class: class}} {
		m, known := a.meters[s]
		if !known || s.class == "" && i > 0 {
			continue
		}
		m.requests.refund(requests)
		m.tokens.refund(tokens)
	}
}

// tick updates the measured demand and this host's shares.
func (a *allocator) tick(now time.Time) {
	elapsed := now.Sub(a.tickedAt)
	if a.tickedAt.IsZero() {
		elapsed = 0
	}
	a.tickedAt = now
	a.removeDead(now)
	a.settlePending(now)
	a.refreshRemoteDemand()
	for s, m := range a.meters {
		m.requests.refill(now)
		m.tokens.refill(now)
		m.requests.updateDemand(elapsed)
		m.tokens.updateDemand(elapsed)
		a.updateShares(m)
		if now.Sub(m.usedAt) > meterIdleTimeout {
			delete(a.meters, s)
		}
	}
}

func (a *allocator) updateShares(m *meter) {
	total := a.remoteDemand[m.id]
	m.requests.updateShare(total.requests, a.hosts)
	m.tokens.updateShare(total.tokens, a.hosts)
}

// settlePending applies publications that the other hosts are assumed to know
// by now, so that all hosts compute shares from the same demand.
func (a *allocator) settlePending(now time.Time) {
	for len(a.pending) > 0 && now.Sub(a.pending[0].at) >= demandSettleTime {
		claims := a.pending[0].claims
		for _, m := range a.meters {
			d := claims[m.id]
			m.requests.settledDemand, m.tokens.settledDemand = d.requests, d.tokens
		}
		a.pending = a.pending[1:]
	}
}

// claims returns this host's claims, those with the largest part of their
// limits first, and records them as published now.
func (a *allocator) claims(now time.Time, maxCount int) []claim {
	var meters []*meter
	for _, m := range a.meters {
		if m.weight() >= minPublishedWeight {
			meters = append(meters, m)
		}
	}
	slices.SortFunc(meters, func(a, b *meter) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.id, b.id))
	})
	meters = meters[:min(len(meters), maxCount)]
	out := make([]claim, 0, len(meters))
	sent := publication{at: now, claims: make(map[uint32]demand, len(meters))}
	for _, m := range meters {
		c := claim{id: m.id, demand: demand{requests: m.requests.claimDemand(), tokens: m.tokens.claimDemand()}}
		out = append(out, c)
		sent.claims[m.id] = c.demand
	}
	a.pending = append(a.pending, sent)
	return out
}

// hasUrgentChange reports whether a demand changed so much that it should be
// published early.
func (a *allocator) hasUrgentChange() bool {
	for _, m := range a.meters {
		if m.requests.changedBy(urgentChange) || m.tokens.changedBy(urgentChange) {
			return true
		}
	}
	return false
}

// minPublishedWeight is the part of a limit below which a demand is not
// published.
const minPublishedWeight = 0.002

// weight returns the demand as a part of the limit, for requests or tokens,
// whichever is larger.
func (m *meter) weight() float64 {
	weight := 0.0
	for _, b := range [2]*bucket{&m.requests, &m.tokens} {
		if b.limit > 0 {
			weight = max(weight, b.demand/b.limit)
		}
	}
	return weight
}

// recordClaims stores the claims in one fact of another host.
func (a *allocator) recordClaims(from host.ID, chunk string, claims []claim) {
	remote, known := a.remoteHosts[from]
	if !known {
		remote = &remoteHost{chunks: make(map[string][]claim)}
		a.remoteHosts[from] = remote
	}
	remote.chunks[chunk] = claims
	a.remoteDemandStale = true
}

// setMembers sets which other hosts are alive. Dead hosts whose claims are
// still held count as sharing the limits.
func (a *allocator) setMembers(now time.Time, alive map[host.ID]bool) {
	dead := 0
	for id, remote := range a.remoteHosts {
		switch {
		case alive[id]:
			remote.deadSince = time.Time{}
		case remote.deadSince.IsZero():
			remote.deadSince = now
		}
		if !alive[id] {
			dead++
		}
	}
	a.hosts = len(alive) + dead + 1
}

// removeDead drops the claims of hosts that have been dead for deadHostHold.
func (a *allocator) removeDead(now time.Time) {
	for id, remote := range a.remoteHosts {
		if !remote.deadSince.IsZero() && now.Sub(remote.deadSince) >= deadHostHold {
			delete(a.remoteHosts, id)
			a.remoteDemandStale = true
		}
	}
}

// refreshRemoteDemand sums the claims of the other hosts if they have changed.
func (a *allocator) refreshRemoteDemand() {
	if !a.remoteDemandStale {
		return
	}
	a.remoteDemandStale = false
	clear(a.remoteDemand)
	for _, remote := range a.remoteHosts {
		for _, claims := range remote.chunks {
			for _, c := range claims {
				sum := a.remoteDemand[c.id]
				sum.requests += c.demand.requests
				sum.tokens += c.demand.tokens
				a.remoteDemand[c.id] = sum
			}
		}
	}
}
