package instance_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

func noticeEntry(revision int64, startMS int64) instance.Entry {
	return instance.Entry{ID: "a", Service: "s", Revision: revision, StartTime: time.UnixMilli(startMS)}
}

// An upstream that has said in an answer that it leaves must not get new work
// because its entry is written again, lapses and returns, or is read anew.
func TestLeavingSaidInAnswerOutlastsTheEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, later := range map[string]func(*instance.Table){
		"newer revision":    func(t *instance.Table) { t.Put(noticeEntry(2, 1)) },
		"leaving, then not": func(t *instance.Table) { e := noticeEntry(2, 1); e.Leaving = true; t.Put(e); t.Put(noticeEntry(3, 1)) },
		"removed and back":  func(t *instance.Table) { t.Remove("a", infra.Position{Revision: 2}); t.Put(noticeEntry(3, 1)) },
		"other address": func(t *instance.Table) {
			e := noticeEntry(2, 1)
			e.Addr = netip.MustParseAddrPort("10.0.0.1:1")
			t.Put(e)
		},
		"complete listing": func(t *instance.Table) {
			t.Replace(nil, infra.Position{Revision: 2})
			t.Replace([]instance.Entry{noticeEntry(4, 1)}, infra.Position{Revision: 4})
		},
		"time of other zone": func(t *instance.Table) { e := noticeEntry(2, 1); e.StartTime = e.StartTime.UTC(); t.Put(e) },
	} {
		table := instance.NewTable(nil)
		table.Put(noticeEntry(1, 1))
		table.MarkLeaving(noticeEntry(1, 1).Process(), time.Unix(1000, 0))
		later(table)
		require.Empty(t, table.Service("s", now), name)
		require.Equal(t, []instance.ID{"a"}, table.Withheld("s", time.Unix(1000, 0)), name)
		_, begun := table.Begin("a", 0)
		require.False(t, begun, name)
	}
}

// The answer may arrive while the entry has lapsed.
func TestLeavingSaidWhileEntryIsGoneIsKept(t *testing.T) {
	table := instance.NewTable(nil)
	table.Put(noticeEntry(1, 1))
	table.Remove("a", infra.Position{Revision: 2})
	table.MarkLeaving(noticeEntry(1, 1).Process(), time.Unix(1000, 0))
	table.Put(noticeEntry(3, 1))
	require.Empty(t, table.Service("s", time.Unix(1000, 0)))
}

// A new process must not inherit that an earlier one under its ID was leaving,
// nor a late answer of that one.
func TestNewProcessIsNotLeavingAsTheFormerOne(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(noticeEntry(1, 1))
	table.MarkLeaving(noticeEntry(1, 1).Process(), time.Unix(1000, 0))
	table.Put(noticeEntry(2, 2))
	require.Equal(t, []instance.ID{"a"}, healthyIDs(table, now))
	table.MarkLeaving(noticeEntry(1, 1).Process(), time.Unix(1000, 0))
	require.Equal(t, []instance.ID{"a"}, healthyIDs(table, now))
	require.Empty(t, table.Withheld("s", time.Unix(1000, 0)))
	table.Put(noticeEntry(3, 1))
	require.Empty(t, healthyIDs(table, now), "the former process again")
}

// What an upstream told this host must not reach other hosts as if its entry
// said so.
func TestEntriesForOtherHostsAreThoseOfTheStore(t *testing.T) {
	table := instance.NewTable(nil)
	table.Put(noticeEntry(1, 1))
	table.MarkLeaving(noticeEntry(1, 1).Process(), time.Unix(1000, 0))
	entries, _, _ := table.ChangesSince(infra.Position{})
	require.Equal(t, []instance.Entry{noticeEntry(1, 1)}, entries)
	require.Equal(t, entries, table.Entries())
}

// The change is reported once, with what told of it.
func TestLeavingIsReportedOnceWithItsSource(t *testing.T) {
	var changes []instance.Change
	table := instance.NewTable(func(c instance.Change) {
		if c.Kind == "leaving" {
			changes = append(changes, c)
		}
	})
	table.Put(noticeEntry(1, 1))
	table.MarkLeaving(noticeEntry(1, 1).Process(), time.Unix(1000, 0))
	table.MarkLeaving(noticeEntry(1, 1).Process(), time.Unix(1000, 0))
	e := noticeEntry(2, 1)
	e.Leaving = true
	table.Put(e)
	require.Len(t, changes, 1)
	require.Equal(t, instance.SourceAnswer, changes[0].Source)
}

// Processes come and go for months; what they said must not fill the memory.
func TestNoticesOfGoneProcessesAreBounded(t *testing.T) {
	table := instance.NewTable(nil)
	for i := range 20_000 {
		table.MarkLeaving(instance.Process{ID: instance.ID(fmt.Sprint("up-", i))}, time.Unix(1000, 0))
	}
	require.Less(t, table.KeptNotices(), 5000)
	table.Put(instance.Entry{ID: "up-19999", Service: "s", Revision: 1})
	require.Empty(t, table.Service("s", time.Unix(1000, 0)), "the newest are kept")
}
