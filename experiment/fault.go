package experiment

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// Fault is what fails in a cell after the warm-up.
type Fault string

// The faults, and their parameters.
const (
	FaultNone            Fault = "healthy"
	FaultSlowEncoder     Fault = "slow encoder"
	FaultSlowRetriever   Fault = "slow retriever"
	FaultSlowReranker    Fault = "slow reranker"
	FaultSlowEngine      Fault = "slow engine"
	FaultHalfEnginesLost Fault = "half the engines lost"
	FaultBurst           Fault = "burst"
	FaultReportLag       Fault = "lagging loads"
	FaultCacheFlush      Fault = "cache flush"
	FaultDataCentreLost  Fault = "data centre lost"
	FaultHostsDie        Fault = "hosts die"
	FaultHeavyWorkspace  Fault = "heavy workspace"
	FaultGrey            Fault = "engines fail lookups"
	FaultSmallerEngines  Fault = "engines smaller than declared"
	FaultLargerEngines   Fault = "engines larger than declared"
	slowFactor                 = 10
	burstStart                 = 2 * time.Second
	burstLength                = 2 * time.Second
	faultReportLag             = 2 * time.Second
	flushInterval              = time.Second
	deadHosts                  = 3
	greyEngines                = 2
	smallerSlots               = 5
	largerSlots                = 12
	balancerNoticesAfter       = 500 * time.Millisecond
)

// Faults returns all faults, FaultNone first.
func Faults() []Fault {
	return []Fault{
		FaultNone, FaultSlowEncoder, FaultSlowRetriever, FaultSlowReranker, FaultSlowEngine,
		FaultHalfEnginesLost, FaultBurst, FaultReportLag, FaultCacheFlush, FaultDataCentreLost, FaultHostsDie, FaultHeavyWorkspace,
		FaultGrey, FaultSmallerEngines, FaultLargerEngines,
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

// engineSlots returns how many calls an engine really runs at once if that differs
// from the concurrency that the document declares; otherwise zero.
func (f Fault) engineSlots() int {
	switch f {
	case FaultSmallerEngines:
		return smallerSlots
	case FaultLargerEngines:
		return largerSlots
	}
	return 0
}

// injectFault injects the cell's fault after the warm-up. Bursts and heavy
// workspaces are part of the arrivals, killHosts kills hosts, and engines get their
// real sizes when they are created.
func (c *cellRun) injectFault(ctx context.Context) {
	if !sleep(ctx, c.Warmup) {
		return
	}
	set := c.upstreams
	switch c.Fault {
	case FaultSlowEncoder:
		set.slowOneDown(PoolEncoders)
	case FaultSlowRetriever:
		set.slowOneDown(PoolRetrievers)
	case FaultSlowReranker:
		set.slowOneDown(PoolRerankers)
	case FaultSlowEngine:
		set.slowOneDown(PoolEngines)
	case FaultHalfEnginesLost:
		set.kill(ctx, func(u upstream.Upstream) bool { return u.Pool == PoolEngines && lastAddrByte(u)%2 == 0 })
	case FaultDataCentreLost:
		set.kill(ctx, func(u upstream.Upstream) bool { return u.Place.DataCentre == c.deployment.Places[0].DataCentre })
	case FaultGrey:
		set.failLookupsOnEngines()
	case FaultReportLag:
		set.setLag(faultReportLag)
	case FaultCacheFlush:
		for sleep(ctx, flushInterval) {
			set.flushCaches()
		}
	}
}

func lastAddrByte(u upstream.Upstream) byte {
	octets := u.Addr.Addr().As4()
	return octets[3]
}

// isHostDead reports whether a host is dead at a time of the cell.
func (c *cellRun) isHostDead(host int, at time.Duration) bool {
	if at < c.Warmup {
		return false
	}
	switch c.Fault {
	case FaultHostsDie:
		return host < deadHosts
	case FaultDataCentreLost:
		return host%len(c.deployment.Places) == 0
	}
	return false
}
