package staging

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
)

// fakeServers simulates stage servers on the test's clock. The servers count
// the memory of their results and refuse pieces that do not fit.
type fakeServers struct {
	spec     *routing.StageServer
	slowdown map[instance.ID]float64
	fail     map[instance.ID]error
	// silence is how much longer the first call takes. Its server answers nothing else then.
	silence time.Duration
	// losesAnswer means that the answer of the first call never arrives.
	losesAnswer bool
	// unreachable servers accept no connections.
	unreachable bool
	// cutAt is when every running call loses its connection. The servers finish
	// the work and keep the results.
	cutAt time.Time
	// configuredAt is when the gatherer learns of the service.
	configuredAt time.Time

	mu            sync.Mutex
	working       map[instance.ID]int // running calls
	used          map[instance.ID]int64
	holder        map[string]instance.ID
	bytes         int64
	calls         int
	ended         int // calls that the gatherer has ended
	refusedPieces int
}

func (f *fakeServers) RunPieces(ctx context.Context, server instance.Entry, pieces []call.Piece) ([]call.PieceResult, instance.Outcome, bool, error) {
	if err := f.fail[server.ID]; err != nil {
		return nil, instance.Broke, false, err
	}
	f.mu.Lock()
	f.calls++
	silence, loses := time.Duration(0), f.calls == 1 && f.losesAnswer
	if f.calls == 1 {
		silence = f.silence
	}
	f.working[server.ID]++
	results := make([]call.PieceResult, len(pieces))
	for i, p := range pieces {
		if f.used[server.ID]+f.bytes > f.spec.ResultMemory {
			results[i].Failure = call.PieceNoMemory
			f.refusedPieces++
			continue
		}
		f.used[server.ID] += f.bytes
		results[i].Handle = fmt.Sprintf("%s/%d-%s-%d", server.ID, f.calls, p.RequestID, p.Index)
		f.holder[results[i].Handle] = server.ID
	}
	f.mu.Unlock()
	slow := max(f.slowdown[server.ID], 1)
	took := time.Duration(slow*float64(f.spec.CallTime+time.Duration(len(pieces))*f.spec.PieceTime)) + silence
	if left := time.Until(f.cutAt); left > 0 && left < took {
		var kept []string
		for _, r := range results {
			kept = append(kept, r.Handle)
		}
		time.AfterFunc(took+f.spec.ResultTTL, func() { _ = f.FreeResults(context.Background(), kept) })
		time.Sleep(left)
		return nil, instance.Broke, false, errors.New("connection reset by peer")
	}
	time.AfterFunc(took, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.working[server.ID]--
	})
	answer := time.After(took)
	if loses {
		answer = nil
	}
	select {
	case <-answer:
		return results, instance.Answered, false, nil
	case <-ctx.Done():
		f.mu.Lock()
		f.ended++
		f.mu.Unlock()
		return nil, instance.Broke, false, ctx.Err()
	}
}

// IsIdle answers once the silence of the first call is over.
func (f *fakeServers) IsIdle(ctx context.Context, server instance.Entry) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silence > 0 && f.calls == 1 && f.working[server.ID] > 0 {
		return false, context.DeadlineExceeded
	}
	return f.working[server.ID] == 0, ctx.Err()
}

func (f *fakeServers) Probe(context.Context, instance.Entry) error {
	if f.unreachable {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (f *fakeServers) FreeMemory(_ context.Context, server instance.Entry) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spec.ResultMemory - f.used[server.ID], nil
}

func (f *fakeServers) FreeResults(_ context.Context, handles []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range handles {
		if id, there := f.holder[h]; there {
			f.used[id] -= f.bytes
			delete(f.holder, h)
		}
	}
	return nil
}

// newTestGatherer runs a gatherer with a number of servers for one service.
func newTestGatherer(t *testing.T, servers int, f *fakeServers) *Gatherer {
	table := instance.NewTable(nil)
	for i := range servers {
		table.Put(instance.Entry{ID: instance.ID(fmt.Sprint("s", i)), Service: "pieces", Revision: 1})
	}
	f.used, f.holder, f.working = make(map[instance.ID]int64), make(map[string]instance.ID), make(map[instance.ID]int)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	g := NewGatherer(GathererConfig{
		Servers: table, Caller: f, Logger: slog.New(slog.DiscardHandler),
		Service: func(string) (*routing.Service, bool) {
			return &routing.Service{Name: "pieces", Stages: f.spec}, !time.Now().Before(f.configuredAt)
		},
		Retries: retry.New(retry.Bounds{Ratio: 0.2, Slack: 104, Window: 10 * time.Second}, func() int { return 1 }, time.Now()),
	})
	go func() { _ = g.Run(ctx) }()
	return g
}

// runLoad sends groups at a steady rate and counts those that finish by their
// target.
func runLoad(g *Gatherer, seconds int, perSecond int, pieces int, target time.Duration, hold time.Duration, bytes int64) (inTime, all int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i := range seconds * perSecond {
		all++
		group.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
			begun := time.Now()
			results := g.Gather(context.Background(), Group{
				Service: "pieces", RequestID: fmt.Sprint(i), Pieces: pieces, RemainingToTarget: target, Remaining: 5 * target, ResultBytes: bytes,
			})
			took := time.Since(begun)
			time.Sleep(hold)
			var handles []string
			for _, r := range results {
				if r.Handle != "" {
					handles = append(handles, r.Handle)
				}
			}
			g.Free(handles)
			mu.Lock()
			defer mu.Unlock()
			if took <= target && failure(results) == call.PieceDone {
				inTime++
			}
		})
	}
	group.Wait()
	return inTime, all
}

