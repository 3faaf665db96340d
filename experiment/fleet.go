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
	// reportEvery is how often upstreams publish their load.
	reportEvery = 100 * time.Millisecond
	// usualLag is how old a report is when it arrives.
	usualLag = 300 * time.Millisecond
	// reportsKept bounds the reports that are on their way.
	reportsKept = 40
	// deathNoticed is how long a dead upstream stays in the list.
	deathNoticed = 500 * time.Millisecond
)

// fleet is every upstream of a cell, and the View of them that hosts share.
type fleet struct {
	mu      sync.RWMutex
	servers map[upstream.ID]*server
	pools   map[string][]upstream.Upstream
	reports map[upstream.ID][]upstream.Load
	lag     time.Duration
	// engineSlots is the real size of engines that the document declares
	// wrongly; zero when it is right.
	engineSlots int
}

var _ upstream.View = (*fleet)(nil)

func newFleet(d *Deployment, fault Fault) *fleet {
	f := &fleet{
		servers: make(map[upstream.ID]*server),
		pools:   make(map[string][]upstream.Upstream),
		reports: make(map[upstream.ID][]upstream.Load),
		lag:     usualLag,

		engineSlots: fault.engineSlots(),
	}
	for number, size := range d.Pools {
		for i := range size.Upstreams {
			f.add(d, size.Pool, number, i)
		}
	}
	return f
}

func (f *fleet) add(d *Deployment, pool string, number, i int) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number), 0, byte(i)}), 80)
	u := upstream.Upstream{
		ID: upstream.ID(addr.String()), Addr: addr, Pool: pool,
		Place: d.Places[i%len(d.Places)],
	}
	slots := d.concurrency(pool)
	if real := f.engineSlots; real > 0 && pool == PoolEngines {
		slots = real
	}
	f.servers[u.ID] = newServer(u, slots)
	f.pools[pool] = append(f.pools[pool], u)
	slices.SortFunc(f.pools[pool], func(a, b upstream.Upstream) int { return a.Addr.Compare(b.Addr) })
}

// Pool returns the upstreams that are listed as live.
func (f *fleet) Pool(name string) []upstream.Upstream {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[name]
}

// Lookup returns one upstream.
func (f *fleet) Lookup(id upstream.ID) (upstream.Upstream, bool) {
	s, ok := f.servers[id]
	if !ok {
		return upstream.Upstream{}, false
	}
	return s.Upstream, true
}

// LoadOf returns the newest report that has arrived.
func (f *fleet) LoadOf(id upstream.ID) (upstream.Load, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	arrived := time.Now().Add(-f.lag).UnixNano()
	reports := f.reports[id]
	for i := len(reports) - 1; i >= 0; i-- {
		if reports[i].AtUnixNano <= arrived {
			return reports[i], true
		}
	}
	return upstream.Load{}, false
}

// Report does nothing: the fleet lists deaths by itself.
func (f *fleet) Report(upstream.ID, upstream.Evidence) {}

// run publishes load reports until ctx ends.
func (f *fleet) run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.publish(time.Now())
		}
	}
}

func (f *fleet) publish(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.servers {
		running, waiting := s.load()
		load := upstream.Load{InFlight: running, Queued: waiting, AtUnixNano: now.UnixNano()}
		reports := append(f.reports[id], load)
		if len(reports) > reportsKept {
			reports = append([]upstream.Load(nil), reports[len(reports)-reportsKept/2:]...)
		}
		f.reports[id] = reports
	}
}

func (f *fleet) setLag(lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = lag
}

// kill ends the upstreams that dies picks, and unlists them a little later.
func (f *fleet) kill(ctx context.Context, dies func(upstream.Upstream) bool) {
	for _, s := range f.servers {
		if dies(s.Upstream) {
			s.kill()
		}
	}
	if !sleep(ctx, deathNoticed) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for pool, live := range f.pools {
		f.pools[pool] = slices.DeleteFunc(slices.Clone(live), dies)
	}
}

// slow makes one upstream of a pool a straggler.
func (f *fleet) slow(pool string) {
	f.servers[f.Pool(pool)[0].ID].slow.Store(1000 * slowFactor)
}

// failLookups makes two engines fail the calls of one class, while they serve
// the others: a grey failure.
func (f *fleet) failLookups() {
	for _, u := range f.Pool(PoolEngines)[:greyEngines] {
		f.servers[u.ID].failing.Store(true)
	}
}

func (f *fleet) flushCaches() {
	for _, s := range f.servers {
		s.cache.Purge()
	}
}

// sleep waits, and returns false when ctx ended first.
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
