package staging

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
)

// slowServers returns servers whose calls take 166 ms for a piece, and the first one longer
// by a silence. The timeout of such a call is 1064 ms.
func slowServers(silence time.Duration) *fakeServers {
	return &fakeServers{
		bytes: 8e3, silence: silence,
		spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second,
		},
	}
}

// gatherOne runs a group of one piece that has 6 s.
func gatherOne(t *testing.T, g *Gatherer) (result call.PieceFailure, took time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	started := time.Now()
	results := g.Gather(ctx, Group{Service: "pieces", RequestID: "r", Pieces: 1, RemainingToTarget: time.Second, Remaining: 6 * time.Second, ResultBytes: 8e3})
	return failure(results), time.Since(started)
}

var noRetries = retry.Bounds{Window: 10 * time.Second}

// A request was refused when a stage server was silent for longer than a call's timeout
// and the retry budget was empty, though the results were on their way.
func TestSilentServerIsWaitedForWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := slowServers(3 * time.Second)
		g := newTestGatherer(t, 2, f)
		g.config.Retries.SetBounds(noRetries)
		result, took := gatherOne(t, g)
		require.Equal(t, call.PieceDone, result)
		require.Equal(t, 3166*time.Millisecond, took)
		require.Equal(t, 1, f.calls)
	})
}

func TestSilentServerIsReplacedWithinRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := slowServers(3 * time.Second)
		result, took := gatherOne(t, newTestGatherer(t, 2, f))
		require.Equal(t, call.PieceDone, result)
		require.Equal(t, (1064+166)*time.Millisecond, took)
		require.Equal(t, 2, f.calls)
		require.Equal(t, 1, f.ended)
	})
}

// The retry of a call that was ended is counted once.
func TestReplacementCostsOneRetryPerPiece(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := slowServers(3 * time.Second)
		g := newTestGatherer(t, 2, f)
		g.config.Retries.SetBounds(retry.Bounds{Slack: 2, Window: 10 * time.Second})
		result, _ := gatherOne(t, g)
		require.Equal(t, call.PieceDone, result)
		require.Equal(t, 2, f.calls)
		require.False(t, g.config.Retries.AllowRetries("pieces", 1, 1, time.Now()))
	})
}

// A request must not wait for the results of a server that accepts no connections.
func TestUnreachableServerIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := slowServers(time.Minute)
		f.unreachable = true
		g := newTestGatherer(t, 1, f)
		g.config.Retries.SetBounds(noRetries)
		result, took := gatherOne(t, g)
		require.Equal(t, call.PieceError, result)
		require.Equal(t, 1064*time.Millisecond, took)
	})
}

// Guards against results that are thrown away, and a request that is refused, since the server that
// works on them has closed its listener: it is leaving.
func TestLeavingServerIsWaitedForThoughItAcceptsNoConnection(t *testing.T) {
	for _, removed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := slowServers(3 * time.Second)
			f.unreachable = true
			g := newTestGatherer(t, 1, f)
			g.config.Retries.SetBounds(noRetries)
			time.AfterFunc(time.Second, func() {
				g.config.Servers.Put(instance.Entry{ID: "s0", Service: "pieces", Revision: 2, Leaving: true})
				if removed {
					g.config.Servers.Remove("s0", infra.Position{Revision: 3})
				}
			})
			result, took := gatherOne(t, g)
			require.Equal(t, call.PieceDone, result)
			require.Equal(t, 3166*time.Millisecond, took)
		})
	}
}

// A call to a server that hangs ends after the requests that it was for, or else the
// server's slot stays taken.
func TestCallEndsAfterItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := slowServers(time.Hour)
		g := newTestGatherer(t, 1, f)
		g.config.Retries.SetBounds(noRetries)
		result, took := gatherOne(t, g)
		require.Equal(t, call.PieceDeadlineExceeded, result)
		require.Equal(t, 6*time.Second, took)
		time.Sleep(slowCallInterval)
		synctest.Wait()
		require.Equal(t, 1, f.ended)
		require.Empty(t, g.services["pieces"].running)
	})
}

// A server did the work of a call and its answer was lost, without budget for a retry. Guards
// against a server that gets no other call until the deadline of the lost one's requests: nine
// of 15 servers were idle for up to 11 s while thousands of pieces were queued.
func TestServerWhoseAnswerWasLostGetsTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := slowServers(0)
		f.losesAnswer = true
		g := newTestGatherer(t, 1, f)
		g.config.Retries.SetBounds(noRetries)
		queued := make(chan time.Duration, 1)
		go func() {
			time.Sleep(100 * time.Millisecond)
			result, took := gatherOne(t, g)
			require.Equal(t, call.PieceDone, result)
			queued <- took
		}()
		result, took := gatherOne(t, g)
		require.Equal(t, call.PieceError, result)
		require.Equal(t, 1064*time.Millisecond+slowCallInterval, took)
		require.Equal(t, took-100*time.Millisecond+166*time.Millisecond, <-queued)
	})
}

// Guards against results of a lost answer whose memory is taken for free while the server holds them: a
// slow server makes them later than was expected. Here they expire at 4.83 s.
func TestResultsOfALostAnswerCountUntilTheyExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := slowServers(0)
		f.losesAnswer, f.slowdown = true, map[instance.ID]float64{"s0": 5}
		g := newTestGatherer(t, 1, f)
		g.config.Retries.SetBounds(noRetries)
		counted := func() int64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.service("pieces").memory.byServer["s0"]
		}
		_, took := gatherOne(t, g)
		time.Sleep(4800*time.Millisecond - took)
		require.EqualValues(t, 8e3, counted())
		time.Sleep(2 * time.Second)
		require.Zero(t, counted())
	})
}
