package experiment

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// loadReportInterval is the interval at which upstreams report their load.
	loadReportInterval = 100 * time.Millisecond
	// normalReportLag is the delay until hosts see a load report.
	normalReportLag = 300 * time.Millisecond
	// maxReportsKept limits the reports that are kept for each upstream.
	maxReportsKept = 40
	// deathNoticeDelay is how long a dead upstream stays listed.
	deathNoticeDelay = 500 * time.Millisecond
)

// upstreamSet holds all upstreams of a cell. It is the upstream.View that all hosts
// of the cell share.
type upstreamSet struct {
	mu      sync.RWMutex
	servers map[upstream.ID]*server
	pools   map[string][]upstream.Upstream
	reports map[upstream.ID][]upstream.Load
	lag     time.Duration
	// engineSlots is the real concurrency of engines if it differs from the
	// declared one; otherwise zero.
	engineSlots int
}

var _ upstream.View = (*upstreamSet)(nil)

func newUpstreamSet(d *Deployment, fault Fault) *upstreamSet {
	set := &upstreamSet{
		servers: make(map[upstream.ID]*server),
		pools:   make(map[string][]upstream.Upstream),
		reports: make(map[upstream.ID][]upstream.Load),
		lag:     normalReportLag,

		engineSlots: fault.engineSlots(),
	}
	for poolIndex, size := range d.Pools {
		for i := range size.Upstreams {
			set.addUpstream(d, size.Pool, poolIndex, i)
		}
	}
	return set
}

func (set *upstreamSet) addUpstream(d *Deployment, pool string, poolIndex, index int) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(poolIndex), 0, byte(index)}), 80)
	u := upstream.Upstream{
		ID: upstream.ID(addr.String()), Addr: addr, Pool: pool,
		Place: d.Places[index%len(d.Places)],
	}
	slots := d.concurrency(pool)
	if actual := set.engineSlots; actual > 0 && pool == PoolEngines {
		slots = actual
	}
	set.servers[u.ID] = newServer(u, slots)
	set.pools[pool] = append(set.pools[pool], u)
	slices.SortFunc(set.pools[pool], func(a, b upstream.Upstream) int { return a.Addr.Compare(b.Addr) })
}

// Pool returns the upstreams of a pool that are listed as live.
func (set *upstreamSet) Pool(name string) []upstream.Upstream {
	set.mu.RLock()
	defer set.mu.RUnlock()
	return set.pools[name]
}

// Lookup returns one upstream.
func (set *upstreamSet) Lookup(id upstream.ID) (upstream.Upstream, bool) {
	s, ok := set.servers[id]
	if !ok {
		return upstream.Upstream{}, false
	}
	return s.Upstream, true
}

// LoadOf returns the newest report that is older than the lag.
func (set *upstreamSet) LoadOf(id upstream.ID) (upstream.Load, bool) {
	set.mu.RLock()
	defer set.mu.RUnlock()
	newestArrived := time.Now().Add(-set.lag).UnixNano()
	reports := set.reports[id]
	for i := len(reports) - 1; i >= 0; i-- {
		if reports[i].AtUnixNano <= newestArrived {
			return reports[i], true
		}
	}
	return upstream.Load{}, false
}

// Report ignores evidence from hosts: kill unlists dead upstreams by itself.
func (set *upstreamSet) Report(upstream.ID, upstream.Evidence) {}

// run publishes load reports until ctx ends.
func (set *upstreamSet) run(ctx context.Context) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			set.publish(time.Now())
		}
	}
}

func (set *upstreamSet) publish(now time.Time) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for id, s := range set.servers {
		running, waiting := s.load()
		load := upstream.Load{InFlight: running, Queued: waiting, AtUnixNano: now.UnixNano()}
		reports := append(set.reports[id], load)
		if len(reports) > maxReportsKept {
			reports = append([]upstream.Load(nil), reports[len(reports)-maxReportsKept/2:]...)
		}
		set.reports[id] = reports
	}
}

func (set *upstreamSet) setLag(lag time.Duration) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.lag = lag
}

// kill kills the selected upstreams and unlists them after deathNoticeDelay.
func (set *upstreamSet) kill(ctx context.Context, selected func(upstream.Upstream) bool) {
	for _, s := range set.servers {
		if selected(s.Upstream) {
			s.kill()
		}
	}
	if !sleep(ctx, deathNoticeDelay) {
		return
	}
	set.mu.Lock()
	defer set.mu.Unlock()
	for pool, live := range set.pools {
		set.pools[pool] = slices.DeleteFunc(slices.Clone(live), selected)
	}
}

// slowOneDown slows one upstream of a pool down by slowFactor.
func (set *upstreamSet) slowOneDown(pool string) {
	set.servers[set.Pool(pool)[0].ID].slowdownPermille.Store(1000 * slowFactor)
}

// failLookupsOnEngines makes some engines fail lookups while they serve the other
// classes: a grey failure.
func (set *upstreamSet) failLookupsOnEngines() {
	for _, u := range set.Pool(PoolEngines)[:greyEngines] {
		set.servers[u.ID].failingLookups.Store(true)
	}
}

func (set *upstreamSet) flushCaches() {
	for _, s := range set.servers {
		s.cache.Purge()
	}
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
