package instance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// healthyIDs returns the upstreams of service "s" that are not ejected.
func healthyIDs(t *instance.Table, now time.Time) (all []instance.ID) {
	for _, s := range t.Service("s", now) {
		if !s.Ejected {
			all = append(all, s.ID)
		}
	}
	return all
}

// begin counts a request as running on upstream "a".
func begin(t *testing.T, table *instance.Table, tokens int) *instance.Use {
	t.Helper()
	use, begun := table.Begin("a", tokens)
	require.True(t, begun)
	return use
}

func TestOlderRevisionsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 5})
	table.Put(instance.Entry{ID: "a", Service: "s", Leaving: true, Revision: 7})
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 6})
	_, begun := table.Begin("a", 0)
	require.False(t, begun, "an older revision does not bring a leaving upstream back")
	table.Remove("a", infra.Position{Revision: 9})
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 8})
	require.Empty(t, healthyIDs(table, now))
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 10})
	require.Equal(t, []instance.ID{"a"}, healthyIDs(table, now))
}

func TestReplaceRemovesMissingButKeepsNewerEntries(t *testing.T) {
	table := instance.NewTable(nil)
	table.Put(instance.Entry{ID: "old", Service: "s", Revision: 3})
	table.Put(instance.Entry{ID: "new", Service: "s", Revision: 20})
	table.Replace([]instance.Entry{{ID: "kept", Service: "s", Revision: 8}}, infra.Position{Revision: 10})
	require.Equal(t, []instance.ID{"kept", "new"}, healthyIDs(table, time.Unix(1000, 0)))
}

func TestNewProcessWithOldIDStartsWithoutHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 1, StartTime: time.UnixMilli(1)})
	former := begin(t, table, 100)
	table.MarkUnreachable("a", now)
	require.Empty(t, healthyIDs(table, now))
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 2, StartTime: time.UnixMilli(2)})
	all := table.Service("s", now)
	require.Len(t, all, 1)
	require.False(t, all[0].Ejected)
	require.Zero(t, all[0].InFlight)
	begin(t, table, 50)
	former.End(instance.Unreachable, 0, now)
	all = table.Service("s", now)
	require.Equal(t, 1, all[0].InFlight, "a request to the former process does not affect the new one")
	require.Equal(t, 50, all[0].Tokens)
	require.False(t, all[0].Ejected)
}

func TestConsecutiveFailuresEjectTemporarily(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 1})
	begin(t, table, 0).End(instance.Broke, 0, now)
	require.Equal(t, []instance.ID{"a"}, healthyIDs(table, now), "one broken call may be the request's fault")
	begin(t, table, 0).End(instance.Broke, 0, now)
	require.Empty(t, healthyIDs(table, now))
	require.Equal(t, []instance.ID{"a"}, healthyIDs(table, now.Add(5*time.Second)))
	_, begun := table.Begin("a", 0)
	require.True(t, begun, "an ejected upstream can still be used")
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 1})
	begin(t, table, 100)
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 2, Leaving: true})
	_, begun := table.Begin("a", 100)
	require.False(t, begun, "a leaving upstream gets no new work")
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 3})
	require.Equal(t, 1, table.Service("s", now)[0].InFlight)
}

// Guards against work of one software version that is counted for another: a new
// version under an old ID is a new process, also if its start time is unknown.
func TestNewVersionUnderOldIDIsANewProcess(t *testing.T) {
	var kinds []string
	table := instance.NewTable(func(c instance.Change) { kinds = append(kinds, c.Kind+" "+c.Version) })
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 1, Version: "v1"})
	begin(t, table, 100)
	table.MarkUnreachable("a", time.Unix(1000, 0))
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 2, Version: "v2"})
	require.Equal(t, []string{"added v1", "added v2"}, kinds)
	got := table.Service("s", time.Unix(1000, 0))
	require.Len(t, got, 1)
	require.Zero(t, got[0].InFlight)
	require.False(t, got[0].Ejected)
	require.Equal(t, got, instance.OfVersion(got, ""))
	require.Equal(t, got, instance.OfVersion(got, "v2"))
	require.Empty(t, instance.OfVersion(got, "v1"))
}

// Guards against a stream of an unknown version that goes on at the only version
// listed, while it may have begun at one that leaves or was removed shortly before.
func TestVersionsIncludeLeavingAndRecentlyRemovedUpstreams(t *testing.T) {
	table := instance.NewTable(nil)
	table.Put(instance.Entry{ID: "a", Service: "s", Revision: 1, Version: "v1"})
	table.Put(instance.Entry{ID: "b", Service: "s", Revision: 2, Version: "v2", Leaving: true})
	table.Put(instance.Entry{ID: "c", Service: "s", Revision: 3, Version: "v3"})
	table.Put(instance.Entry{ID: "d", Service: "other", Revision: 4, Version: "v4"})
	versions := func(service string, removedAfter time.Time) []string {
		all, _ := table.Versions(service, removedAfter)
		return all
	}
	hourAgo := time.Now().Add(-time.Hour)
	require.ElementsMatch(t, []string{"v1", "v2", "v3"}, versions("s", hourAgo))
	table.Remove("b", infra.Position{Revision: 5})
	table.Put(instance.Entry{ID: "c", Service: "s", Revision: 6, Version: "v5"})
	require.ElementsMatch(t, []string{"v1", "v2", "v3", "v5"}, versions("s", hourAgo))
	require.ElementsMatch(t, []string{"v1", "v5"}, versions("s", time.Now()))
	require.Empty(t, versions("none", hourAgo))
	_, complete := table.Versions("s", hourAgo)
	require.False(t, complete, "the table was created later")
	_, complete = table.Versions("s", time.Now())
	require.True(t, complete)
}

// Guards against a version that counts as the only one, although another may have come and
// left while the table was not kept up to date.
func TestVersionsAreIncompleteAfterMissedChanges(t *testing.T) {
	complete := func(table *instance.Table, since time.Time) bool {
		_, complete := table.Versions("s", since)
		return complete
	}
	for name, change := range map[string]struct {
		apply  func(*instance.Table)
		missed bool
	}{
		"known upstream removed":   {apply: func(t *instance.Table) { t.Remove("a", infra.Position{Revision: 5}) }},
		"unreadable entry":         {apply: func(t *instance.Table) { t.Discard("b", infra.Position{Revision: 5}) }},
		"unknown upstream removed": {apply: func(t *instance.Table) { t.Remove("b", infra.Position{Revision: 5}) }, missed: true},
		"listing read again":       {apply: func(t *instance.Table) { t.MarkGap(infra.Position{}, time.Now()) }, missed: true},
	} {
		table := instance.NewTable(nil)
		table.Put(instance.Entry{ID: "a", Service: "s", Revision: 1, Version: "v1"})
		before := time.Now()
		change.apply(table)
		require.Equal(t, !change.missed, complete(table, before), name)
		require.True(t, complete(table, time.Now()), name)
		before = time.Now()
		table.Remove("a", infra.Position{Revision: 6})
		table.Remove("a", infra.Position{Revision: 7})
		require.True(t, complete(table, before), "%s: an upstream that was known is removed twice", name)
	}
}
