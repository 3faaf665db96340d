package placement

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/workload"
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

// Guards against a new scheduler that has segments read again which engines hold: 0.9 million tokens
// more within 9 s. Load: see unevenLoad, with two seeds; 86 hosts remember their own requests.
func TestNewSchedulerKnowsWhereSegmentsAre(t *testing.T) {
	t.Parallel()
	reread := func(lostAt time.Duration, asks bool) (tokens float64) {
		for seed := range uint64(2) {
			load := unevenLoad()
			load.lostAt, load.asks, load.seed = lostAt, asks, seed+1
			tokens += float64(load.run().reread)
		}
		return tokens
	}
	kept, lost, asked := reread(0, false), reread(15*time.Second, false), reread(15*time.Second, true)
	require.Less(t, asked-kept, 0.1*(lost-kept), "of what is read again for lack of information")
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

// Guards against an engine that works and has room but is passed over since it gets more than its
// share: without the bounds, 134 of 400 requests went to engines that fail every call, and 182 to
// engines without free concurrency. Load: 20 requests a second for one segment; three of four
// engines fail, are ejected or are full.
func TestSharesSpareFailingAndFullEngines(t *testing.T) {
	limits := testLimits
	limits.Concurrency = 2
	for name, spoil := range map[string]func(*instance.Status, *engine){
		"failing":       func(s *instance.Status, _ *engine) { s.ErrorRate = 1 },
		"often failing": func(s *instance.Status, _ *engine) { s.ErrorRate = 0.7 },
		"ejected":       func(s *instance.Status, _ *engine) { s.Ejected = true },
		"full":          func(_ *instance.Status, e *engine) { e.running = limits.Concurrency },
	} {
		tr, now, all := newTracker(), time.Unix(1000, 0), testEngines(4)
		for i := range 3 {
			spoil(&all[i], tr.engine(all[i].ID, limits))
		}
		for i := range 400 {
			now = now.Add(50 * time.Millisecond)
			id := fmt.Sprint("r", i)
			got, _, _ := tr.place(now, all, limits, summaryNeed(id, "c"))
			require.Equal(t, all[3].ID, got, name)
			tr.firstEvent(now, id)
			tr.end(id)
		}
		seg, _ := tr.segments.Peek(sharedHash(prefixChain(summaryNeed("", "c").Parts)))
		require.Equal(t, []instance.ID{all[3].ID}, seg.holders, name)
		require.Less(t, tr.current.penalty(candidate{engine: tr.engines[all[3].ID], got: 1e300}), float64(fullEnginePenalty))
	}
}

// recentCaller answers as hosts that remember choices.
type recentCaller struct{ choices []recentChoice }

func (c recentCaller) Call(_ context.Context, peer netip.AddrPort, method link.Method, _, out any) error {
	if answer, ok := out.(*recentAnswer); ok && method == recentMethod && peer.Port() == 2 {
		answer.Choices = c.choices
		return nil
	}
	return fmt.Errorf("unknown method")
}

// Guards against a new owner that does not ask, that fails on hosts which lack the method or on malformed
// answers, and that sends requests to a process that has ended.
func TestNewOwnerAsksForRecentChoices(t *testing.T) {
	_, owner, _, need := twoPlacers(t)
	started := time.Unix(2000, 0)
	for i := range 3 {
		owner.config.Engines.Put(instance.Entry{ID: instance.ID(fmt.Sprint("e", i)), Service: need.Service, Revision: 2, StartTime: started})
	}
	home := owner.placeLocally(need).Engine
	others := slices.DeleteFunc([]instance.ID{"e0", "e1", "e2"}, func(id instance.ID) bool { return id == home })
	for ended, want := range map[bool]instance.ID{false: others[0], true: home} {
		remembered := newRecentChoices()
		process := instance.Process{ID: others[0], StartTime: started}
		if ended {
			process.StartTime = started.Add(-time.Hour)
		}
		remembered.add(time.Now(), need, process)
		choices := append(remembered.newest(time.Now(), need.Service), recentChoice{Engine: others[1], StartMs: started.UnixMilli(), Hashes: []uint64{1}},
			recentChoice{Engine: others[1], StartMs: started.UnixMilli(), Hashes: []uint64{1}, Tokens: []int{-1}},
			recentChoice{Engine: others[0], StartMs: started.UnixMilli(), Hashes: []uint64{2, 3}, Tokens: []int{1, 1 << 23}})
		config := owner.config
		config.Workload = workload.NewTable(nil)
		config.Fleet = hosttest.Fleet{{Info: host.Info{ID: "self"}},
			{Info: host.Info{ID: "previous build", LinkAddr: netip.MustParseAddrPort("10.0.0.1:1")}},
			{Info: host.Info{ID: "remembers", LinkAddr: netip.MustParseAddrPort("10.0.0.1:2")}}}
		config.Caller = recentCaller{choices}
		p := New(config, link.NewMux())
		require.True(t, p.recallDue(p.tracker(need.Service), time.Now()))
		require.False(t, p.recallDue(p.tracker(need.Service), time.Now()), "once")
		p.recall(need.Service)
		require.Equal(t, want, p.placeLocally(need).Engine, "ended: %v", ended)
		p.cede(need.Service)
		require.True(t, p.recallDue(p.tracker(need.Service), time.Now().Add(recallPause)), "another owner has chosen")
	}
}

// Guards against hosts that ask for recent choices although the load is ignored.
func TestOwnerThatIgnoresTheLoadDoesNotAsk(t *testing.T) {
	_, owner, _, need := twoPlacers(t)
	config := owner.config
	config.Fleet, config.Caller = hosttest.Fleet{{Info: host.Info{ID: "self"}}}, recentCaller{}
	ignoring := New(config, link.NewMux())
	require.False(t, ignoring.recallDue(ignoring.tracker(need.Service), time.Now()))
}

// Guards against a host that never asks because it knew no other host when it began to choose.
func TestOwnerAsksOnceItKnowsOtherHosts(t *testing.T) {
	_, owner, _, need := twoPlacers(t)
	config := owner.config
	fleet := hosttest.Fleet{{Info: host.Info{ID: "self"}}}
	config.Fleet, config.Caller, config.Workload = fleet, recentCaller{}, workload.NewTable(nil)
	p := New(config, link.NewMux())
	due := func(after time.Duration) bool { return p.recallDue(p.tracker(need.Service), time.Now().Add(after)) }
	require.True(t, due(0))
	p.recall(need.Service)
	require.False(t, due(0))
	require.True(t, due(recallPause))
	p.config.Fleet = append(fleet, host.Member{Info: host.Info{ID: "other", LinkAddr: netip.MustParseAddrPort("10.0.0.1:2")}})
	p.recall(need.Service)
	require.False(t, due(time.Hour))
}

// BenchmarkPlaceHotSegment has 300 engines and 2,000 segments, one of which is in half of the requests,
// so that most engines hold it.
func BenchmarkPlaceHotSegment(b *testing.B) {
	tr, all, now := newTracker(), testEngines(300), time.Unix(1000, 0)
	for i := range b.N {
		id, shared := fmt.Sprint(i), "hot"
		now = now.Add(3 * time.Millisecond)
		if i%2 == 1 {
			shared = fmt.Sprint("c", i%2000)
		}
		tr.place(now, all, testLimits, summaryNeed(id, shared))
		tr.end(fmt.Sprint(i - 300))
	}
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
