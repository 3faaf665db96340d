package staging

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/routing"
)

var testSpec = &routing.StageServer{
	Concurrency: 1, BatchSize: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond,
	ResultMemory: 36e6, ResultTTL: 4 * time.Second,
}

func testGroup(id string, pieces int, target time.Duration) Group {
	return Group{RequestID: id, Pieces: pieces, RemainingToTarget: target, Remaining: 5 * time.Second}
}

func newTestQueue(now time.Time, groups ...Group) (*queue, map[string][]call.PieceResult) {
	q, ended := &queue{}, make(map[string][]call.PieceResult)
	for _, g := range groups {
		q.push(newWorkItem(g, now, func(r []call.PieceResult) { ended[g.RequestID] = r }))
	}
	q.sort(now, testSpec.CallTime)
	return q, ended
}

func batchSummary(parts []batchPart) (all []string) {
	for _, p := range parts {
		all = append(all, fmt.Sprintf("%s:%d", p.item.RequestID, len(p.pieces)))
	}
	return all
}

const fullMemory = int64(36e6)

func TestUrgentGroupsGoFirstAndLateOnesLast(t *testing.T) {
	now := time.Unix(1000, 0)
	q, _ := newTestQueue(now, testGroup("late", 2, 0), testGroup("soon", 3, 400*time.Millisecond), testGroup("sooner", 3, 300*time.Millisecond))
	require.Equal(t, []string{"sooner:3", "soon:3", "late:2"}, batchSummary(q.takeBatch(now, testSpec, fullMemory, locality{})))
	require.Empty(t, q.waiting)
}

func TestPriorityOutweighsSmallTargetDifferences(t *testing.T) {
	now := time.Unix(1000, 0)
	low := testGroup("low", 4, 400*time.Millisecond)
	low.Priority = 2
	far := testGroup("far", 8, 1700*time.Millisecond)
	near := testGroup("near", 4, 500*time.Millisecond)
	q, _ := newTestQueue(now, low, far, near)
	require.Equal(t, []string{"near:4", "low:4"}, batchSummary(q.takeBatch(now, testSpec, fullMemory, locality{})))
}

// Guards against a malformed priority of another host that puts its groups first.
func TestAbsurdPriorityGoesLastOrCountsAsMostUrgent(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, target := range []time.Duration{0, time.Second} { // late and in time
		q, _ := newTestQueue(now, classGroup("negative", math.MinInt64/2, 1, target+10*time.Millisecond), classGroup("huge", math.MaxInt64/3, 1, target),
			classGroup("resumed", -1, 1, target), classGroup("usual", 0, 1, target))
		for _, w := range q.waiting {
			w.deadline = w.target // the order of late groups
		}
		q.sort(now, testSpec.FullBatchTime())
		require.Equal(t, []string{"resumed:1", "negative:1", "usual:1", "huge:1"}, batchSummary(q.takeBatch(now, testSpec, fullMemory, locality{})))
	}
}

func TestGroupsStayWholeUnlessQueueExceedsBatch(t *testing.T) {
	now := time.Unix(1000, 0)
	q, _ := newTestQueue(now, testGroup("a", 5, time.Second), testGroup("b", 3, 2*time.Second))
	require.Equal(t, []string{"a:5", "b:3"}, batchSummary(q.takeBatch(now, testSpec, fullMemory, locality{})))
	q, _ = newTestQueue(now, testGroup("a", 5, time.Second), testGroup("b", 5, 2*time.Second))
	require.Equal(t, []string{"a:5", "b:3"}, batchSummary(q.takeBatch(now, testSpec, fullMemory, locality{})), "a full call takes precedence over keeping groups whole")
	require.Equal(t, 2, q.totalPieces())
}

func TestResultsMustFitTheServersMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	heavy := testGroup("heavy", 4, time.Second)
	heavy.ResultBytes = 3e6
	light := testGroup("light", 1, 2*time.Second)
	q, _ := newTestQueue(now, heavy, light)
	require.Equal(t, []string{"heavy:2", "light:1"}, batchSummary(q.takeBatch(now, testSpec, 7e6, locality{})))
	require.Equal(t, 2, q.totalPieces())
}

// A group that is late must not fill the memory that a group in time needs.
func TestLateLargeResultsLeaveMemoryFree(t *testing.T) {
	now := time.Unix(1000, 0)
	late := testGroup("late", 8, 0)
	late.ResultBytes = 3e6
	q, _ := newTestQueue(now, late)
	usable := testSpec.UsableResultMemory()
	used := int64(0)
	for {
		parts := q.takeBatch(now, testSpec, usable-used, locality{})
		if len(parts) == 0 {
			break
		}
		used += int64(len(parts[0].pieces)) * late.ResultBytes
	}
	require.LessOrEqual(t, float64(used), lateMemoryFraction*float64(testSpec.ResultMemory))
	require.Positive(t, used)
}

func TestLargeGroupsWaitBrieflyForPreferredDataCentre(t *testing.T) {
	now := time.Unix(1000, 0)
	g := testGroup("g", 4, time.Second)
	g.PreferredDataCentre, g.TransferBytes = "riga-a", 8<<20
	q, _ := newTestQueue(now, g)
	elsewhere := locality{dataCentre: "riga-b", servedDataCentres: map[host.DataCentre]bool{"riga-a": true, "riga-b": true}}
	require.Empty(t, q.takeBatch(now, testSpec, fullMemory, elsewhere))
	require.NotEmpty(t, q.takeBatch(now.Add(localityWait), testSpec, fullMemory, elsewhere))
	q, _ = newTestQueue(now, g)
	unserved := locality{dataCentre: "riga-b", servedDataCentres: map[host.DataCentre]bool{"riga-b": true}}
	require.NotEmpty(t, q.takeBatch(now, testSpec, fullMemory, unserved), "the preferred data centre has no servers")
}

