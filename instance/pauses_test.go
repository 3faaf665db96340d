package instance_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// A paused upstream must get nothing although it is the only one, and must be used
// again when the pause ends.
func TestPausedUpstreamIsNotUsedUntilThePauseEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(noticeEntry(1, 1))
	table.Pause(noticeEntry(1, 1).Process(), now.Add(2*time.Second), now)
	require.Empty(t, table.Service("s", now.Add(1999*time.Millisecond)))
	require.Len(t, table.ServiceOfFleet("s", now), 1, "other hosts may use it")
	require.Equal(t, []instance.ID{"a"}, table.Withheld("s", now))
	require.Len(t, table.Service("s", now.Add(2*time.Second)), 1)
	require.Empty(t, table.Withheld("s", now.Add(2*time.Second)))
}

// A shorter pause in a later answer must not end a longer one, nor may a newer
// entry of the same process. A new process is not paused.
func TestLongestPauseOfAProcessHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(noticeEntry(1, 1))
	table.Pause(noticeEntry(1, 1).Process(), now.Add(3*time.Second), now)
	table.Pause(noticeEntry(1, 1).Process(), now.Add(time.Second), now)
	table.Put(noticeEntry(2, 1))
	table.Remove("a", infra.Position{Revision: 3})
	require.True(t, table.IsPaused(noticeEntry(1, 1).Process(), netip.AddrPort{}, now.Add(2*time.Second)), "while its entry is gone")
	table.Put(noticeEntry(4, 1))
	require.Empty(t, table.Service("s", now.Add(2*time.Second)))
	table.Put(noticeEntry(5, 2))
	require.Len(t, table.Service("s", now), 1)
	require.False(t, table.IsPaused(noticeEntry(5, 2).Process(), netip.AddrPort{}, now))
}

// Callers who are refused are told when the first upstream is back, but only if
// none may be used.
func TestFirstBackIsTheEarliestEndOfAllPauses(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	_, paused := table.FirstBack("s", now)
	require.False(t, paused)
	for i, id := range []instance.ID{"a", "b", "c", "d"} {
		table.Put(instance.Entry{ID: id, Service: "s", Revision: 1, Leaving: id == "d", Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))})
	}
	for i, id := range []instance.ID{"c", "b", "a"} {
		_, paused := table.FirstBack("s", now)
		require.False(t, paused, "%q may be used", id)
		table.Pause(instance.Process{ID: id}, now.Add(time.Duration(i+1)*time.Second), now)
	}
	first, paused := table.FirstBack("s", now)
	require.True(t, paused)
	require.Equal(t, now.Add(time.Second), first)
	require.True(t, table.IsPaused(instance.Process{}, netip.MustParseAddrPort("10.0.0.1:2"), now), "known by its address only")
	require.False(t, table.IsPaused(instance.Process{}, netip.MustParseAddrPort("10.0.0.1:4"), now))
	until, paused := table.PausedUntil("b", now)
	require.True(t, paused)
	require.Equal(t, now.Add(2*time.Second), until)
}

// Hundreds of requests may be turned away together; the log must not get a line
// for each.
func TestPauseIsReportedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var reported []time.Time
	table := instance.NewTable(func(c instance.Change) {
		if c.Kind == "paused" {
			reported = append(reported, c.Until)
		}
	})
	table.Put(noticeEntry(1, 1))
	for i := range 100 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		table.Pause(noticeEntry(1, 1).Process(), at.Add(2*time.Second), at)
	}
	table.Pause(noticeEntry(1, 1).Process(), now.Add(9*time.Second), now)
	require.Equal(t, []time.Time{now.Add(2 * time.Second), now.Add(9 * time.Second)}, reported)
}
