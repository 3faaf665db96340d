package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// timeSpread is the sigma of the log-normal times of engine calls.
	timeSpread = 0.35
	// smallSpread is that of the other stages.
	smallSpread = 0.2
	// prefixesEach is how many prompt prefixes a workspace uses.
	prefixesEach = 12
	// heavyShare is the part of the arrivals from a heavy workspace.
	heavyShare = 0.7
	// burstFactor is the load during a burst, in shares of capacity.
	burstFactor = 2.0
	// tailLength is how long arrivals go on after the measured ones, so that
	// these end under the same load.
	tailLength = 12 * time.Second
)

// plan is one request as drawn from the seed, the same for every policy.
type plan struct {
	number    int
	at        time.Duration
	flow      *Flow
	workspace string
	host      int
	prefix    uint64
	services  []time.Duration
}

// draw makes the arrivals of a cell.
func draw(c *Cell, d *Deployment) []plan {
	r := rand.New(rand.NewPCG(c.Seed, 1))
	weights := hostWeights(r, d.Hosts)
	var plans []plan
	var at time.Duration
	for {
		rate := c.rateAt(at, d)
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= c.Warmup+c.Measure+tailLength {
			return plans
		}
		plans = append(plans, drawOne(r, c, d, weights, at, len(plans)))
	}
}

// rateAt is the arrivals a second at a moment of the cell.
func (c *Cell) rateAt(at time.Duration, d *Deployment) float64 {
	load := c.Load
	start := c.Warmup + burstStart
	if c.Fault == FaultBurst && at >= start && at < start+burstLength {
		load = max(load, burstFactor)
	}
	return load * d.Capacity()
}

// hostWeights makes the balancer uneven: the busiest host gets up to three
// times the load of the idlest.
func hostWeights(r *rand.Rand, hosts int) []float64 {
	weights := make([]float64, hosts)
	for i := range weights {
		weights[i] = 0.5 + r.Float64()
	}
	return weights
}

func pick(r *rand.Rand, weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		x -= w
		if x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func drawOne(r *rand.Rand, c *Cell, d *Deployment, weights []float64, at time.Duration, number int) plan {
	shares := make([]float64, len(d.Flows))
	for i := range d.Flows {
		shares[i] = d.Flows[i].Share
	}
	p := plan{number: number, at: at, flow: &d.Flows[pick(r, shares)], host: pick(r, weights)}
	p.workspace = drawWorkspace(r, c, d)
	// Squaring makes the first prefixes of a workspace the most used.
	x := r.Float64()
	p.prefix = uint64(x*x*prefixesEach) + 1
	for _, name := range p.flow.Stages {
		spread := smallSpread
		if d.stage(name).Pool == PoolEngines {
			spread = timeSpread
		}
		factor := math.Exp(spread*r.NormFloat64() - spread*spread/2)
		p.services = append(p.services, time.Duration(factor*float64(d.Times[name])))
	}
	return p
}

func drawWorkspace(r *rand.Rand, c *Cell, d *Deployment) string {
	x := r.Float64()
	n := r.IntN(len(d.Workspaces))
	if c.Fault == FaultHeavy && x < heavyShare {
		return d.Workspaces[0]
	}
	return d.Workspaces[n]
}
