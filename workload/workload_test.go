package workload

import (
	"math"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
)

var testNow = time.Unix(1000, 0)

func testEntry(id string) instance.Entry {
	return instance.Entry{ID: instance.ID(id), Service: "s", StartTime: time.Unix(1, 0)}
}

// The load is an upstream whose pace jumps between 1 and 2.5 every 600 ms and that reports it
// every 100 ms. Guards against a filter that lags behind a jump by more than 200 ms.
func TestPaceFollowsJumps(t *testing.T) {
	table := NewTable(nil)
	for i := range 60 {
		at, pace := time.Duration(i)*100*time.Millisecond, []float64{1, 2.5}[i/6%2]
		table.Report(testEntry("a"), call.Load{Pace: pace}, testNow.Add(at))
		if i%6 >= 2 {
			require.InDelta(t, pace, table.State(testEntry("a").Process(), testNow.Add(at)).Pace, 0.25, at)
		}
	}
}

// Guards against an old report that counts for ever: after some seconds the upstream is one
// about which nothing is known.
func TestOldReportLosesItsWeight(t *testing.T) {
	table, process := NewTable(nil), testEntry("a").Process()
	table.Report(testEntry("a"), call.Load{Running: 3, Waiting: 2, Slots: 4, Pace: 2.5}, testNow)
	require.Equal(t, State{Known: true, Weight: 1, Pace: 2.5, Outstanding: 5, Slots: 4, Slowness: 1}, table.State(process, testNow))
	half := table.State(process, testNow.Add(reportHalfLife))
	require.InDelta(t, 1.75, half.Pace, 1e-9)
	require.InDelta(t, 0.5, half.Weight, 1e-9)
	old := table.State(process, testNow.Add(10*time.Second))
	require.InDelta(t, 1, old.Pace, 0.001)
	require.InDelta(t, 0, old.Weight, 0.001)
	earlier := table.State(process, testNow.Add(-time.Second))
	require.Equal(t, 2.5, earlier.Pace, "a clock that goes back")
}

// Guards against the load of a former process that is taken for that of the new one, and
// against a table that is off.
func TestUnknownUpstreams(t *testing.T) {
	table := NewTable(nil)
	table.Report(testEntry("a"), call.Load{Slots: 4}, testNow)
	require.Equal(t, 1.0, table.State(testEntry("a").Process(), testNow).Pace, "no pace was reported")
	next := testEntry("a")
	next.StartTime = time.Unix(2, 0)
	require.Equal(t, unknown, table.State(next.Process(), testNow))
	table.Remove("a")
	require.Equal(t, unknown, table.State(testEntry("a").Process(), testNow))
	for _, pace := range []float64{0, -1, 1e9, math.NaN(), math.Inf(1)} {
		table.ReportPace(testEntry("a"), pace, testNow)
		require.Equal(t, unknown, table.State(testEntry("a").Process(), testNow), pace)
	}
	var off *Table
	off.Report(testEntry("a"), call.Load{Slots: 4}, testNow)
	off.Observe(Class{}, testEntry("a"), time.Second, testNow)
	off.Remove("a")
	require.Equal(t, unknown, off.State(testEntry("a").Process(), testNow))
}

// Guards against a log line for each malformed report, and against a valid one that is lost
// because of a malformed one.
func TestMalformedReportsAreCountedAndLoggedOnce(t *testing.T) {
	registry := prometheus.NewRegistry()
	table := NewTable(registry)
	table.Report(testEntry("a"), call.Load{Running: 1, Slots: 4, Pace: 2}, testNow)
	require.True(t, table.ReportMalformed(testEntry("a"), testNow))
	require.False(t, table.ReportMalformed(testEntry("a"), testNow))
	require.True(t, table.ReportMalformed(testEntry("b"), testNow))
	require.Equal(t, 2.0, table.State(testEntry("a").Process(), testNow).Pace)
	require.Equal(t, 3.0, testutil.ToFloat64(table.metrics.reports.WithLabelValues("s", "malformed")))
	n, err := testutil.GatherAndCount(registry, "seam_upstream_pace", "seam_upstream_reported_load")
	require.NoError(t, err)
	require.Equal(t, 2+3, n, "series of one service")
}

// The load is three upstreams, one of them three times as slow, with requests of 10 and 40 ms
// whose pace is 1 or 2. Guards against a cost that depends on the pace at the time, against
// large requests that are estimated as small ones, and against a slow upstream that is not seen.
func TestCostIsLearnedRelativeToPace(t *testing.T) {
	table, now := NewTable(nil), testNow
	small, large := ClassOf("r", "s", Shape{BodyBytes: 100}), ClassOf("r", "s", Shape{BodyBytes: 100_000})
	for i := range 3000 {
		now = now.Add(5 * time.Millisecond)
		entry, pace, slowness := testEntry([]string{"a", "b", "slow"}[i%3]), float64(1+i/7%2), []float64{1, 1, 3}[i%3]
		table.Report(entry, call.Load{Slots: 4, Pace: pace}, now)
		table.Report(entry, call.Load{Slots: 4, Pace: pace}, now.Add(time.Second))
		class, cost := small, 10*time.Millisecond
		if i%2 == 0 {
			class, cost = large, 40*time.Millisecond
		}
		table.Observe(class, entry, time.Duration(float64(cost)*pace*slowness), now.Add(time.Second))
	}
	now = now.Add(time.Second)
	got, known := table.Cost(small, now)
	require.True(t, known)
	require.InDelta(t, 10*5/3.0, float64(got.Mean.Microseconds())/1000, 5)
	require.Positive(t, got.Spread)
	got, _ = table.Cost(large, now)
	require.InDelta(t, 40*5/3.0, float64(got.Mean.Microseconds())/1000, 20)
	slow, fast := table.State(testEntry("slow").Process(), now).Slowness, table.State(testEntry("a").Process(), now).Slowness
	require.Greater(t, slow, 2*fast)
	_, known = table.Cost(ClassOf("other", "s", Shape{}), now)
	require.True(t, known, "the mean of the service")
	_, known = table.Cost(ClassOf("r", "other", Shape{}), now)
	require.False(t, known)
	recent, _ := table.Cost(small, now)
	old, _ := table.Cost(small, now.Add(time.Hour))
	require.Greater(t, old.Mean, recent.Mean*3/2, "an old class returns to the mean of the service")
}

// Guards against memory that grows with the classes and upstreams that were ever seen.
func TestClassesAndUpstreamsAreBounded(t *testing.T) {
	table := NewTable(nil)
	for i := range maxClasses + 100 {
		table.Observe(Class{Route: string(rune(i + 256)), Service: "s"}, testEntry("a"), time.Second, testNow.Add(time.Duration(i)))
	}
	require.LessOrEqual(t, len(table.costs), maxClasses)
	require.Contains(t, table.costs, Class{Service: "s"})
	for i := range maxUpstreams + 1 {
		table.Report(testEntry(string(rune(i+256))), call.Load{}, testNow.Add(time.Duration(i)))
	}
	require.Len(t, table.upstreams, maxUpstreams)
}
