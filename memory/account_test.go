package memory

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

// Guards against requests that are ended although they make progress, or although others that
// have stalled for longer are enough.
func TestOnlyStalledHoldersAreChosen(t *testing.T) {
	holder := func(bytes int64, idle time.Duration) candidate {
		return candidate{holder: &Holder{}, bytes: bytes, idle: idle}
	}
	long, short, moving, empty := holder(10, 3*stallTime), holder(10, stallTime), holder(1000, stallTime-1), holder(0, 9*stallTime)
	all := func() []candidate { return []candidate{moving, short, empty, long} }
	require.Empty(t, chooseStalled(all(), 0))
	require.Equal(t, []candidate{long}, chooseStalled(all(), 10))
	require.Equal(t, []candidate{long, short}, chooseStalled(all(), 11))
	require.Equal(t, []candidate{long, short}, chooseStalled(all(), 5000))
	require.Equal(t, []candidate{empty, long, short}, stalled(all()))
}

// Guards against a slow but steady caller that counts as stalled, and one that sends a byte
// now and then that does not. Load: 16 KiB and 100 bytes a second.
func TestProgressIsARate(t *testing.T) {
	var steady, dripping Meter
	now := time.Unix(1000, 0)
	steady.Start(now)
	dripping.Start(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		steady.Moved(1639, now)
		dripping.Moved(10, now)
		require.Less(t, steady.idle(now), stallTime)
	}
	require.Greater(t, dripping.idle(now), stallTime)
}

// Guards against a request that is passed for ever by later ones, one that waits in vain for
// memory that became free, and memory that is counted wrongly by requests that end while they
// wait.
func TestMemoryIsGivenInTheOrderOfTheCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(100*SmallBytes, SmallBytes, slog.New(slog.DiscardHandler), nil)
		var holders [4]Holder
		for i := range holders {
			holders[i].Init(a, Body, nil)
		}
		require.NoError(t, holders[0].Grow(t.Context(), 60*SmallBytes, time.Second))
		var mu sync.Mutex
		var order []int
		var group sync.WaitGroup
		for i, bytes := range []int64{70, 30} {
			group.Go(func() {
				err := holders[i+1].Grow(t.Context(), bytes*SmallBytes, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					order = append(order, i+1)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		require.False(t, holders[3].TryGrow(2*SmallBytes, time.Now()), "others wait")
		require.True(t, holders[3].TryGrow(SmallBytes, time.Now()), "a small one does not wait")
		holders[0].Free()
		group.Wait()
		require.Equal(t, []int{1}, order[:1])
		require.Error(t, holders[0].Grow(t.Context(), 1, time.Second), "it has ended")
		for i := range holders {
			holders[i].Free()
		}
		require.Zero(t, a.Held(Body))
	})
}

// Guards against requests that each look through all holders while they wait. Load: 500 requests
// that wait at once, and 500 bodies that arrive.
func TestRequestsThatWaitShareTheSearchForStalledHolders(t *testing.T) {
	a := New(100, 0, slog.New(slog.DiscardHandler), nil)
	now := time.Now()
	holders := make([]Holder, 500)
	for i := range holders {
		holders[i].Init(a, Body, nil)
		holders[i].MayEvict(true, now)
	}
	searches := testing.AllocsPerRun(len(holders), func() { a.evictFor(1000, now) })
	require.Zero(t, searches)
}

// Guards against requests that ended by themselves and are reported as ended for want of memory.
func TestRequestsThatEndedAreNotCountedAsRefused(t *testing.T) {
	a := New(100, 0, slog.New(slog.DiscardHandler), nil)
	var holding, left, ended Holder
	holding.Init(a, Body, nil)
	require.True(t, holding.TryGrow(90, time.Now()))
	left.Init(a, Body, nil)
	ended.Init(a, Answer, nil)
	ended.Free()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, left.Grow(ctx, 50, time.Second), ErrFull)
	require.ErrorIs(t, ended.Grow(t.Context(), 10, time.Second), ErrFull)
	require.Zero(t, testutil.CollectAndCount(a.ended))
}
