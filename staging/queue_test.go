package staging

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/routing"
)

var testSpec = &routing.StageServer{
	Concurrency: 1, Batch: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond,
	ResultRoom: 36e6, KeepResults: 4 * time.Second,
}

func group(id string, pieces int, aim time.Duration) Group {
	return Group{RequestID: id, Pieces: pieces, Aim: aim, Remaining: 5 * time.Second}
}

func queueOf(now time.Time, groups ...Group) (*queue, map[string][]call.PieceResult) {
	q, ended := &queue{}, make(map[string][]call.PieceResult)
	for _, g := range groups {
		q.push(newWork(g, now, func(r []call.PieceResult) { ended[g.RequestID] = r }))
	}
	q.sort(now, testSpec.CallTime)
	return q, ended
}

func taken(shares []share) (all []string) {
	for _, s := range shares {
		all = append(all, fmt.Sprintf("%s:%d", s.work.RequestID, len(s.pieces)))
	}
	return all
}

const wholeRoom = int64(36e6)

func TestUrgentGroupsGoFirstAndLateOnesLast(t *testing.T) {
	now := time.Unix(1000, 0)
	q, _ := queueOf(now, group("late", 2, 0), group("soon", 3, 400*time.Millisecond), group("sooner", 3, 300*time.Millisecond))
	require.Equal(t, []string{"sooner:3", "soon:3", "late:2"}, taken(q.batch(now, testSpec, wholeRoom, place{})))
	require.Empty(t, q.waiting)
}

func TestPriorityIsWorthSomeTimeButNotAll(t *testing.T) {
	now := time.Unix(1000, 0)
	low := group("low", 4, 400*time.Millisecond)
	low.Priority = 2
	far := group("far", 8, 900*time.Millisecond)
	near := group("near", 4, 500*time.Millisecond)
	q, _ := queueOf(now, low, far, near)
	require.Equal(t, []string{"near:4", "low:4"}, taken(q.batch(now, testSpec, wholeRoom, place{})))
}

func TestGroupsStayWholeUnlessMuchWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	q, _ := queueOf(now, group("a", 5, time.Second), group("b", 3, 2*time.Second))
	require.Equal(t, []string{"a:5", "b:3"}, taken(q.batch(now, testSpec, wholeRoom, place{})))
	q, _ = queueOf(now, group("a", 5, time.Second), group("b", 5, 2*time.Second))
	require.Equal(t, []string{"a:5", "b:3"}, taken(q.batch(now, testSpec, wholeRoom, place{})), "a full call is worth more than a whole group")
	require.Equal(t, 2, q.total())
}

func TestResultsMustFitTheServersMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	heavy := group("heavy", 4, time.Second)
	heavy.ResultBytes = 3e6
	light := group("light", 1, 2*time.Second)
	q, _ := queueOf(now, heavy, light)
	require.Equal(t, []string{"heavy:2", "light:1"}, taken(q.batch(now, testSpec, 7e6, place{})))
	require.Equal(t, 2, q.total())
}

// A late summary must not fill the memory that one in time needs.
func TestLateLargeResultsLeaveRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	late := group("late", 8, 0)
	late.ResultBytes = 3e6
	q, _ := queueOf(now, late)
	room := int64(roomShare * float64(testSpec.ResultRoom))
	used := int64(0)
	for {
		shares := q.batch(now, testSpec, room-used, place{})
		if len(shares) == 0 {
			break
		}
		used += int64(len(shares[0].pieces)) * late.ResultBytes
	}
	require.LessOrEqual(t, float64(used), lateShare*float64(testSpec.ResultRoom))
	require.Positive(t, used)
}

func TestHeavyGroupsWaitForTheirDataCentreNotForever(t *testing.T) {
	now := time.Unix(1000, 0)
	g := group("g", 4, time.Second)
	g.Near, g.MovedBytes = "riga-a", 8<<20
	q, _ := queueOf(now, g)
	elsewhere := place{centre: "riga-b", served: map[host.DataCentre]bool{"riga-a": true, "riga-b": true}}
	require.Empty(t, q.batch(now, testSpec, wholeRoom, elsewhere))
	require.NotEmpty(t, q.batch(now.Add(nearPatience), testSpec, wholeRoom, elsewhere))
	q, _ = queueOf(now, g)
	unserved := place{centre: "riga-b", served: map[host.DataCentre]bool{"riga-b": true}}
	require.NotEmpty(t, q.batch(now, testSpec, wholeRoom, unserved), "no server is left where it belongs")
}

