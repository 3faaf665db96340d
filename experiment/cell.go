package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/dispatch"
)

// Cell is one point of a grid.
type Cell struct {
	Deployment string
	// Load is the arrivals in shares of capacity.
	Load    float64
	Fault   Fault
	Variant Variant
	Seed    uint64
	Warmup  time.Duration
	Measure time.Duration
}

// cellRun is a cell while it runs.
type cellRun struct {
	*Cell
	deployment *Deployment
	fleet      *fleet
	hosts      []*dispatch.Runtime
	plans      []plan
	// hostCtx ends with the host.
	hostCtx  []context.Context
	killHost []context.CancelFunc
	// tail says that the arrivals after the measured ones have begun.
	tail bool

	// tallyMu guards tally.
	tallyMu sync.Mutex
	tally   *tally
}

// Run measures one cell in real time, until its last request has ended.
func (c *Cell) Run(ctx context.Context, d *Deployment) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	run := &cellRun{Cell: c, deployment: d, fleet: newFleet(d, c.Fault), plans: draw(c, d), tally: newTally()}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if err := run.startHosts(ctx, &group); err != nil {
		return nil, err
	}
	group.Go(func() { run.fleet.run(ctx) })
	group.Go(func() { run.inject(ctx) })
	group.Go(func() { run.endHosts(ctx) })
	run.arrive(ctx, cancel)
	return run.result(), nil
}

func (c *cellRun) startHosts(ctx context.Context, group *sync.WaitGroup) error {
	d := c.deployment
	gossip := newGossipNet()
	for i := range d.Hosts {
		rt, err := dispatch.New(dispatch.Config{
			Upstreams: c.fleet,
			Settings:  c.Variant.Settings,
			Place:     d.placeOf(i),
			HostCount: func() int { return c.aliveHosts() },
			Seed:      c.Seed*1000 + uint64(i),
			Gossip:    gossip.host(i),
		})
		if err != nil {
			return err
		}
		hostCtx, kill := context.WithCancel(ctx)
		c.hosts = append(c.hosts, rt)
		c.hostCtx = append(c.hostCtx, hostCtx)
		c.killHost = append(c.killHost, kill)
		group.Go(func() { _ = rt.Run(hostCtx) }) // ends only with hostCtx
	}
	return nil
}

func (c *cellRun) aliveHosts() int {
	alive := 0
	for _, ctx := range c.hostCtx {
		if ctx.Err() == nil {
			alive++
		}
	}
	return alive
}

// endHosts kills the hosts that the fault takes.
func (c *cellRun) endHosts(ctx context.Context) {
	if !sleep(ctx, c.Warmup) {
		return
	}
	for i := range c.hosts {
		if c.hostDead(i, c.Warmup) {
			c.killHost[i]()
		}
	}
}

// arrive starts every request at its time, whether or not earlier ones ended,
// until all that are measured have ended. It waits for the rest.
func (c *cellRun) arrive(ctx context.Context, stop func()) {
	began := time.Now()
	var measured, others sync.WaitGroup
	defer others.Wait()
	defer stop()
	done := make(chan struct{})
	for i := range c.plans {
		p := &c.plans[i]
		if !c.until(ctx, done, p.at-time.Since(began)) {
			return
		}
		if c.measures(p) {
			measured.Go(func() { c.one(p) })
			continue
		}
		if p.at >= c.Warmup+c.Measure && !c.tail {
			c.tail = true
			go func() {
				measured.Wait()
				close(done)
			}()
		}
		others.Go(func() { c.one(p) })
	}
	<-done
}

func (c *cellRun) measures(p *plan) bool { return p.at >= c.Warmup && p.at < c.Warmup+c.Measure }

// until waits, and returns false when ctx or done ended first.
func (c *cellRun) until(ctx context.Context, done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-done:
	}
	return false
}

func (c *cellRun) one(p *plan) {
	host := c.route(p)
	r := result{ending: missed}
	if host >= 0 {
		r = c.serve(c.hostCtx[host], host, p)
	}
	c.tallyMu.Lock()
	defer c.tallyMu.Unlock()
	c.tally.finish(c, p, r)
	if c.measures(p) {
		c.tally.add(c, p, r)
	}
}

// route returns the host that the balancer sends the request to, or -1 when it
// sends it to a dead one that it doesn't know of yet.
func (c *cellRun) route(p *plan) int {
	if !c.hostDead(p.host, p.at) {
		return p.host
	}
	if p.at < c.Warmup+balancerNoticesAfter {
		return -1
	}
	for i := 1; i < len(c.hosts); i++ {
		if next := (p.host + i*5) % len(c.hosts); !c.hostDead(next, p.at) {
			return next
		}
	}
	return -1
}

func (c *cellRun) result() *Result {
	c.tallyMu.Lock()
	defer c.tallyMu.Unlock()
	r := c.tally.result(c)
	for _, h := range c.hosts {
		r.addCosts(h.Costs())
	}
	return r
}
