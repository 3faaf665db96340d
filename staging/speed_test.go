package staging

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/workload"
)

// pacedServers are stage servers whose pace jumps every 600 ms between 1 and 2.5, and which
// report it with their results.
type pacedServers struct {
	*fakeServers
	table *workload.Table // nil: nobody reads the reports
	begun time.Time
}

func (p *pacedServers) pace(id instance.ID) float64 {
	interval := uint64(time.Since(p.begun) / (600 * time.Millisecond))
	random := rand.New(rand.NewPCG(interval, uint64(len(id))<<8+uint64(id[len(id)-1])))
	return math.Pow(2.5, random.Float64())
}

func (p *pacedServers) RunPieces(_ context.Context, server instance.Entry, pieces []call.Piece) ([]call.PieceResult, instance.Outcome, bool, error) {
	const step = 10 * time.Millisecond
	for work := callTime(p.spec, len(pieces)).Seconds(); work > 0; {
		time.Sleep(step)
		work -= step.Seconds() / p.pace(server.ID)
	}
	p.mu.Lock()
	p.calls++
	results := make([]call.PieceResult, len(pieces))
	for i := range results {
		results[i].Handle = fmt.Sprint(server.ID, "/", p.calls, "-", i)
	}
	p.mu.Unlock()
	p.table.Report(server, call.Load{Slots: 1, Pace: p.pace(server.ID)}, time.Now())
	return results, instance.Answered, false, nil
}

// runPaced sends groups of 1 to 15 pieces, at random times, to 15 servers with 24 pieces a
// call, and returns the durations.
func runPaced(t *testing.T, table *workload.Table, perSecond int) (took []time.Duration) {
	f := &fakeServers{spec: &routing.StageServer{
		Concurrency: 1, BatchSize: 24, CallTime: 150 * time.Millisecond, PieceTime: 5400 * time.Microsecond, ResultMemory: 1 << 40, ResultTTL: time.Second,
	}}
	g := newTestGatherer(t, 15, f)
	g.mu.Lock()
	g.config.Caller, g.config.Workload = &pacedServers{fakeServers: f, table: table, begun: time.Now()}, table
	g.mu.Unlock()
	random := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	var mu sync.Mutex
	const seconds = 30
	for i := range seconds * perSecond {
		at, pieces := time.Duration(random.Float64()*seconds*float64(time.Second)), 1+random.IntN(15)
		all.Go(func() {
			time.Sleep(at)
			begun := time.Now()
			results := g.Gather(t.Context(), Group{Service: "pieces", RequestID: fmt.Sprint(i), Pieces: pieces, RemainingToTarget: 700 * time.Millisecond, Remaining: 10 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			if failure(results) == call.PieceDone {
				took = append(took, time.Since(begun))
			}
		})
	}
	all.Wait()
	return took
}

// mean returns the mean duration of the groups of runPaced.
func mean(t *testing.T, known bool, perSecond int) (m time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		var table *workload.Table
		if known {
			table = workload.NewTable(nil)
		}
		took := runPaced(t, table, perSecond)
		for _, d := range took {
			m += d / time.Duration(len(took))
		}
		require.Len(t, took, 30*perSecond)
	})
	return m
}

// The load is 85 groups of 8 pieces a second, 0.9 of what full calls of the 15 servers do at
// their mean pace, and then 15 a second. Guards against small batches that waste the servers'
// time near their limit, and against batches that wait while servers are idle.
func TestReportedPaceShortensStages(t *testing.T) {
	require.Less(t, mean(t, true, 85), mean(t, false, 85)*98/100)
	require.Less(t, mean(t, true, 15), mean(t, false, 15)*102/100)
}

// Guards against a batch that waits for a server whose call never ends, or that runs none.
func TestNoBatchWaitsForAnOverdueServer(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := []instance.Status{{Entry: instance.Entry{ID: "soon"}}, {Entry: instance.Entry{ID: "overdue"}}, {Entry: instance.Entry{ID: "free"}}}
	s := &serviceState{
		running:   map[instance.ID]int{"soon": 1, "overdue": 1},
		busyUntil: map[instance.ID]time.Time{"soon": now.Add(time.Second), "overdue": now.Add(-time.Second), "free": now.Add(time.Second)},
	}
	require.Equal(t, []busyServer{{slowness: 1, freeIn: time.Second}}, s.busyServers(servers, now))
}

// Guards each reason to wait and not to wait: a call takes 150 ms and 5 ms a piece, and 10
// servers do 100 calls of 24 pieces in 2.7 s.
func TestBatchWaitsOnlyNearTheLimitOrForAFasterServer(t *testing.T) {
	spec := &routing.StageServer{Concurrency: 1, BatchSize: 24, CallTime: 150 * time.Millisecond, PieceTime: 5 * time.Millisecond}
	busy := batchChoice{spec: spec, pieces: 4, slack: time.Second, slowness: 1, speed: 10, arrivals: 700}
	for name, c := range map[string]struct {
		change func(*batchChoice)
		starts bool
	}{
		"near the limit":   {func(*batchChoice) {}, false},
		"beyond the limit": {func(c *batchChoice) { c.arrivals = 5000 }, false},
		"idle":             {func(c *batchChoice) { c.arrivals = 100 }, true},
		"no arrivals":      {func(c *batchChoice) { c.arrivals = 0 }, true},
		"full":             {func(c *batchChoice) { c.pieces = 24 }, true},
		"has waited":       {func(c *batchChoice) { c.oldest = maxFillWait }, true},
		"would be late":    {func(c *batchChoice) { c.slack = 10 * time.Millisecond }, true},
		"faster server soon": {func(c *batchChoice) {
			c.arrivals, c.slowness, c.busy = 100, 4, []busyServer{{1, 50 * time.Millisecond}}
		}, false},
		"faster server later": {func(c *batchChoice) {
			c.arrivals, c.slowness, c.busy = 100, 4, []busyServer{{1, 400 * time.Millisecond}}
		}, true},
		"others are as slow": {func(c *batchChoice) { c.arrivals, c.slowness, c.busy = 100, 4, []busyServer{{4, 0}} }, true},
	} {
		c.change(&busy)
		starts, wait := busy.starts()
		require.Equal(t, c.starts, starts, name)
		require.Equal(t, !c.starts, wait > 0, name)
		busy = batchChoice{spec: spec, pieces: 4, slack: time.Second, slowness: 1, speed: 10, arrivals: 700}
	}
}
