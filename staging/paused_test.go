package staging

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

func pausableServers() *fakeServers {
	return &fakeServers{bytes: 8e3, spec: &routing.StageServer{
		Concurrency: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second,
	}}
}

func (f *fakeServers) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func pause(g *Gatherer, id instance.ID, d time.Duration) {
	g.config.Servers.Pause(instance.Process{ID: id}, time.Now().Add(d), time.Now())
}

func groupDueIn(target time.Duration) Group {
	return Group{Service: "pieces", RequestID: "r", Pieces: 2, RemainingToTarget: target, Remaining: 5 * target, ResultBytes: 8e3}
}

// While all servers are paused, a group that would be late must be refused at once
// and not be held until its deadline. One that can still be in time waits.
func TestGroupsThatMissTheirTargetInAPauseAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pausableServers()
		g := newTestGatherer(t, 2, f)
		pause(g, "s0", 2*time.Second)
		pause(g, "s1", 3*time.Second)
		require.Equal(t, 2*time.Second, g.PausedFor("pieces", time.Now()))
		begun := time.Now()
		require.Equal(t, call.PiecePaused, failure(g.Gather(t.Context(), groupDueIn(time.Second))))
		require.Zero(t, time.Since(begun))
		require.Equal(t, call.PieceDone, failure(g.Gather(t.Context(), groupDueIn(3*time.Second))))
		require.GreaterOrEqual(t, time.Since(begun), 2*time.Second)
		require.Equal(t, 1, f.callCount())
	})
}

// Groups that are queued when the last server is paused are refused as well.
func TestQueuedGroupsAreRefusedWhenAllServersPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pausableServers()
		g := newTestGatherer(t, 1, f)
		go g.Gather(t.Context(), groupDueIn(time.Second))
		time.Sleep(50 * time.Millisecond)
		go func() {
			time.Sleep(50 * time.Millisecond)
			pause(g, "s0", 10*time.Second)
		}()
		begun := time.Now()
		require.Equal(t, call.PiecePaused, failure(g.Gather(t.Context(), groupDueIn(time.Second))))
		require.LessOrEqual(t, time.Since(begun), 50*time.Millisecond+2*tickInterval)
		time.Sleep(time.Second)
		require.Equal(t, 1, f.callCount())
	})
}

// A call that frees results is a request that reaches the server, so it must wait
// for the end of the pause, and must not be made if the results expire before.
func TestResultsOnPausedServerAreFreedAfterThePause(t *testing.T) {
	for pauseTime, freed := range map[time.Duration]bool{2 * time.Second: true, 20 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			f := pausableServers()
			g := newTestGatherer(t, 1, f)
			results := g.Gather(t.Context(), groupDueIn(time.Second))
			require.Equal(t, call.PieceDone, failure(results))
			pause(g, "s0", pauseTime)
			held := func() int {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.holder)
			}
			g.Free([]string{results[0].Handle, results[1].Handle})
			time.Sleep(pauseTime - time.Millisecond)
			require.Equal(t, 2, held(), "during the pause")
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, freed, held() == 0)
		})
	}
}
