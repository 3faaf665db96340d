package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/explain"
)

func figure(c explain.Candidate, name string) float64 {
	for _, f := range c.Figures {
		if f.Name == name {
			return f.Value
		}
	}
	return -1
}

// Guards against an explanation that names another engine than the one that the next request
// gets, and against one that changes the next choice.
func TestExplanationIsTheNextChoice(t *testing.T) {
	b, now := newTracker(), time.Unix(1000, 0)
	all := testEngines(6)
	all[5].Ejected = true
	limits := testLimits
	limits.WarmupPerSecond = 8
	for i := range 40 {
		id := string(rune('a' + i))
		need := summaryNeed(id, "contract"+string(rune('0'+i%7)))
		all[4].Cold = i > 20
		before, cached := b.clone(), 0
		for _, e := range b.engines {
			cached += e.cache.tokens
		}
		choice := b.explain(now, all, limits, need)
		require.Equal(t, before.engines, b.engines)
		require.Equal(t, before.running, b.running)
		require.Equal(t, before.requests, b.requests)
		chosen, _, found := b.place(now, all, limits, need)
		require.True(t, found)
		require.Equal(t, string(chosen), choice.Candidates[0].Upstream, i)
		require.InDelta(t, 17000, figure(choice.Candidates[0], "unread_tokens")+figure(choice.Candidates[0], "cached_tokens"), 0)
		require.Contains(t, choice.Excluded, explain.Exclusion{Upstream: "e5", DataCentre: "dc1", Reason: "ejected"})
		now = now.Add(30 * time.Millisecond)
		if i == 21 { // it has just become cold
			require.Contains(t, choice.Excluded, explain.Exclusion{Upstream: "e4", DataCentre: "dc0", Reason: "cold without room"})
			require.Equal(t, "next_cold_room_ms", choice.Figures[0].Name)
		}
	}
}
