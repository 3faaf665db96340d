package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/retry"
)

// Guards against hosts that each keep their own budget but together exceed the
// bounds in some window: 12 hosts retry calls to a failing service as often as
// they may.
func TestAllHostsTogetherStayWithinTheBounds(t *testing.T) {
	const hosts = 12
	bounds := retry.Bounds{Ratio: 0.2, Slack: 104, Window: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	var budgets []*retry.Budget
	for range hosts {
		budgets = append(budgets, retry.New(bounds, func() int { return hosts }, start))
	}
	var requests, retries []time.Duration
	for at := time.Duration(0); at < 40*time.Second; at += 25 * time.Millisecond {
		now := start.Add(at)
		b := budgets[random.IntN(hosts)]
		b.RecordRequest("s", now)
		requests = append(requests, at)
		for range 3 {
			if budgets[random.IntN(hosts)].AllowRetry("s", now) {
				retries = append(retries, at)
			}
		}
	}
	count := func(all []time.Duration, from time.Duration) int {
		n := 0
		for _, at := range all {
			if at >= from && at < from+bounds.Window {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from < 30*time.Second; from += 100 * time.Millisecond {
		require.LessOrEqual(t, float64(count(retries, from)), bounds.Ratio*float64(count(requests, from))+float64(bounds.Slack))
	}
	require.NotEmpty(t, retries)
}

func TestRetriesAreAllowedAgainAfterTheWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	b := retry.New(retry.Bounds{Slack: 10, Window: 10 * time.Second}, func() int { return 1 }, now)
	for b.AllowRetry("s", now) {
	}
	require.False(t, b.AllowRetry("s", now.Add(9*time.Second)))
	require.True(t, b.AllowRetry("s", now.Add(11*time.Second)))
}
