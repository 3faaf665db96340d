package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
)

// fakeClock is a clock that only advance moves.
type fakeClock struct {
	mu  sync.Mutex // guards now
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// countingStore counts reads and fails them while down is set.
type countingStore struct {
	infra.Store
	down   bool
	calls  int
	change chan infra.Entry
}

func (s *countingStore) Get(context.Context, string) (infra.Entry, error) {
	s.calls++
	if s.down {
		return infra.Entry{}, infra.ErrUnavailable
	}
	return infra.Entry{}, nil
}

func (s *countingStore) Watch(context.Context, string) (<-chan infra.Entry, error) {
	return s.change, nil
}

func newBudget(t *testing.T, c *fakeClock, seed uint64, hosts int) *Budget {
	rng := rand.New(rand.NewPCG(seed, 0))
	b, err := New(Config{Now: c.Now, Jitter: func(d time.Duration) time.Duration {
		return d/2 + time.Duration(rng.Int64N(int64(d)+1))
	}})
	require.NoError(t, err)
	b.SetHosts(hosts)
	return b
}

// expiredContext returns a context that makes a call fail at once if the budget
// does not admit it.
func expiredContext() context.Context {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now())
	defer cancel()
	return ctx
}

// TestFleetStaysWithinRateAndClaimsHavePriority checks that hosts which share the
// rate together stay within it and use at least 90 % of it, and that under
// overload nearly all admitted calls are claims.
func TestFleetStaysWithinRateAndClaimsHavePriority(t *testing.T) {
	const hosts = 12
	c := &fakeClock{now: time.Unix(1000, 0)}
	inner := &countingStore{}
	served := map[infra.Priority]int{}
	budgets := make([]*Budget, hosts)
	for i := range budgets {
		budgets[i] = newBudget(t, c, uint64(i), hosts)
	}
	const seconds = 10
	for tick := range seconds * 100 {
		if tick == 100 {
			// The initial burst is used up. From here claims take nearly all of
			// the rate.
			clear(served)
		}
		for _, b := range budgets {
			for range 3 {
				for _, p := range []infra.Priority{infra.PriorityOther, infra.PriorityConfig, infra.PriorityClaim} {
					if _, err := b.Store(inner, p).Get(expiredContext(), "k"); err == nil {
						served[p]++
					} else {
						require.ErrorIs(t, err, infra.ErrBudgetExhausted)
					}
				}
			}
		}
		c.advance(10 * time.Millisecond)
	}
	limit := DefaultSettings().ReadsPerSecond * (seconds + burstSeconds)
	require.LessOrEqual(t, float64(inner.calls), limit)
	require.Greater(t, float64(inner.calls), 0.9*limit)
	require.Greater(t, served[infra.PriorityClaim], 50*(served[infra.PriorityConfig]+served[infra.PriorityOther]))
}

// TestNoStampedeAfterStoreRecovers guards against hosts that call a failing store
// without backoff, or all at full rate as soon as it recovers.
func TestNoStampedeAfterStoreRecovers(t *testing.T) {
	const hosts = 12
	c := &fakeClock{now: time.Unix(1000, 0)}
	inner := &countingStore{}
	budgets := make([]*Budget, hosts)
	for i := range budgets {
		budgets[i] = newBudget(t, c, uint64(i), hosts)
	}
	step := func() int {
		before := inner.calls
		for _, b := range budgets {
			for range 20 {
				_, _ = b.Store(inner, infra.PriorityClaim).Get(expiredContext(), "k")
			}
		}
		c.advance(10 * time.Millisecond)
		return inner.calls - before
	}
	inner.down = true
	tried := 0
	for range 600 {
		tried += step()
	}
	require.Less(t, tried, hosts*12, "calls to a store that is down for 6 s")
	inner.down = false
	most, total := 0, 0
	for range 400 {
		calls := step()
		most = max(most, calls)
		total += calls
	}
	require.Less(t, most, 200, "calls in any 10 ms after the recovery")
	require.Greater(t, total, 1000)
}

// TestOpenWatchCountsAgainstReadRate checks that an open watch lowers the host's
// read rate by one per second, and that the rate is restored when it closes.
func TestOpenWatchCountsAgainstReadRate(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	b := newBudget(t, c, 1, 1000)
	inner := &countingStore{change: make(chan infra.Entry)}
	changes, err := b.Store(inner, infra.PriorityConfig).Watch(context.Background(), "k")
	require.NoError(t, err)
	full := b.settings.ReadsPerSecond / 1000
	b.SetHosts(1000)
	require.InDelta(t, full-1, float64(b.readLimiter.Limit()), 0.001)
	close(inner.change)
	for range changes {
		t.Fatal("unexpected change")
	}
	require.Eventually(t, func() bool {
		b.SetHosts(1000)
		return float64(b.readLimiter.Limit()) > full-0.001
	}, 5*time.Second, time.Millisecond)
}
