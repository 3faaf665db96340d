package staging

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/routing"
)

// A burst of twice the capacity for 20 s. New groups can be in time and go first, so that
// those that have become late are not served before their callers leave. Guards against
// groups that are held for seconds and then refused, while their results of earlier stages
// take memory.
func TestGroupsThatStarveBehindNewOnesAreRefusedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{bytes: 8e3, spec: &routing.StageServer{
			Concurrency: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 36e6, ResultTTL: 4 * time.Second,
		}}
		g := newTestGatherer(t, 4, f)
		const (
			capacity = 4 * 8 * 1000 / 278 // pieces per second
			target   = 700 * time.Millisecond
		)
		var group sync.WaitGroup
		var mu sync.Mutex
		var held time.Duration
		refused, inTime, all := 0, 0, 20*capacity
		for i := range all {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / capacity)
				begun := time.Now()
				results := g.Gather(context.Background(), Group{
					Service: "pieces", RequestID: fmt.Sprint(i), Pieces: 2, RemainingToTarget: target, Remaining: 5 * target, ResultBytes: 8e3,
				})
				took := time.Since(begun)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case failure(results) != call.PieceDone:
					refused++
					held += took
				case took <= target:
					inTime++
				}
			})
		}
		group.Wait()
		t.Logf("%d of %d in time, %d refused after %s on average", inTime, all, refused, held/time.Duration(refused))
		require.GreaterOrEqual(t, inTime, all*35/100, "the servers can do half of the load")
		require.Less(t, held/time.Duration(refused), target+target/2)
	})
}