// Groups that cannot meet their deadline must be refused at once rather than
// queued until it has passed.
func TestGroupsThatWillBeLateAreRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &serviceState{}
	s.pieceRate = rateEstimator{rate: 10, updated: now}
	s.byteRate = rateEstimator{rate: 1e9, updated: now}
	var groups []Group
	for i := range 10 {
		groups = append(groups, Group{RequestID: fmt.Sprint(i), Pieces: 8, RemainingToTarget: time.Second, Remaining: 3 * time.Second})
	}
	q, ended := newTestQueue(now, groups...)
	s.queue = *q
	runAll(s.refuseLate(now, testSpec))
	require.Len(t, ended, 6, "10 pieces per second leave time for 4 groups of 8")
	for _, results := range ended {
		require.Equal(t, call.PieceOverload, results[0].Failure)
	}
	extra := newWorkItem(Group{Pieces: 1, RemainingToTarget: time.Second, Remaining: 3 * time.Second}, now, nil)
	require.False(t, s.canMeetDeadline(extra, testSpec, now))
}

// The load of billing before notify. The results of billing fill its servers
// until notify has read them, so a notify group must not be served last even
// when it is late.
func TestGroupsWithScarceInputsAreNotDelayed(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := testGroup("holder", 8, 0)
	holder.ScarceInputs = true
	q, _ := newTestQueue(now, testGroup("fresh", 8, time.Second), holder)
	require.Equal(t, []string{"holder:8"}, batchSummary(q.takeBatch(now, testSpec, fullMemory, locality{})))
	r := NewRunner(RunnerConfig{Service: func(string) (*routing.Service, bool) {
		return &routing.Service{Stages: &routing.StageServer{ResultMemory: 18e5}}, true
	}}, link.NewMux())
	g := testGraph(t, []routing.Stage{{Service: "gate", ResultBytes: 8e3}, {Service: "billing", DependsOn: []int{0}, ResultBytes: 6e4},
		{Service: "notify", DependsOn: []int{1}, ResultBytes: 6e3}}, 1, 6, 16)
	require.False(t, r.hasScarceInputs(g, 1))
	require.True(t, r.hasScarceInputs(g, 2))
}

func TestUnknownRateRefusesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &serviceState{}
	for i := range 50 {
		s.queue.push(newWorkItem(testGroup(fmt.Sprint(i), 8, time.Second), now, nil))
	}
	require.True(t, s.canMeetDeadline(newWorkItem(testGroup("new", 1, time.Second), now, nil), testSpec, now))
}

func TestRateEstimatorFollowsLoadAndReturnsToCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	d := &rateEstimator{}
	d.update(now, true, 100)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		d.add(1)
		d.update(now, true, 100)
	}
	require.InDelta(t, 20, d.rate, 4)
	require.InDelta(t, 2, d.timeFor(40).Seconds(), 0.5)
	for range 300 {
		now = now.Add(50 * time.Millisecond)
		d.update(now, false, 100)
	}
	require.InDelta(t, 100, d.rate, 3)
}

func TestResultMemoryIsFreedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newResultMemory()
	r.reserve("a", 30)
	r.commit("h1", "a", 10, now, time.Second)
	r.commit("h2", "a", 10, now, time.Second)
	r.release("a", 10)
	r.free("h1", now)
	r.free("h1", now)
	require.EqualValues(t, 10, r.byServer["a"])
	r.expire(now.Add(2 * time.Second))
	require.Empty(t, r.byServer)
	require.Empty(t, r.byHandle)
}

// The pattern of quick-answer: a stage with large results runs in parallel to a
// chain of three stages. It must wait for the second of them, so that both
// branches end together and its results take memory for as short as possible.
func TestStageWithLargeResultsStartsLate(t *testing.T) {
	stages := []routing.Stage{
		{Service: "a", ResultBytes: 3e6}, {Service: "a", ResultBytes: 8e3},
		{Service: "b", DependsOn: []int{1}, ResultBytes: 6e4}, {Service: "c", DependsOn: []int{2}, ResultBytes: 6e3},
	}
	g := testGraph(t, stages, 1, 1, 8, 16)
	require.Equal(t, 2, g.startAfter(0))
	require.Equal(t, -1, g.startAfter(1), "small results need not wait")
	require.Equal(t, -1, testGraph(t, stages[:1], 3).startAfter(0))
}

func TestGraphGivesEachStageItsInputs(t *testing.T) {
	stages := []routing.Stage{{Service: "a"}, {Service: "b", DependsOn: []int{0}}, {Service: "c", DependsOn: []int{1}}, {Service: "a"}}
	g := testGraph(t, stages, 1, 2, 1, 0)
	g.handles[0], g.handles[1], g.handles[2] = []string{"a0"}, []string{"b0", "b1"}, []string{"c0"}
	require.Equal(t, []string{"b0", "b1"}, g.inputs(2))
	require.Equal(t, []string{"c0"}, g.results())
	_, err := NewPlan(g.graph, &call.Request{Pieces: []int{1}, PiecesKey: "k"})
	require.ErrorContains(t, err, "request has pieces for 1 stages, route has 4")
	_, err = routing.NewStageGraph([]routing.Stage{{DependsOn: []int{0}}})
	require.ErrorContains(t, err, "stage 0 comes after itself")
}
