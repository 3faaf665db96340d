package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// engineTimeSigma is the sigma of the log-normal service times on engines.
	engineTimeSigma = 0.35
	// stageTimeSigma is the sigma for all other stages.
	stageTimeSigma = 0.2
	// prefixesPerWorkspace is the number of prompt prefixes that a workspace uses.
	prefixesPerWorkspace = 12
	// heavyWorkspaceShare is the share of the arrivals that come from the heavy
	// workspace under FaultHeavyWorkspace.
	heavyWorkspaceShare = 0.7
	// burstLoad is the load during a burst, as a share of capacity.
	burstLoad = 2.0
	// tailLength is how long requests keep arriving after the measured ones, so
	// that the measured ones end under the same load.
	tailLength = 12 * time.Second
)

// plannedRequest is a request drawn from the seed. Every variant gets the same
// requests.
type plannedRequest struct {
	id           int
	at           time.Duration
	flow         *Flow
	workspace    string
	host         int
	prefix       uint64
	serviceTimes []time.Duration
}

// drawRequests draws all requests of a cell.
func drawRequests(c *Cell, d *Deployment) []plannedRequest {
	r := rand.New(rand.NewPCG(c.Seed, 1))
	weights := hostWeights(r, d.Hosts)
	var requests []plannedRequest
	var at time.Duration
	for {
		rate := c.rateAt(at, d)
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= c.Warmup+c.Measure+tailLength {
			return requests
		}
		requests = append(requests, drawRequest(r, c, d, weights, at, len(requests)))
	}
}

// rateAt returns the arrival rate per second at a time of the cell.
func (c *Cell) rateAt(at time.Duration, d *Deployment) float64 {
	load := c.Load
	start := c.Warmup + burstStart
	if c.Fault == FaultBurst && at >= start && at < start+burstLength {
		load = max(load, burstLoad)
	}
	return load * d.Capacity()
}

// hostWeights returns weights that make the balancer uneven: the busiest host gets
// up to three times the load of the least busy one.
func hostWeights(r *rand.Rand, hosts int) []float64 {
	weights := make([]float64, hosts)
	for i := range weights {
		weights[i] = 0.5 + r.Float64()
	}
	return weights
}

func pickWeighted(r *rand.Rand, weights []float64) int {
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

func drawRequest(r *rand.Rand, c *Cell, d *Deployment, weights []float64, at time.Duration, id int) plannedRequest {
	shares := make([]float64, len(d.Flows))
	for i := range d.Flows {
		shares[i] = d.Flows[i].Share
	}
	p := plannedRequest{id: id, at: at, flow: &d.Flows[pickWeighted(r, shares)], host: pickWeighted(r, weights)}
	p.workspace = drawWorkspace(r, c, d)
	// Squaring makes the lower-numbered prefixes of a workspace the most frequent.
	x := r.Float64()
	p.prefix = uint64(x*x*prefixesPerWorkspace) + 1
	for _, name := range p.flow.Stages {
		sigma := stageTimeSigma
		if d.stage(name).Pool == PoolEngines {
			sigma = engineTimeSigma
		}
		factor := math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
		p.serviceTimes = append(p.serviceTimes, time.Duration(factor*float64(d.Times[name])))
	}
	return p
}

func drawWorkspace(r *rand.Rand, c *Cell, d *Deployment) string {
	x := r.Float64()
	n := r.IntN(len(d.Workspaces))
	if c.Fault == FaultHeavyWorkspace && x < heavyWorkspaceShare {
		return d.Workspaces[0]
	}
	return d.Workspaces[n]
}
