package staging

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/workload"
)

// pacedServers are stage servers whose pace jumps every 600 ms between 1 and 2.5, and which
// report it with their results.
type pacedServers struct {
	spec  *routing.StageServer
	table *workload.Table // nil: nobody reads the reports
	begun time.Time
	mu    sync.Mutex
	calls int
	busy  time.Duration
}

func (p *pacedServers) pace(id instance.ID) float64 {
	interval := uint64(time.Since(p.begun) / (600 * time.Millisecond))
	random := rand.New(rand.NewPCG(interval, uint64(len(id))<<8+uint64(id[len(id)-1])))
	return math.Pow(2.5, random.Float64())
}

func (p *pacedServers) RunPieces(_ context.Context, server instance.Entry, pieces []call.Piece) ([]call.PieceResult, instance.Outcome, bool, error) {
	begun := time.Now()
	const step = 10 * time.Millisecond
	for work := callTime(p.spec, len(pieces)).Seconds(); work > 0; {
		time.Sleep(step)
		work -= step.Seconds() / p.pace(server.ID)
	}
	p.mu.Lock()
	p.calls++
	p.busy += time.Since(begun)
	results := make([]call.PieceResult, len(pieces))
	for i := range results {
		results[i].Handle = fmt.Sprint(server.ID, "/", p.calls, "-", i)
	}
	p.mu.Unlock()
	p.table.Report(server, call.Load{Slots: 1, Pace: p.pace(server.ID)}, time.Now())
	return results, instance.Answered, false, nil
}

func (*pacedServers) Probe(context.Context, instance.Entry) error { return nil }

func (p *pacedServers) FreeMemory(context.Context, instance.Entry) (int64, error) {
	return p.spec.ResultMemory, nil
}

func (*pacedServers) FreeResults(context.Context, []string) error { return nil }

// runPaced sends groups of 1 to 15 pieces, at random times, to 15 servers with 24 pieces a
// call, and returns the durations in order.
func runPaced(t *testing.T, table *workload.Table, perSecond int) (took []time.Duration, servers *pacedServers) {
	p := &pacedServers{table: table, begun: time.Now(), spec: &routing.StageServer{
		Concurrency: 1, BatchSize: 24, CallTime: 150 * time.Millisecond, PieceTime: 5400 * time.Microsecond, ResultMemory: 1 << 40, ResultTTL: time.Second,
	}}
	instances := instance.NewTable(nil)
	for i := range 15 {
		instances.Put(instance.Entry{ID: instance.ID(fmt.Sprint("s", i)), Service: "pieces", Revision: 1})
	}
	g := NewGatherer(GathererConfig{
		Servers: instances, Caller: p, Logger: slog.New(slog.DiscardHandler), Workload: table,
		Service: func(string) (*routing.Service, bool) { return &routing.Service{Name: "pieces", Stages: p.spec}, true },
		Retries: retry.New(retry.Bounds{Ratio: 0.2, Slack: 104, Window: 10 * time.Second}, func() int { return 1 }, time.Now()),
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = g.Run(ctx) }()
	random := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	var mu sync.Mutex
	const seconds = 30
	for i := range seconds * perSecond {
		at, pieces := time.Duration(random.Float64()*seconds*float64(time.Second)), 1+random.IntN(15)
		all.Go(func() {
			time.Sleep(at)
			begun := time.Now()
			results := g.Gather(ctx, Group{Service: "pieces", RequestID: fmt.Sprint(i), Pieces: pieces, RemainingToTarget: 700 * time.Millisecond, Remaining: 10 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			if failure(results) == call.PieceDone {
				took = append(took, time.Since(begun))
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	return took, p
}

func TestTrial(t *testing.T) {
	for _, rate := range []int{30, 70, 90, 100, 110} {
		for _, known := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				var table *workload.Table
				if known {
					table = workload.NewTable(nil)
				}
				took, p := runPaced(t, table, rate)
				sum := time.Duration(0)
				for _, d := range took {
					sum += d
				}
				in := slices.IndexFunc(took, func(d time.Duration) bool { return d > 700*time.Millisecond })
				if in < 0 { in = len(took) }
				t.Log(rate, known, "n", len(took), "mean", sum/time.Duration(len(took)), "p50", took[len(took)/2], "p90", took[len(took)*9/10], "p99", took[len(took)*99/100], "calls", p.calls, "busy", p.busy, "in", in)
				require.NotEmpty(t, took)
			})
		}
	}
}
