package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/zeebo/xxh3"
)

// Times of the book.
const (
	// settleTime is how long a published demand may take to reach the others.
	settleTime = 600 * time.Millisecond
	// holdDead is how long the share of a host that counts as dead is left
	// alone: it may live on the other side of a partition.
	holdDead = 15 * time.Second
	// idleTime is how long a meter without use is kept.
	idleTime = time.Minute
)

// scope names what a limit is on: a workspace, and a class of it unless empty.
type scope struct {
	workspace string
	class     string
}

// id is the scope's short name in facts.
func (s scope) id() uint32 { return uint32(xxh3.HashString(s.workspace + "\x00" + s.class)) }

// meter is the state of one limit on this host.
type meter struct {
	scope    scope
	id       uint32
	requests dimension
	tokens   dimension
	usedAt   time.Time
}

// demand is what one host asks of one limit, a second.
type demand struct {
	requests float64
	tokens   float64
}

// claim is a demand as it was published.
type claim struct {
	id     uint32
	demand demand
}

// published is the last claims that went out, until they are settled.
type published struct {
	at     time.Time
	claims map[uint32]demand
}

// others is what another host claims.
type others struct {
	chunks map[string][]claim
	goneAt time.Time // when it was found dead; zero while it lives
}

// book decides on every take. It does no I/O and takes the time as input;
// callers serialise its use.
type book struct {
	limits  map[scope]document.Limit
	meters  map[scope]*meter
	known   map[host.ID]*others
	totals  map[uint32]demand // of the other hosts
	stale   bool              // totals miss a change
	hosts   int               // that share the limits, this one included
	pending []published
	ticked  time.Time
}

func newBook() *book {
	return &book{
		limits: make(map[scope]document.Limit),
		meters: make(map[scope]*meter),
		known:  make(map[host.ID]*others),
		totals: make(map[uint32]demand),
		hosts:  1,
	}
}

// configure takes over the limits of a document.
func (b *book) configure(limits []document.Limit) {
	clear(b.limits)
	for _, l := range limits {
		b.limits[scope{workspace: l.Workspace, class: l.Class}] = l
	}
	for s, m := range b.meters {
		l, limited := b.limits[s]
		if !limited {
			delete(b.meters, s)
			continue
		}
		m.requests.setLimit(l.RequestsPerSecond, b.hosts)
		m.tokens.setLimit(l.TokensPerSecond, b.hosts)
	}
}

// meterOf returns the meter of a scope, or nil when it has no limit.
func (b *book) meterOf(now time.Time, s scope) *meter {
	if m, known := b.meters[s]; known {
		return m
	}
	l, limited := b.limits[s]
	if !limited {
		return nil
	}
	m := &meter{scope: s, id: s.id(), usedAt: now}
	m.requests.setLimit(l.RequestsPerSecond, b.hosts)
	m.tokens.setLimit(l.TokensPerSecond, b.hosts)
	b.refreshTotals()
	b.reshare(m)
	b.meters[s] = m
	return m
}

