package staging

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/routing"
)

func classGroup(id string, priority, pieces int, target time.Duration) Group {
	g := testGroup(id, pieces, target)
	g.Priority = priority
	return g
}

// Guards against a change of the order while all queued work can be in time, and against an
// overload that ends while late groups are still queued.
func TestOverloadIsWorkThatTheRateCannotDoInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	q, _ := newTestQueue(now, classGroup("a", 0, 8, time.Second), classGroup("b", 2, 24, 2*time.Second))
	var c contention
	require.False(t, c.update(q, 40, testSpec, now))
	q.push(newWorkItem(classGroup("c", 2, 40, time.Second), now, nil))
	require.False(t, c.update(q, 100, testSpec, now), "72 pieces take less than a second")
	require.True(t, c.update(q, 20, testSpec, now))
	require.False(t, c.update(q, 20, testSpec, now.Add(3*time.Second)), "all are late but still queued")
	require.True(t, c.overloaded)
	q.waiting = nil
	require.True(t, c.update(q, 20, testSpec, now.Add(4*time.Second)))
	require.False(t, c.overloaded)
	require.False(t, c.update(&queue{waiting: []*workItem{newWorkItem(classGroup("d", 0, 8, 300*time.Millisecond), now, nil)}}, 1, testSpec, now),
		"work that fits into one call never exceeds the rate")
	for bytes, exceeds := range map[int64]bool{1e6: false, 9e6: true} {
		large := classGroup("e", 0, 4, time.Second)
		large.ResultBytes = bytes
		q, _ := newTestQueue(now, large, large)
		require.Equal(t, exceeds, exceedsRate(q.waiting, 4, testSpec, now), "one call takes 8 pieces and 36 MB")
	}
}

// Guards against less urgent groups that go ahead under overload, against work that was begun
// and is thrown away, and against late groups that go ahead of those in time of their class.
func TestOverloadedQueueIsServedByClass(t *testing.T) {
	now := time.Unix(1000, 0)
	begun, guaranteed := classGroup("begun", 1, 1, 900*time.Millisecond), classGroup("guaranteed", 2, 1, 2*time.Second)
	begun.Inputs, guaranteed.Guaranteed = []string{"h"}, true
	q, _ := newTestQueue(now, classGroup("low", 2, 1, 400*time.Millisecond), classGroup("late", 1, 1, 0), classGroup("middle", 1, 1, 800*time.Millisecond),
		begun, guaranteed, classGroup("urgent", 0, 1, 3*time.Second))
	q.overloaded = true
	q.sort(now, testSpec.FullBatchTime())
	require.Equal(t, []string{"guaranteed:1", "urgent:1", "begun:1", "middle:1", "late:1", "low:1"}, batchSummary(q.takeBatch(now, testSpec, fullMemory, locality{})))
}

// overloadedAdmission is a request with two stages of 300 ms, of which the second belongs to
// an overloaded service. Its target is in 1 s and its deadline in 4 s.
func overloadedAdmission(class int, waits QueueWaits) *admission {
	now := time.Unix(1000, 0)
	return &admission{
		class: class, arrived: now, now: now, target: now.Add(time.Second), deadline: now.Add(4 * time.Second), order: []int{0, 1}, stages: []pathStage{
			{time: 300 * time.Millisecond, known: true, waits: QueueWaits{InTime: 200 * time.Millisecond}},
			{time: 300 * time.Millisecond, known: true, waits: waits, dependsOn: []int{0}},
		},
	}
}

// Guards against requests that are refused by their last stage after the others have run, and
// against refusals of requests that can be in time or whose services are not overloaded.
func TestRequestIsRefusedForItsWholePath(t *testing.T) {
	for _, c := range []struct {
		class  int
		waits  QueueWaits
		reason string
	}{
		{2, QueueWaits{Overloaded: true, ByClass: []time.Duration{0, 0, 100 * time.Millisecond}}, ""},
		{2, QueueWaits{Overloaded: true, ByClass: []time.Duration{0, 0, 900 * time.Millisecond}}, refusedObjective},
		{2, QueueWaits{Overloaded: true, ByClass: []time.Duration{0, 0, 100 * time.Millisecond}, LaterByClass: []time.Duration{0, 0, time.Second}}, refusedObjective},
		{2, QueueWaits{InTime: 900 * time.Millisecond}, ""},
		{1, QueueWaits{Overloaded: true, ByClass: []time.Duration{0, 900 * time.Millisecond}}, ""},
		{5, QueueWaits{Overloaded: true, ByClass: []time.Duration{0, 900 * time.Millisecond}}, refusedObjective},
		{0, QueueWaits{Overloaded: true, ByClass: []time.Duration{2 * time.Second}}, ""},
		{0, QueueWaits{Overloaded: true, ByClass: []time.Duration{time.Hour}}, refusedDeadline},
		{0, QueueWaits{Overloaded: true, ByClass: []time.Duration{-time.Hour}}, ""},
	} {
		refused, refuse := overloadedAdmission(c.class, c.waits).decide()
		require.Equal(t, c.reason != "", refuse, "%v", c)
		require.Equal(t, c.reason, refused.reason, "%v", c)
		if refuse {
			require.Equal(t, 1, refused.stage)
			require.Positive(t, refused.wait)
			require.LessOrEqual(t, refused.wait, maxWait)
		}
	}
}