// The load of safety-sheet: 25 groups of 8 pieces per second on 5 servers with
// 22 pieces per call. With one piece per call it would need 13 times the
// servers, so the load is served in time only if calls are well filled.
func TestSteadyLoadIsServedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 60e3, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 22, CallTime: 150 * time.Millisecond, PieceTime: 5800 * time.Microsecond, ResultMemory: 38e5, ResultTTL: 4 * time.Second,
		}}
		inTime, all := runLoad(newTestGatherer(t, 5, f), 20, 25, 8, 500*time.Millisecond, 200*time.Millisecond, 60e3)
		require.GreaterOrEqual(t, inTime, all*95/100)
	})
}

// The load of contract-summary in a burst. Its results of 3 MB fill the memory
// of four servers if they are held too long or their memory is allocated twice.
func TestLargeResultsAreNotRefusedForLackOfMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 3e6, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second,
		}}
		inTime, all := runLoad(newTestGatherer(t, 4, f), 20, 14, 2, 700*time.Millisecond, 300*time.Millisecond, 3e6)
		require.GreaterOrEqual(t, inTime, all*95/100)
		require.Zero(t, f.refusedPieces, "pieces that a server had no memory for")
	})
}

// The load is twice the capacity of the servers. Groups that are served must be
// in time, and the others must be refused rather than queued until they are
// late.
func TestOverloadRefusesGroupsInsteadOfQueueing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 8e3, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second,
		}}
		const capacity = 4 * 8 * 1000 / 278 // pieces per second
		inTime, all := runLoad(newTestGatherer(t, 4, f), 20, capacity, 2, 700*time.Millisecond, 0, 8e3)
		require.GreaterOrEqual(t, inTime, all*35/100, "the servers can do half of the load")
	})
}

func TestSlowServerDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 8e3, slowdown: map[instance.ID]float64{"s0": 5}, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 22, CallTime: 150 * time.Millisecond, PieceTime: 5800 * time.Microsecond, ResultMemory: 38e5, ResultTTL: 4 * time.Second,
		}}
		inTime, all := runLoad(newTestGatherer(t, 5, f), 20, 12, 8, 700*time.Millisecond, 0, 8e3)
		require.GreaterOrEqual(t, inTime, all*85/100)
	})
}

func TestFailingServerCausesRetriesNotFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 8e3, fail: map[instance.ID]error{"s0": errors.New("reset")}, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 22, CallTime: 150 * time.Millisecond, PieceTime: 5800 * time.Microsecond, ResultMemory: 38e5, ResultTTL: 4 * time.Second,
		}}
		inTime, all := runLoad(newTestGatherer(t, 5, f), 10, 12, 8, 700*time.Millisecond, 0, 8e3)
		require.GreaterOrEqual(t, inTime, all*90/100)
	})
}

// The servers' memory is full of results that a former gatherer made. The new
// gatherer must query the free memory rather than have pieces refused.
func TestNewGathererQueriesUsedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 3e6, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second,
		}}
		g := newTestGatherer(t, 2, f)
		f.used["s0"], f.used["s1"] = 33e6, 33e6
		go func() {
			time.Sleep(time.Second)
			f.mu.Lock()
			f.used["s0"], f.used["s1"] = 0, 0
			f.mu.Unlock()
		}()
		results := g.Gather(t.Context(), Group{Service: "pieces", RequestID: "r", Pieces: 4, RemainingToTarget: time.Second, Remaining: 4 * time.Second, ResultBytes: 3e6})
		require.Equal(t, call.PieceDone, failure(results))
		require.Zero(t, f.refusedPieces)
	})
}

// The load of billing when all connections are reset. Each server has memory
// for 30 results and keeps those of the interrupted calls, which nobody can
// free because their handles were lost. The gatherer must keep counting them
// and send no pieces that do not fit.
func TestResultsOfInterruptedCallsCountUntilTheyExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 60e3, cutAt: time.Now().Add(5 * time.Second), spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 10, CallTime: 150 * time.Millisecond, PieceTime: 13 * time.Millisecond, ResultMemory: 18e5, ResultTTL: 4 * time.Second,
		}}
		runLoad(newTestGatherer(t, 5, f), 12, 36, 4, 700*time.Millisecond, 450*time.Millisecond, 60e3)
		require.Zero(t, f.refusedPieces, "pieces that a server had no memory for")
	})
}

func TestCanceledGroupFreesItsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 8e3, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second,
		}}
		g := newTestGatherer(t, 1, f)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		results := g.Gather(ctx, Group{Service: "pieces", RequestID: "r", Pieces: 3, RemainingToTarget: time.Second, Remaining: 3 * time.Second, ResultBytes: 8e3})
		require.NotEqual(t, call.PieceDone, failure(results))
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Empty(t, f.holder)
	})
}

// All hosts start at once: the owner of a service reads the configuration later than the hosts
// that send it groups. Guards against the refusal of these groups.
func TestGroupWaitsUntilItsServiceIsConfigured(t *testing.T) {
	for _, after := range []time.Duration{300 * time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			g := newTestGatherer(t, 1, &fakeServers{
				spec:         &routing.StageServer{Concurrency: 1, BatchSize: 8, CallTime: 20 * time.Millisecond, ResultMemory: 1 << 30, ResultTTL: 4 * time.Second},
				configuredAt: begun.Add(after), bytes: 100,
			})
			results := g.Gather(t.Context(), Group{Service: "pieces", RequestID: "r", Pieces: 1, Remaining: 5 * time.Second, RemainingToTarget: time.Second})
			if took := time.Since(begun); after < unknownServiceWait {
				require.Equal(t, call.PieceDone, failure(results))
			} else {
				require.Equal(t, call.PieceRefused, failure(results))
				require.Less(t, took, unknownServiceWait+200*time.Millisecond, "a service that stays unknown is refused soon")
			}
		})
	}
}