// take uses up an amount of every limit that applies, or of none.
func (b *book) take(now time.Time, workspace, class string, requests, tokens float64) (bool, time.Duration) {
	wait := time.Duration(0)
	var applied [2]*meter
	for i, s := range [2]scope{{workspace: workspace}, {workspace: workspace, class: class}} {
		m := b.meterOf(now, s)
		if m == nil || s.class == "" && i > 0 {
			continue
		}
		applied[i] = m
		m.usedAt = now
		m.requests.fill(now)
		m.tokens.fill(now)
		m.requests.offer(requests)
		m.tokens.offer(tokens)
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

// refund gives back what a request did not use.
func (b *book) refund(workspace, class string, requests, tokens float64) {
	for i, s := range [2]scope{{workspace: workspace}, {workspace: workspace, class: class}} {
		m, known := b.meters[s]
		if !known || s.class == "" && i > 0 {
			continue
		}
		m.requests.refund(requests)
		m.tokens.refund(tokens)
	}
}

// tick measures the demand and works out the shares.
func (b *book) tick(now time.Time) {
	elapsed := now.Sub(b.ticked)
	if b.ticked.IsZero() {
		elapsed = 0
	}
	b.ticked = now
	b.dropDead(now)
	b.settle(now)
	b.refreshTotals()
	for s, m := range b.meters {
		m.requests.fill(now)
		m.tokens.fill(now)
		m.requests.measure(elapsed)
		m.tokens.measure(elapsed)
		b.reshare(m)
		if now.Sub(m.usedAt) > idleTime {
			delete(b.meters, s)
		}
	}
}

func (b *book) reshare(m *meter) {
	total := b.totals[m.id]
	m.requests.reshare(total.requests, b.hosts)
	m.tokens.reshare(total.tokens, b.hosts)
}

// settle lets the own shares follow what the others know by now.
func (b *book) settle(now time.Time) {
	for len(b.pending) > 0 && now.Sub(b.pending[0].at) >= settleTime {
		claims := b.pending[0].claims
		for _, m := range b.meters {
			d := claims[m.id]
			m.requests.settled, m.tokens.settled = d.requests, d.tokens
		}
		b.pending = b.pending[1:]
	}
}

// claims returns what this host asks for, the largest parts of a limit first,
// and remembers that it is being published.
func (b *book) claims(now time.Time, most int) []claim {
	var meters []*meter
	for _, m := range b.meters {
		if m.weight() >= leastWeight {
			meters = append(meters, m)
		}
	}
	slices.SortFunc(meters, func(a, b *meter) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.id, b.id))
	})
	meters = meters[:min(len(meters), most)]
	out := make([]claim, 0, len(meters))
	said := published{at: now, claims: make(map[uint32]demand, len(meters))}
	for _, m := range meters {
		c := claim{id: m.id, demand: demand{requests: m.requests.claim(), tokens: m.tokens.claim()}}
		out = append(out, c)
		said.claims[m.id] = c.demand
	}
	b.pending = append(b.pending, said)
	return out
}

// urgent says whether a demand changed so much that the others should know.
func (b *book) urgent() bool {
	for _, m := range b.meters {
		if m.requests.changed(urgentChange) || m.tokens.changed(urgentChange) {
			return true
		}
	}
	return false
}

// leastWeight is the part of a limit below which a demand is not told.
const leastWeight = 0.002

// weight is the larger part of its limits that a host asks for.
func (m *meter) weight() float64 {
	weight := 0.0
	for _, d := range [2]*dimension{&m.requests, &m.tokens} {
		if d.limit > 0 {
			weight = max(weight, d.demand/d.limit)
		}
	}
	return weight
}

// hear takes in one part of another host's claims.
func (b *book) hear(from host.ID, chunk string, claims []claim) {
	o, known := b.known[from]
	if !known {
		o = &others{chunks: make(map[string][]claim)}
		b.known[from] = o
	}
	o.chunks[chunk] = claims
	b.stale = true
}

// setMembers says which other hosts are not dead.
func (b *book) setMembers(now time.Time, alive map[host.ID]bool) {
	held := 0
	for id, o := range b.known {
		switch {
		case alive[id]:
			o.goneAt = time.Time{}
		case o.goneAt.IsZero():
			o.goneAt = now
		}
		if !alive[id] {
			held++
		}
	}
	b.hosts = len(alive) + held + 1
}

// dropDead frees the shares of hosts that have been dead for long enough.
func (b *book) dropDead(now time.Time) {
	for id, o := range b.known {
		if !o.goneAt.IsZero() && now.Sub(o.goneAt) >= holdDead {
			delete(b.known, id)
			b.stale = true
		}
	}
}

// refreshTotals adds up what the other hosts claim.
func (b *book) refreshTotals() {
	if !b.stale {
		return
	}
	b.stale = false
	clear(b.totals)
	for _, o := range b.known {
		for _, claims := range o.chunks {
			for _, c := range claims {
				sum := b.totals[c.id]
				sum.requests += c.demand.requests
				sum.tokens += c.demand.tokens
				b.totals[c.id] = sum
			}
		}
	}
}
