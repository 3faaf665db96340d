package instance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/instance"
)

// Guards against hosts that end up with different limits: whatever the order in which reports of
// other hosts arrive, also twice, the newest holds, and of two at one time the lower limit.
func TestNewestReportOnALimitHolds(t *testing.T) {
	start, e := time.Unix(1000, 0), noticeEntry(1, 1)
	reports := []struct {
		perSecond float64
		named     bool
		after     time.Duration
	}{{3, true, 0}, {0, false, time.Second}, {2, true, 2 * time.Second}, {1, true, 2 * time.Second}, {0, false, 2 * time.Second}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		table := instance.NewTable(nil)
		listedAfter := random.IntN(2 * len(reports)) // the entry may arrive after the reports
		for n, i := range append(random.Perm(len(reports)), random.Perm(len(reports))...) {
			if n == listedAfter {
				table.Put(e)
			}
			table.MergeLimit(e.Process(), reports[i].perSecond, reports[i].named, start.Add(reports[i].after))
		}
		perSecond, namedAt, named := table.Limit(e.Process())
		require.True(t, named)
		require.Equal(t, 1.0, perSecond)
		require.Equal(t, start.Add(2*time.Second), namedAt)
		require.False(t, table.SetLimit(e.Process(), 1, true, start, start.Add(3*time.Second)), "the other hosts know")
		table.MergeLimit(e.Process(), 0, false, start.Add(2500*time.Millisecond))
		_, _, named = table.Limit(e.Process())
		require.True(t, named, "an answer to this host is newer than the withdrawal")
	}
}

// A withdrawal that arrives before an older limit, and before the entry, must not be forgotten.
func TestWithdrawalIsKnownBeforeTheEntry(t *testing.T) {
	table, e, now := instance.NewTable(nil), noticeEntry(1, 1), time.Unix(1000, 0)
	table.MergeLimit(e.Process(), 0, false, now)
	table.MergeLimit(e.Process(), 1, true, now.Add(-time.Second))
	table.Put(e)
	_, _, named := table.Limit(e.Process())
	require.False(t, named)
}

// A limit of one request a second was withdrawn, and each host waited for two answers of its own
// while all hosts got one a second. An answer whose call was sent long enough after the
// last answer with the limit withdraws it, and its host may ask at once.
func TestOneLaterAnswerWithdrawsALimit(t *testing.T) {
	table, e, now := instance.NewTable(nil), noticeEntry(1, 1), time.Unix(1000, 0)
	table.Put(e)
	table.MergeLimit(e.Process(), 0, true, now)
	table.Throttle(e.Process(), now.Add(10*time.Second))
	require.False(t, table.SetLimit(e.Process(), 0, false, now.Add(900*time.Millisecond), now.Add(2*time.Second)), "they may have been swapped")
	require.Empty(t, table.Service(e.Service, now.Add(2*time.Second)))
	require.True(t, table.SetLimit(e.Process(), 0, false, now.Add(time.Second), now.Add(1100*time.Millisecond)))
	_, _, named := table.Limit(e.Process())
	require.False(t, named)
	require.Len(t, table.Service(e.Service, now.Add(1100*time.Millisecond)), 1)
}

// Guards against hosts that send requests to an upstream that has asked another one for a pause,
// and against upstreams that stay unused: after the named time, because a host that is
// overloaded everywhere reports most of a service's upstreams, or for another process.
func TestReportedPauseEndsWithItsTimeAndSparesHalfTheUpstreams(t *testing.T) {
	table, now := instance.NewTable(nil), time.Unix(1000, 0)
	var all []instance.Entry
	for _, id := range []instance.ID{"a", "b", "c", "d"} {
		e := noticeEntry(1, 1)
		e.ID = id
		all = append(all, e)
		table.Put(e)
	}
	service, until := all[0].Service, now.Add(2*time.Second)
	require.True(t, table.Pause(all[3].Process(), until, now))
	require.False(t, table.Pause(all[3].Process(), until, now.Add(time.Millisecond)), "the other hosts know")
	table.ReportPause(all[0].Process(), until, now)
	require.False(t, table.Pause(instance.Process{ID: "x"}, now, now))
	require.Len(t, table.Service(service, now), 2)
	require.Equal(t, []instance.ID{"a", "d"}, table.Withheld(service, now))
	require.Equal(t, instance.ExcludedReported, table.Exclusions(service, "", now)[0].Reason)
	require.Len(t, table.Service(service, until), 4)
	table.ReportPause(all[1].Process(), until, now)
	require.Len(t, table.Service(service, now), 3, "only the one that refused this host is left out")
	_, paused := table.FirstBack(service, now)
	require.False(t, paused)
	next := noticeEntry(5, 2)
	next.ID = "a"
	table.Put(next)
	require.Len(t, table.Service(service, now), 2, "another process has the ID, so that b is the only reported one")
	table.MarkUnreachable("c", now)
	require.Len(t, table.Service(service, now), 2)
	table.MarkUnreachable("a", now)
	require.Len(t, table.Service(service, now), 3, "b is the only one left that works")
	table.ReportPause(all[2].Process(), now.Add(time.Hour), now)
	require.Len(t, table.Service(service, now.Add(instance.MaxReportedPause)), 4)
}
