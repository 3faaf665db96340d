package placement

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
)

var testLimits = Limits{Concurrency: 64, CacheTokens: 500_000}

func testEngines(n int) []instance.Status {
	var all []instance.Status
	for i := range n {
		all = append(all, instance.Status{Entry: instance.Entry{ID: instance.ID("e" + strconv.Itoa(i)), DataCentre: host.DataCentre("dc" + strconv.Itoa(i%2))}})
	}
	return all
}

func summaryNeed(id string, shared string) Need {
	return Need{RequestID: id, Service: "s", Tokens: 17000, ExpectedOutputTokens: 120,
		Parts: []call.PromptPart{{ID: shared, Tokens: 13300}, {ID: "own-" + id, Tokens: 3700}}}
}

func TestPromptsGoToEngineWithSharedPartCached(t *testing.T) {
	b, now := newTracker(), time.Unix(1000, 0)
	first, _, found := b.place(now, testEngines(6), testLimits, summaryNeed("r0", "contract"))
	require.True(t, found)
	b.firstEvent(now.Add(400*time.Millisecond), "r0")
	b.end("r0")
	for i := 1; i < 5; i++ {
		id := "r" + strconv.Itoa(i)
		got, wait, _ := b.place(now.Add(time.Duration(i)*time.Second), testEngines(6), testLimits, summaryNeed(id, "contract"))
		require.Equal(t, first, got)
		require.Less(t, wait, 300*time.Millisecond)
		b.firstEvent(now.Add(time.Duration(i)*time.Second+100*time.Millisecond), id)
		b.end(id)
	}
}

// A burst of requests with one shared part must not queue on the one engine
// that has the part cached.
func TestBurstWithOneSharedPartSpreadsOverEngines(t *testing.T) {
	b, now := newTracker(), time.Unix(1000, 0)
	used := map[instance.ID]int{}
	worst := time.Duration(0)
	for i := range 12 {
		got, wait, found := b.place(now, testEngines(6), testLimits, summaryNeed(fmt.Sprint("r", i), "contract"))
		require.True(t, found)
		used[got]++
		worst = max(worst, wait)
	}
	require.Greater(t, len(used), 1)
	require.Less(t, worst, 1300*time.Millisecond, "the latency objective of the class")
}

func TestFirstEventsAndEndsReleaseLoad(t *testing.T) {
	b, now := newTracker(), time.Unix(1000, 0)
	for i := range 30 {
		b.place(now, testEngines(3), testLimits, summaryNeed(fmt.Sprint("r", i), fmt.Sprint("c", i)))
	}
	for i := range 30 {
		if i%2 == 0 {
			b.firstEvent(now.Add(time.Second), fmt.Sprint("r", i))
		}
		b.end(fmt.Sprint("r", i))
	}
	for id, e := range b.engines {
		require.Zero(t, e.unreadTokens, id)
		require.Zero(t, e.running, id)
		require.Zero(t, e.memoryTokens, id)
	}
}

func TestRequestsWithoutReportedEndExpire(t *testing.T) {
	b, now := newTracker(), time.Unix(1000, 0)
	id, _, _ := b.place(now, testEngines(1), testLimits, summaryNeed("r", "c"))
	b.expire(now.Add(prefillTTL + time.Second))
	require.Zero(t, b.engines[id].unreadTokens)
	require.Equal(t, 1, b.engines[id].running)
	b.expire(now.Add(runningTTL + time.Second))
	require.Zero(t, b.engines[id].running)
}

func TestTriedAndEjectedEnginesAreNotChosen(t *testing.T) {
	all := testEngines(3)
	all[0].Ejected = true
	for range 20 {
		got, _, found := newTracker().place(time.Unix(1000, 0), all, testLimits, Need{RequestID: "r", Tried: []instance.ID{"e1"}})
		require.True(t, found)
		require.Equal(t, instance.ID("e2"), got)
	}
	_, _, found := newTracker().place(time.Unix(1000, 0), all, testLimits, Need{RequestID: "r", Tried: []instance.ID{"e0", "e1", "e2"}})
	require.False(t, found)
	got, _, found := newTracker().place(time.Unix(1000, 0), all, testLimits, Need{RequestID: "r", Tried: []instance.ID{"e1", "e2"}})
	require.True(t, found, "an ejected engine is better than none")
	require.Equal(t, instance.ID("e0"), got)
}

