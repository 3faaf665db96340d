package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxPrefixes bounds the prefixes that a host remembers for one pool.
const maxPrefixes = 8192

// pool is what a host knows of one pool of upstreams.
type pool struct {
	name  string
	terms document.Pool
	hosts int
	// order holds the live upstreams by ID; byID also finds them.
	order []*server
	byID  map[upstream.ID]*server
	// observed is the slice that order was made from.
	observed []upstream.Upstream
	queue    *queue
	limit    *limit
	inFlight int
	// inFlightOf counts the running calls of each class.
	inFlightOf map[string]int
	// committed is the expected work of admitted requests that is still
	// ahead, in time on an upstream.
	committed  work
	meanOthers float64
	// backlog is the upstreams' queues in shares of their slots.
	backlog float64
	// medianRatio is the median of the upstreams' slowness.
	medianRatio float64
	// faded is when the evidence was last aged.
	faded      time.Time
	roundRobin int
	prompts    popularity
	prefixes   *lru.Cache[uint64, *popularity]
	demand     *demand
}

func newPool(name string) *pool {
	prefixes, err := lru.New[uint64, *popularity](maxPrefixes)
	if err != nil {
		panic(err) // only a size under one fails
	}
	return &pool{
		name:       name,
		terms:      (&terms{}).pool(name),
		hosts:      1,
		byID:       make(map[upstream.ID]*server),
		queue:      newQueue(),
		limit:      &limit{},
		backlog:    unknownBacklog,
		inFlightOf: make(map[string]int),
		committed:  newWork(),
		prefixes:   prefixes,
		demand:     newDemand(),
	}
}

// replace takes in the live upstreams and keeps what is known of old ones.
func (p *pool) replace(now time.Time, live []upstream.Upstream) {
	if sameSlice(p.observed, live) {
		return
	}
	p.observed = live
	byID := make(map[upstream.ID]*server, len(live))
	p.order = p.order[:0]
	for _, u := range live {
		s := p.byID[u.ID]
		if s == nil {
			s = newServer(u)
			s.record(now)
		}
		s.Upstream = u
		byID[u.ID] = s
		p.order = append(p.order, s)
	}
	p.byID = byID
}

func sameSlice(a, b []upstream.Upstream) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// slots is how many calls the pool runs at once without delay.
func (p *pool) slots() int { return p.terms.Concurrency * len(p.order) }

// overdraftShare and overdraftSlots are what classes over the lowest may use
// beyond the host's limit where engines honour priorities: there they wait in
// the engine's queue, ahead of the lower ones.
const (
	overdraftShare = 1.0
	overdraftSlots = 1
)

// overdrafts reports whether calls of the priority may wait in the upstreams'
// own queues.
func (p *pool) overdrafts(priority int, settings Settings) bool {
	honours := settings.Priorities && p.terms.Kind == document.KindGenerate
	return honours && priority > p.demand.lowest()
}

// room is how many calls this host may keep on the pool for a class.
func (p *pool) room(priority int, settings Settings) float64 {
	limit := float64(p.limit.value())
	if p.overdrafts(priority, settings) {
		return limit*(1+overdraftShare) + overdraftSlots
	}
	return limit
}

// mayTake reports whether a class may take a slot.
func (p *pool) mayTake(c *classQueue, settings Settings) bool {
	return float64(p.inFlight) < p.room(c.priority, settings)
}

func (p *pool) tick(now time.Time, settings Settings) {
	p.limit.resize(p.slots(), p.hosts)
	if settings.AdaptiveLimits {
		p.limit.adapt(now, p.backlog, p.queue.size > 0)
	}
	p.demand.tick(now)
	if settings.Outliers {
		p.judge(now)
	}
}

func (p *pool) begin(call *Call) {
	p.inFlight++
	p.inFlightOf[call.Request.Class.Name]++
	p.demand.serve(call.Request.Class.Priority, call.cost)
}

func (p *pool) end(call *Call) {
	p.inFlight--
	p.inFlightOf[call.Request.Class.Name]--
}
