package experiment

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// Fault is what goes wrong in a cell, from the end of the warm-up on.
type Fault string

// The faults.
const (
	FaultNone            Fault = "healthy"
	FaultSlowEncoder     Fault = "slow encoder"
	FaultSlowRetriever   Fault = "slow retriever"
	FaultSlowReranker    Fault = "slow reranker"
	FaultSlowEngine      Fault = "slow engine"
	FaultHalfEngines     Fault = "half the engines lost"
	FaultBurst           Fault = "burst"
	FaultLag             Fault = "lagging loads"
	FaultFlush           Fault = "cache flush"
	FaultDataCentre      Fault = "data centre lost"
	FaultHostsDie        Fault = "hosts die"
	FaultHeavy           Fault = "heavy workspace"
	FaultGrey            Fault = "engines fail lookups"
	FaultSmaller         Fault = "engines smaller than declared"
	FaultLarger          Fault = "engines larger than declared"
	slowFactor                 = 10
	burstStart                 = 2 * time.Second
	burstLength                = 2 * time.Second
	longLag                    = 2 * time.Second
	flushEvery                 = time.Second
	deadHosts                  = 3
	greyEngines                = 2
	smallerSlots               = 5
	largerSlots                = 12
	balancerNoticesAfter       = 500 * time.Millisecond
)

// Faults lists them all, none first.
func Faults() []Fault {
	return []Fault{
		FaultNone, FaultSlowEncoder, FaultSlowRetriever, FaultSlowReranker, FaultSlowEngine,
		FaultHalfEngines, FaultBurst, FaultLag, FaultFlush, FaultDataCentre, FaultHostsDie, FaultHeavy,
		FaultGrey, FaultSmaller, FaultLarger,
	}
}

// Straggler reports whether the fault is one slow upstream.
func (f Fault) Straggler() bool {
	switch f {
	case FaultSlowEncoder, FaultSlowRetriever, FaultSlowReranker, FaultSlowEngine:
		return true
	}
	return false
}

// engineSlots is how many calls an engine really runs at once, where that
// differs from what the document declares; zero where it doesn't.
func (f Fault) engineSlots() int {
	switch f {
	case FaultSmaller:
		return smallerSlots
	case FaultLarger:
		return largerSlots
	}
	return 0
}

// inject makes the fault happen. Bursts, dead hosts and heavy workspaces are
// in the arrivals, and wrong sizes in the engines from the start.
func (c *cellRun) inject(ctx context.Context) {
	if !sleep(ctx, c.Warmup) {
		return
	}
	f := c.fleet
	switch c.Fault {
	case FaultSlowEncoder:
		f.slow(PoolEncoders)
	case FaultSlowRetriever:
		f.slow(PoolRetrievers)
	case FaultSlowReranker:
		f.slow(PoolRerankers)
	case FaultSlowEngine:
		f.slow(PoolEngines)
	case FaultHalfEngines:
		f.kill(ctx, func(u upstream.Upstream) bool { return u.Pool == PoolEngines && lastByte(u)%2 == 0 })
	case FaultDataCentre:
		f.kill(ctx, func(u upstream.Upstream) bool { return u.Place.DataCentre == c.deployment.Places[0].DataCentre })
	case FaultGrey:
		f.failLookups()
	case FaultLag:
		f.setLag(longLag)
	case FaultFlush:
		for sleep(ctx, flushEvery) {
			f.flushCaches()
		}
	}
}

func lastByte(u upstream.Upstream) byte {
	octets := u.Addr.Addr().As4()
	return octets[3]
}

// hostDead reports whether a host is gone at a moment of the cell.
func (c *cellRun) hostDead(host int, at time.Duration) bool {
	if at < c.Warmup {
		return false
	}
	switch c.Fault {
	case FaultHostsDie:
		return host < deadHosts
	case FaultDataCentre:
		return host%len(c.deployment.Places) == 0
	}
	return false
}
