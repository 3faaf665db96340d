package experiment

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
)

// MainVirtual measures every cell on a virtual clock, passes the results to finish,
// and ends the program. The virtual clock is testing/synctest, which needs a
// *testing.T; so the grid runs as a test under testing.Main, which exits. Hosts and
// upstreams are the same goroutines as in Run, but time advances only when all
// goroutines of a cell wait, so that the results do not depend on how busy the
// machine is. Up to GOMAXPROCS cells run at once.
func (g *Grid) MainVirtual(done func(*Result), finish func([]*Result) error) error {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		return err
	}
	run := func(t *testing.T) {
		results := g.runVirtual(t, done)
		if err := finish(results); err != nil {
			t.Error(err)
		}
	}
	match := func(_, _ string) (bool, error) { return true, nil }
	testing.Main(match, []testing.InternalTest{{Name: "grid", F: run}}, nil, nil)
	return nil
}

func (g *Grid) runVirtual(t *testing.T, done func(*Result)) []*Result {
	cells := g.Cells()
	results := make([]*Result, len(cells))
	var doneMu sync.Mutex
	runCell := func(t *testing.T, i int) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			r, err := cells[i].Run(context.Background(), g.deployment(cells[i].Deployment))
			if err != nil {
				t.Error(err)
				return
			}
			results[i] = r
			doneMu.Lock()
			defer doneMu.Unlock()
			done(r)
		})
	}
	t.Run("cells", func(t *testing.T) {
		for i := range cells {
			t.Run(cells[i].Variant.Name, func(t *testing.T) { runCell(t, i) })
		}
	})
	return results
}
