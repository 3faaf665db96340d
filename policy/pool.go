package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxPrefixes bounds the prompt prefixes remembered per pool.
const maxPrefixes = 8192

// pool is the state of one pool of upstreams on this host.
type pool struct {
	name  string
	spec  document.Pool
	hosts int
	// upstreams holds the live upstreams sorted by ID; byID indexes them.
	upstreams []*upstreamState
	byID      map[upstream.ID]*upstreamState
	// observed is the slice that upstreams was built from.
	observed []upstream.Upstream
	queue    *queue
	limit    *concurrencyLimit
	inFlight int
	// inFlightByClass counts the running calls of each class.
	inFlightByClass map[string]int
	// committed is the expected upstream time of admitted requests whose calls
	// have not started.
	committed        committedWork
	meanLoadOfOthers float64
	// backlog is the length of the upstreams' queues per slot.
	backlog float64
	// medianSlowness is the median of the upstreams' meanSlowness.
	medianSlowness float64
	// evidenceDecayedAt is when the evidence last decayed.
	evidenceDecayedAt time.Time
	roundRobin        int
	// prompts counts the pool's prompts, prefixes those with each prefix.
	prompts  decayingCount
	prefixes *lru.Cache[uint64, *decayingCount]
	demand   *demand
}

func newPool(name string) *pool {
	prefixes, err := lru.New[uint64, *decayingCount](maxPrefixes)
	if err != nil {
		panic(err) // fails only for sizes below 1
	}
	return &pool{
		name:            name,
		spec:            (&documentIndex{}).pool(name),
		hosts:           1,
		byID:            make(map[upstream.ID]*upstreamState),
		queue:           newQueue(),
		limit:           &concurrencyLimit{},
		backlog:         unknownBacklog,
		inFlightByClass: make(map[string]int),
		committed:       newCommittedWork(),
		prefixes:        prefixes,
		demand:          newDemand(),
	}
}

// setUpstreams sets the live upstreams and keeps the state of those that were
// live before.
func (p *pool) setUpstreams(now time.Time, live []upstream.Upstream) {
	if sameSlice(p.observed, live) {
		return
	}
	p.observed = live
	byID := make(map[upstream.ID]*upstreamState, len(live))
	p.upstreams = p.upstreams[:0]
	for _, u := range live {
		s := p.byID[u.ID]
		if s == nil {
			s = newUpstreamState(u)
			s.recordInFlight(now)
		}
		s.Upstream = u
		byID[u.ID] = s
		p.upstreams = append(p.upstreams, s)
	}
	p.byID = byID
}

func sameSlice(a, b []upstream.Upstream) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// slots returns how many calls the pool runs at once without queueing.
func (p *pool) slots() int { return p.spec.Concurrency * len(p.upstreams) }

// overLimitShare and overLimitSlots are what all classes above the lowest may
// use beyond the host's limit where engines honour priorities. Their calls then
// wait in the engine's queue, ahead of those of lower classes.
const (
	overLimitShare = 1.0
	overLimitSlots = 1
)

// mayExceedLimit reports whether calls of the priority may wait in the
// upstreams' own queues.
func (p *pool) mayExceedLimit(priority int, settings Settings) bool {
	honours := settings.Priorities && p.spec.Kind == document.KindGenerate
	return honours && priority > p.demand.lowestPriority()
}

// slotLimit returns how many calls this host may run on the pool before it
// starts no more of the priority.
func (p *pool) slotLimit(priority int, settings Settings) float64 {
	limit := float64(p.limit.value())
	if p.mayExceedLimit(priority, settings) {
		return limit*(1+overLimitShare) + overLimitSlots
	}
	return limit
}

// hasRoom reports whether the limit lets a call of the class start.
func (p *pool) hasRoom(c *classQueue, settings Settings) bool {
	return float64(p.inFlight) < p.slotLimit(c.priority, settings)
}

func (p *pool) update(now time.Time, settings Settings) {
	p.limit.resize(p.slots(), p.hosts)
	if settings.AdaptiveLimits {
		p.limit.adapt(now, p.backlog, p.queue.size > 0)
	}
	p.demand.update(now)
	if settings.Outliers {
		p.detectOutliers(now)
	}
}

func (p *pool) begin(call *Call) {
	p.inFlight++
	p.inFlightByClass[call.Request.Class.Name]++
	p.demand.addStarted(call.Request.Class.Priority, call.expectedTime)
}

func (p *pool) end(call *Call) {
	p.inFlight--
	p.inFlightByClass[call.Request.Class.Name]--
}
