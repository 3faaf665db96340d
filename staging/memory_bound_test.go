package staging

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/routing"
)

// The load is 10 servers of 11 MB and results of 60 kB that are held for 1.7 to 2.8 s: 500 pieces
// per second, and from the sixth second 1,500, two thirds of them of the least urgent class. The
// servers can run 2,300 pieces per second, but memory becomes free for about 700. Guards against
// an overload that is noticed only when 1,128 pieces are queued, and against groups that wait
// there for seconds and are then refused.
func TestServiceThatIsShortOfMemoryIsOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const target = 1600 * time.Millisecond
		g := newTestGatherer(t, 10, &fakeServers{bytes: 60e3, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 64, CallTime: 150 * time.Millisecond, PieceTime: 2 * time.Millisecond, ResultMemory: 11e6, ResultTTL: 8 * time.Second,
		}})
		var mu sync.Mutex
		var longest time.Duration // wait of a refused group
		for i, at := 0, time.Duration(0); at < 12*time.Second; i++ {
			group := Group{Service: "pieces", RequestID: fmt.Sprint(i), Pieces: 3, ResultBytes: 60e3, RemainingToTarget: target, Remaining: 4 * time.Second}
			if i%3 > 0 {
				group.Priority, group.LateTolerance = 2, target/8
			}
			time.AfterFunc(at, func() {
				queued := time.Now()
				results := g.Gather(t.Context(), group)
				if failure(results) != call.PieceDone {
					mu.Lock()
					longest = max(longest, time.Since(queued))
					mu.Unlock()
				}
				time.Sleep(1700*time.Millisecond + time.Duration(i%12)*100*time.Millisecond)
				for _, r := range results {
					g.Free([]string{r.Handle})
				}
			})
			at += 6 * time.Millisecond
			if at > 6*time.Second {
				at -= 4 * time.Millisecond
			}
		}
		queued, overloaded := 0, false
		for begun := time.Now(); time.Since(begun) < 18*time.Second; {
			time.Sleep(tickInterval)
			g.mu.Lock()
			s := g.service("pieces")
			if overloaded = overloaded || s.queue.overloaded; !overloaded {
				queued = max(queued, s.queue.totalPieces())
			}
			g.mu.Unlock()
		}
		t.Logf("%d pieces queued before the overload was noticed (%t); longest wait of a refused group %s", queued, overloaded, longest)
		require.True(t, overloaded)
		require.Less(t, queued, 1128)
		require.Less(t, longest, 2*time.Second)
	})
}

// A snapshot of that load: 97 of 101 MB are held, for 2.3 s on average, and 1,128 pieces are queued
// after a time without a queue, so that the rate is still the nominal one. Guards against a
// service that counts as able to do what it has no memory for, and against an overload while the
// queued results fit into memory.
func TestQueuedResultsMustFitIntoMemoryInTime(t *testing.T) {
	for _, held := range []int64{97e5, 3e5} { // by each server
		now := time.Unix(1000, 0)
		spec := &routing.StageServer{Concurrency: 1, BatchSize: 64, CallTime: 150 * time.Millisecond, PieceTime: 2 * time.Millisecond, ResultMemory: 11e6}
		g := newTestGatherer(t, 10, &fakeServers{spec: spec})
		g.mu.Lock()
		s := g.service("pieces")
		servers := g.config.Servers.Service("pieces", now)
		s.memory.meanHoldTime, s.pieceRate.rate = 2300*time.Millisecond, s.capacity(servers, spec)
		for _, server := range servers {
			s.memory.reserve(server.ID, held)
		}
		for i := range 1128 / 3 {
			group := Group{RequestID: fmt.Sprint(i), Pieces: 3, ResultBytes: 60e3, RemainingToTarget: 1600 * time.Millisecond, Remaining: 4 * time.Second}
			s.queue.push(newWorkItem(group, now, nil))
		}
		g.updateContention(s, servers, spec, now)
		require.Equal(t, held > 1e6, s.queue.overloaded)
		s.queue.waiting = nil
		g.mu.Unlock()
	}
}