// Callers learn at once that their stages can't be done in time: none is held
// until it leaves.
func TestGroupsThatWillBeLateAreRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &gathering{}
	s.drain = drain{rate: 10, at: now}
	s.bytes = drain{rate: 1e9, at: now}
	var groups []Group
	for i := range 10 {
		groups = append(groups, Group{RequestID: fmt.Sprint(i), Pieces: 8, Aim: time.Second, Remaining: 3 * time.Second})
	}
	q, ended := queueOf(now, groups...)
	s.queue = *q
	runAll(s.refuseLate(now, testSpec))
	require.Len(t, ended, 6, "10 pieces a second leave time for 4 groups of 8")
	for _, results := range ended {
		require.Equal(t, call.PieceOverload, results[0].Failure)
	}
	extra := newWork(Group{Pieces: 1, Aim: time.Second, Remaining: 3 * time.Second}, now, nil)
	require.False(t, s.inTime(extra, testSpec, now))
}

// The pattern of billing before notify: results of the stage before fill its
// servers until this stage is done, so what holds them does not go last.
func TestGroupsThatHoldScarceInputsAreNotPutOff(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := group("holder", 8, 0)
	holder.Scarce = true
	q, _ := queueOf(now, group("fresh", 8, time.Second), holder)
	require.Equal(t, []string{"holder:8"}, taken(q.batch(now, testSpec, wholeRoom, place{})))
	r := NewRunner(RunnerConfig{Service: func(string) (*routing.Service, bool) {
		return &routing.Service{Stages: &routing.StageServer{ResultRoom: 18e5}}, true
	}}, link.NewMux())
	g, err := newGraph([]routing.Stage{{Service: "gate", ResultBytes: 8e3}, {Service: "billing", After: []int{0}, ResultBytes: 6e4},
		{Service: "notify", After: []int{1}, ResultBytes: 6e3}}, []int{1, 6, 16})
	require.NoError(t, err)
	require.False(t, r.holdsScarce(g, 1))
	require.True(t, r.holdsScarce(g, 2))
}

func TestUnknownRateRefusesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &gathering{}
	for i := range 50 {
		s.queue.push(newWork(group(fmt.Sprint(i), 8, time.Second), now, nil))
	}
	require.True(t, s.inTime(newWork(group("new", 1, time.Second), now, nil), testSpec, now))
}

func TestDrainLearnsTheRateUnderLoadAndForgetsIt(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &drain{}
	d.tick(now, true, 100)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		d.done(1)
		d.tick(now, true, 100)
	}
	require.InDelta(t, 20, d.rate, 4)
	require.InDelta(t, 2, d.wait(40).Seconds(), 0.5)
	for range 300 {
		now = now.Add(50 * time.Millisecond)
		d.tick(now, false, 100)
	}
	require.InDelta(t, 100, d.rate, 3)
}

func TestRoomIsGivenBackOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRoom()
	r.reserve("a", 30)
	r.keep("h1", "a", 10, now, time.Second)
	r.keep("h2", "a", 10, now, time.Second)
	r.release("a", 10)
	r.give("h1", now)
	r.give("h1", now)
	require.EqualValues(t, 10, r.byServer["a"])
	r.expire(now.Add(2 * time.Second))
	require.Empty(t, r.byServer)
	require.Empty(t, r.byHandle)
}

// The pattern of quick-answer: a stage with large results beside a chain of
// three. It waits for the second of them, so that both end together.
func TestLargeResultsAreMadeWhenTheyAreNeeded(t *testing.T) {
	r := NewRunner(RunnerConfig{Service: func(string) (*routing.Service, bool) {
		return &routing.Service{Stages: testSpec}, true
	}}, link.NewMux())
	stages := []routing.Stage{
		{Service: "a", ResultBytes: 3e6}, {Service: "a", ResultBytes: 8e3},
		{Service: "b", After: []int{1}, ResultBytes: 6e4}, {Service: "c", After: []int{2}, ResultBytes: 6e3},
	}
	g, err := newGraph(stages, []int{1, 1, 8, 16})
	require.NoError(t, err)
	require.Equal(t, 2, r.startAfter(g, 0))
	require.Equal(t, -1, r.startAfter(g, 1), "small results take no room")
	alone, err := newGraph(stages[:1], []int{3})
	require.NoError(t, err)
	require.Equal(t, -1, r.startAfter(alone, 0))
}

func TestGraphGivesEachStageItsInputs(t *testing.T) {
	stages := []routing.Stage{{Service: "a"}, {Service: "b", After: []int{0}}, {Service: "c", After: []int{1}}, {Service: "a"}}
	g, err := newGraph(stages, []int{1, 2, 1, 0})
	require.NoError(t, err)
	g.handles[0], g.handles[1], g.handles[2] = []string{"a0"}, []string{"b0", "b1"}, []string{"c0"}
	require.Equal(t, []string{"b0", "b1"}, g.inputs(2))
	require.Equal(t, []string{"c0"}, g.results())
	_, err = newGraph(stages, []int{1})
	require.ErrorContains(t, err, "request has pieces for 1 stages, route has 4")
	_, err = newGraph([]routing.Stage{{After: []int{0}}}, []int{1})
	require.ErrorContains(t, err, "stage 0 comes after stage 0")
}
