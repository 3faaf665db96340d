package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/dispatch"
)

// Cell is one measurement of a grid.
type Cell struct {
	Deployment string
	// Load is the arrival rate as a share of capacity.
	Load    float64
	Fault   Fault
	Variant Variant
	Seed    uint64
	Warmup  time.Duration
	Measure time.Duration
}

// cellRun is the state of a running cell.
type cellRun struct {
	*Cell
	deployment *Deployment
	upstreams  *upstreamSet
	hosts      []*dispatch.Runtime
	requests   []plannedRequest
	// hostCtx holds the context of each host. It ends when the host dies.
	hostCtx  []context.Context
	killHost []context.CancelFunc
	// tailStarted reports that requests which arrive after the measured ones have
	// started.
	tailStarted bool

	// tallyMu guards tally.
	tallyMu sync.Mutex
	tally   *tally
}

// Run measures one cell. It returns after the cell's last request has ended.
func (c *Cell) Run(ctx context.Context, d *Deployment) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	run := &cellRun{Cell: c, deployment: d, upstreams: newUpstreamSet(d, c.Fault), requests: drawRequests(c, d), tally: newTally()}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if err := run.startHosts(ctx, &group); err != nil {
		return nil, err
	}
	group.Go(func() { run.upstreams.run(ctx) })
	group.Go(func() { run.injectFault(ctx) })
	group.Go(func() { run.killHosts(ctx) })
	run.replayRequests(ctx, cancel)
	return run.result(), nil
}

func (c *cellRun) startHosts(ctx context.Context, group *sync.WaitGroup) error {
	d := c.deployment
	gossip := newGossipNet()
	for i := range d.Hosts {
		rt, err := dispatch.New(dispatch.Config{
			Upstreams: c.upstreams,
			Settings:  c.Variant.Settings,
			Place:     d.hostPlace(i),
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

// killHosts kills the hosts that die under the cell's fault.
func (c *cellRun) killHosts(ctx context.Context) {
	if !sleep(ctx, c.Warmup) {
		return
	}
	for i := range c.hosts {
		if c.isHostDead(i, c.Warmup) {
			c.killHost[i]()
		}
	}
}

// replayRequests starts every request at its planned time, whether or not earlier
// ones have ended (open loop). When all measured requests have ended it stops and
// waits for the others.
func (c *cellRun) replayRequests(ctx context.Context, stop func()) {
	began := time.Now()
	var measured, unmeasured sync.WaitGroup
	defer unmeasured.Wait()
	defer stop()
	measuredDone := make(chan struct{})
	for i := range c.requests {
		p := &c.requests[i]
		if !c.waitOrDone(ctx, measuredDone, p.at-time.Since(began)) {
			return
		}
		if c.isMeasured(p) {
			measured.Go(func() { c.runRequest(p) })
			continue
		}
		if p.at >= c.Warmup+c.Measure && !c.tailStarted {
			c.tailStarted = true
			go func() {
				measured.Wait()
				close(measuredDone)
			}()
		}
		unmeasured.Go(func() { c.runRequest(p) })
	}
	<-measuredDone
}

func (c *cellRun) isMeasured(p *plannedRequest) bool {
	return p.at >= c.Warmup && p.at < c.Warmup+c.Measure
}

// waitOrDone waits for d. It returns false if ctx or done ended first.
func (c *cellRun) waitOrDone(ctx context.Context, done <-chan struct{}, d time.Duration) bool {
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

func (c *cellRun) runRequest(p *plannedRequest) {
	host := c.route(p)
	r := result{outcome: missed}
	if host >= 0 {
		r = c.serve(c.hostCtx[host], host, p)
	}
	c.tallyMu.Lock()
	defer c.tallyMu.Unlock()
	c.tally.addUsefulWork(c, p, r)
	if c.isMeasured(p) {
		c.tally.addRequest(c, p, r)
	}
}

// route returns the host to which the balancer sends a request. It returns -1 if
// the host is dead and the balancer has not noticed yet.
func (c *cellRun) route(p *plannedRequest) int {
	if !c.isHostDead(p.host, p.at) {
		return p.host
	}
	if p.at < c.Warmup+balancerNoticesAfter {
		return -1
	}
	for i := 1; i < len(c.hosts); i++ {
		if next := (p.host + i*5) % len(c.hosts); !c.isHostDead(next, p.at) {
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
