package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
)

// Guards against engines that get many times the mean number of requests (2.0 to 2.8 times before
// the choice knew each engine's share), and against an even load that delays first events.
// Loads: see unevenLoad, evenLoad and unevenShared. before is the mean time to the first event
// without shares.
func TestBusiestEngineGetsLittleMoreThanTheMean(t *testing.T) {
	seeded := unevenLoad()
	seeded.seed = 2
	for name, load := range map[string]struct {
		simulation
		before time.Duration
		most   float64
	}{
		"skewed, three speeds":         {unevenLoad(), 135 * time.Millisecond, 1.4},
		"skewed, three speeds, seed 2": {seeded, 138 * time.Millisecond, 1.4},
		"many segments":                {unevenShared(300, 200, true), 291 * time.Millisecond, 1.4},
		"few segments":                 {unevenShared(240, 30, true), 381 * time.Millisecond, 1.4},
		"many segments, less load":     {unevenShared(200, 200, true), 246 * time.Millisecond, 2.64},
		"skewed, one speed":            {evenLoad(), 117 * time.Millisecond, 6.31},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := load.run()
			require.LessOrEqual(t, s.requests, load.most, "requests of the busiest engine by the mean")
			require.LessOrEqual(t, mean(s.first), load.before)
		})
	}
}

// Guards against a rush to engines that join empty, and against engines that stay empty. Load: see
// evenLoad; a third of the engines joins at 15 s.
func TestEnginesThatJoinTakeOverSegmentsGradually(t *testing.T) {
	t.Parallel()
	load := evenLoad()
	load.joinAt = 15 * time.Second
	joined := load.run().joined
	require.Less(t, joined[0], 0.5)
	require.Greater(t, slices.Max(joined), 0.5)
	require.Less(t, slices.Max(joined), 1.4)
}

// Guards against a segment that is held by one engine until its requests queue there, by many
// without need, or by a changing number while the demand for it stays the same. Load: 20 engines
// with 60 requests a second for 100 segments; one of 4,000 tokens has 0.5, then 20, then again
// 0.5 requests a second.
func TestHoldersOfASegmentFollowItsDemand(t *testing.T) {
	tr, now, all := newTracker(), time.Unix(1000, 0), testEngines(20)
	holders, queue, placed := 0, 0, 0
	place := func(shared string) {
		id := fmt.Sprint("r", placed)
		placed++
		need := Need{RequestID: id, Tokens: 5000, Parts: []call.PromptPart{{ID: shared, Tokens: 4000}, {ID: "own" + id, Tokens: 1000}}}
		chosen, _, _ := tr.place(now, all, testLimits, need)
		if shared == "hot" {
			seg, _ := tr.segments.Peek(sharedHash(prefixChain(need.Parts)))
			holders, queue = len(seg.holders), max(queue, tr.engines[chosen].unreadTokens)
		}
	}
	serve := func(length time.Duration, perSecond float64) (seen map[int]bool) {
		seen, hot := make(map[int]bool), 0.0
		for step := range int(length / (10 * time.Millisecond)) {
			if now = now.Add(10 * time.Millisecond); step%100 < 60 {
				place(fmt.Sprint("c", placed*7%100))
			}
			for hot += perSecond / 100; hot >= 1; hot-- {
				place("hot")
				seen[holders] = true
			}
			for id, r := range tr.running { // engines read one prompt after the other
				if now.Sub(r.placedAt) >= seconds(float64(r.queuedTokens)/defaultReadRate) {
					tr.firstEvent(now, id)
					tr.end(id)
				}
			}
		}
		return seen
	}
	serve(10*time.Second, 0.5)
	require.Equal(t, 1, holders)
	queue = 0
	serve(8*time.Second, 20)
	require.GreaterOrEqual(t, holders, 4, "one for about every 4 requests a second")
	require.LessOrEqual(t, holders, 12)
	require.Less(t, queue, 3*5000, "tokens to read at an engine that the segment's requests go to")
	require.Len(t, serve(8*time.Second, 20), 1, "a steady demand")
	serve(20*time.Second, 0.5)
	require.Equal(t, 1, holders)
}

func BenchmarkPlace(b *testing.B) {
	tr, all, now := newTracker(), testEngines(140), time.Unix(1000, 0)
	for i := range b.N {
		id := fmt.Sprint(i)
		now = now.Add(3 * time.Millisecond)
		tr.place(now, all, testLimits, summaryNeed(id, fmt.Sprint("c", i%50)))
		tr.end(fmt.Sprint(i - 300))
	}
}
