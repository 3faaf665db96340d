package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/instance"
)

// countRequests sends requests one after the other to two upstreams with the given latencies,
// after one answer of each that took as long as first says, and counts those that "x" gets.
func countRequests(t *testing.T, first, latency map[instance.ID]time.Duration, requests int) (x int) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	send := func(id instance.ID, took time.Duration) {
		use, begun := table.Begin(id, 0)
		require.True(t, begun)
		use.End(instance.Answered, took, now)
	}
	for _, id := range []instance.ID{"x", "y"} {
		table.Put(instance.Entry{ID: id, Service: "s", Slots: 6, Revision: 1})
		send(id, first[id])
	}
	for range requests {
		chosen, found := balance.ChooseUpstream(table.Service("s", now), balance.Need{}, random)
		require.True(t, found)
		send(chosen.ID, latency[chosen.ID])
		if chosen.ID == "x" {
			x++
		}
	}
	return x
}

// Guards against an upstream that gets nothing for ever because its only answer was slow.
func TestUpstreamThatWasSlowOnceGetsRequestsAgain(t *testing.T) {
	slowOnce := map[instance.ID]time.Duration{"x": 200 * time.Millisecond, "y": 15 * time.Millisecond}
	x := countRequests(t, slowOnce, map[instance.ID]time.Duration{"x": 5 * time.Millisecond, "y": 15 * time.Millisecond}, 4000)
	require.Greater(t, x, 2000, "it is the faster one")
}

func TestSlowUpstreamIsTriedSeldom(t *testing.T) {
	slow := map[instance.ID]time.Duration{"x": 75 * time.Millisecond, "y": 15 * time.Millisecond}
	x := countRequests(t, slow, slow, 4000)
	require.Positive(t, x)
	require.Less(t, x, 4000*3/100)
}