// Guards against a class that starves behind more urgent ones, and against a share that is
// granted although the class is served.
func TestClassGetsItsGuaranteedShare(t *testing.T) {
	now := time.Unix(1000, 0)
	var s shareTracker
	served := 0
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		s.record(0, i%4 > 0, now)
		granted := s.draw(2, now)
		if granted {
			served++
		}
		s.record(2, granted, now)
	}
	overall := (0.75 + float64(served)/2000) / 2
	require.GreaterOrEqual(t, float64(served)/2000, overall/4)
	require.LessOrEqual(t, float64(served)/2000, overall/2)
	for range 1000 {
		s.record(2, true, now)
	}
	require.False(t, s.draw(2, now))
}

// Two classes of 60 pieces per second, of which one is refused elsewhere, and 90 pieces per
// second of capacity. Guards against classes that are admitted in turns of too much and nothing
// because refused work is not counted, and against reports with absurd figures.
func TestLessUrgentClassFitsIntoTheRest(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newTestGatherer(t, 1, &fakeServers{spec: testSpec})
	g.mu.Lock()
	s := g.service("pieces")
	g.mu.Unlock()
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		s.contention.arrivals[0].add(3)
		g.NoteRefused("pieces", []float64{0, 3, -5, math.NaN(), math.Inf(1), 1e300, 0, 0, 7})
		s.contention.update(&s.queue, 90, testSpec, now)
	}
	fits := s.contention.fits(90)
	require.InDelta(t, 1, fits[0], 0.001)
	require.InDelta(t, 0.5, fits[1], 0.02)
	require.InDelta(t, 1, fits[2], 0.001, "nothing of the class is requested")
	for draw, reason := range map[float64]string{0.49: "", 0.51: refusedShare} {
		a := overloadedAdmission(0, QueueWaits{Overloaded: true, ByClass: []time.Duration{0}, FitByClass: []float64{0.5}})
		a.draw = draw
		refused, _ := a.decide()
		require.Equal(t, reason, refused.reason)
	}
}

// Guards against a busy host, whose waits are always recent, that never reports what it refuses,
// and against hosts that ask while nothing is overloaded.
func TestHostReportsRefusedWorkAndAsksForOldWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRunner(RunnerConfig{}, link.NewMux())
	r.recordWaits("s", gatherReply{}, now)
	require.False(t, r.beginRefresh("s", now.Add(waitsRefreshAge)))
	r.recordWaits("s", gatherReply{Overloaded: true}, now)
	require.True(t, r.beginRefresh("s", now.Add(waitsRefreshAge)))
	now = now.Add(2 * waitsRefreshAge)
	r.recordRefused(2, testGraph(t, []routing.Stage{{Service: "s"}}, 5))
	r.recordWaits("s", gatherReply{Overloaded: true}, now)
	require.True(t, r.beginRefresh("s", now))
	require.InDelta(t, 5, r.takeRefused("s")[2], 0)
	require.False(t, r.beginRefresh("s", now.Add(waitsRefreshAge/2)))
}

// A caller leaves, so that its host cancels the call to the gatherer on another host. Guards
// against pieces that stay queued there and run for nobody.
func TestCanceledCallLeavesTheQueueOfAnotherHost(t *testing.T) {
	f := &fakeServers{bytes: 100, silence: time.Minute, spec: &routing.StageServer{
		Concurrency: 1, BatchSize: 1, CallTime: 10 * time.Millisecond, ResultMemory: 1 << 30, ResultTTL: time.Second,
	}}
	g := newTestGatherer(t, 1, f)
	mux := link.NewMux()
	NewRunner(RunnerConfig{Gatherer: g}, mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key := []byte("0123456789abcdef0123456789abcdef")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		_ = link.NewServer(link.ServerConfig{Mux: mux, Key: key, DrainTimeout: time.Millisecond}).Serve(ctx, listener)
	}()
	client := link.NewClient(link.ClientConfig{Key: key})
	call, cancel := context.WithCancel(ctx)
	for i := range 3 {
		go func() {
			group := Group{Service: "pieces", RequestID: fmt.Sprint(i), Pieces: 1, Key: "k", Remaining: time.Hour, RemainingToTarget: time.Hour}
			_, _ = link.CallTyped[Group, gatherReply](call, client, netip.MustParseAddrPort(listener.Addr().String()), gatherMethod, group)
		}()
	}
	queued := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.service("pieces").queue.waiting)
	}
	require.Eventually(t, func() bool { return queued() == 2 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return queued() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a refusal while nothing is queued and less than half of the calls run.
func TestServiceWithRoomRefusesNoGroupForItsObjective(t *testing.T) {
	g := newTestGatherer(t, 4, &fakeServers{spec: testSpec})
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service("pieces")
	s.queue.overloaded = true
	group := classGroup("r", 2, 8, -time.Second)
	group.LateTolerance = time.Millisecond
	now := time.Now()
	require.False(t, g.refuseArrival(s, newWorkItem(group, now, nil), testSpec, now))
	s.running["s0"], s.running["s1"] = 1, 1
	require.True(t, g.refuseArrival(s, newWorkItem(group, now, nil), testSpec, now))
}
