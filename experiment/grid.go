package experiment

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// Grid describes the cells to measure: every combination of deployment, fault, load
// and variant.
type Grid struct {
	Deployments []Deployment
	Loads       []float64
	Faults      []Fault
	Variants    []Variant
	// AblationLoads are the loads at which the ablations run.
	AblationLoads []float64
	Ablations     []Variant
	Seed          uint64
	Warmup        time.Duration
	Measure       time.Duration
	// Parallel is the number of cells that run concurrently.
	Parallel int
}

// DefaultGrid returns the grid whose results are published in docs/results.
func DefaultGrid() Grid {
	return Grid{
		Deployments:   Deployments(),
		Loads:         []float64{0.5, 0.8, 1.0, 1.5, 2.0},
		Faults:        Faults(),
		Variants:      append([]Variant{FullPolicy()}, Baselines()...),
		AblationLoads: []float64{0.8, 1.5},
		Ablations:     Ablations(),
		Seed:          1,
		Warmup:        5 * time.Second,
		Measure:       10 * time.Second,
		Parallel:      64,
	}
}

// Cells lists the grid's cells. Cells that differ only in the variant get the same
// seed and therefore the same arrivals.
func (g *Grid) Cells() []*Cell {
	var cells []*Cell
	add := func(d int, load float64, f Fault, v Variant) {
		cells = append(cells, &Cell{
			Deployment: g.Deployments[d].Name, Load: load, Fault: f, Variant: v,
			Seed: g.Seed + uint64(d)*1000 + uint64(load*100), Warmup: g.Warmup, Measure: g.Measure,
		})
	}
	for d := range g.Deployments {
		for _, f := range g.Faults {
			for _, load := range g.Loads {
				for _, v := range g.Variants {
					add(d, load, f, v)
				}
			}
			for _, load := range g.AblationLoads {
				for _, v := range g.Ablations {
					add(d, load, f, v)
				}
			}
		}
	}
	return cells
}

// Run measures every cell in real time. It calls done with each result, one call at
// a time.
func (g *Grid) Run(ctx context.Context, done func(*Result)) ([]*Result, error) {
	cells := g.Cells()
	results := make([]*Result, len(cells))
	finished := make(chan *Result)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(g.Parallel)
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for r := range finished {
			done(r)
		}
	}()
	for i, cell := range cells {
		group.Go(func() error {
			r, err := cell.Run(ctx, g.deployment(cell.Deployment))
			if err != nil {
				return err
			}
			results[i] = r
			finished <- r
			return nil
		})
	}
	err := group.Wait()
	close(finished)
	<-reported
	return results, err
}

func (g *Grid) deployment(name string) *Deployment {
	for i := range g.Deployments {
		if g.Deployments[i].Name == name {
			return &g.Deployments[i]
		}
	}
	return nil
}