// Guards against a stream that goes on at an engine of another software version.
func TestOnlyEnginesOfTheRequiredVersionAreChosen(t *testing.T) {
	all := testEngines(4)
	for i := range all {
		all[i].Version = []string{"v1", "v2"}[i%2]
	}
	all[1].Ejected = true
	for range 20 {
		got, _, found := newTracker().place(time.Unix(1000, 0), all, testLimits, Need{RequestID: "r", Version: "v2"})
		require.True(t, found)
		require.Equal(t, instance.ID("e3"), got)
	}
	got, _, found := newTracker().place(time.Unix(1000, 0), all, testLimits, Need{RequestID: "r", Version: "v2", Tried: []instance.ID{"e3"}})
	require.True(t, found, "an ejected engine of the version is better than none")
	require.Equal(t, instance.ID("e1"), got)
	_, _, found = newTracker().place(time.Unix(1000, 0), all, testLimits, Need{RequestID: "r", Version: "v3"})
	require.False(t, found)
}

func TestFullEnginesAreChosenLast(t *testing.T) {
	b, now := newTracker(), time.Unix(1000, 0)
	limits := Limits{Concurrency: 2, CacheTokens: 500_000}
	used := map[instance.ID]int{}
	for i := range 6 {
		id, _, _ := b.place(now, testEngines(3), limits, Need{RequestID: fmt.Sprint("r", i), Tokens: 10})
		used[id]++
	}
	require.Equal(t, map[instance.ID]int{"e0": 2, "e1": 2, "e2": 2}, used)
}

func TestLargeInputsFavourTheirDataCentre(t *testing.T) {
	need := Need{RequestID: "r", Tokens: 100, Inputs: map[host.DataCentre]int64{"dc1": 8 << 20}}
	id, _, _ := newTracker().place(time.Unix(1000, 0), testEngines(4), testLimits, need)
	require.Contains(t, []instance.ID{"e1", "e3"}, id)
}

func TestFewHomesMoveWhenAnEngineIsRemoved(t *testing.T) {
	all := testEngines(18)
	moved := 0
	for i := range 300 {
		chain := prefixChain([]call.PromptPart{{ID: fmt.Sprint("c", i)}, {ID: "own"}})
		if homeEngine(all, chain) != homeEngine(all[:17], chain) {
			moved++
		}
	}
	require.Less(t, moved, 300*2/18)
	require.Positive(t, moved)
}

func TestCacheEvictsLeastRecentlyUsedParts(t *testing.T) {
	c := newCache(1000)
	parts := func(id string) []call.PromptPart { return []call.PromptPart{{ID: id, Tokens: 400}} }
	for _, id := range []string{"a", "b", "a", "c"} {
		c.touch(prefixChain(parts(id)), parts(id))
	}
	require.Equal(t, 400, c.cachedTokens(prefixChain(parts("a")), parts("a")))
	require.Equal(t, 0, c.cachedTokens(prefixChain(parts("b")), parts("b")))
	require.Equal(t, 800, c.tokens)
}

// Guards against requests that are sent for a cached segment to an engine that was restarted.
func TestNewProcessOfAnEngineHasNothingCached(t *testing.T) {
	tr, now, all := newTracker(), time.Unix(1000, 0), testEngines(1)
	tr.place(now, all, testLimits, summaryNeed("a", "contract"))
	all[0].StartTime = now
	tr.place(now, all, testLimits, summaryNeed("b", "contract"))
	require.Equal(t, 17000, tr.running["b"].unreadTokens)
}
