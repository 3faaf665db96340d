package instance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// entryAt returns the entry of upstream "a" of service "s" at a position.
func entryAt(era, revision int64, leaving bool) instance.Entry {
	return instance.Entry{
		ID: "a", Service: "s", StartTime: time.UnixMilli(50), Era: era, Revision: revision, Leaving: leaving,
	}
}

// Guards against the loss of an upstream's leaving: after the store's return
// from a copy its revisions are lower than before.
func TestNewEraOutranksHigherRevisionsOfFormerEra(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(entryAt(1, 150, false))
	table.Put(entryAt(2, 101, true))
	require.Empty(t, healthyIDs(table, now))
	table.Put(entryAt(1, 160, false))
	require.Empty(t, healthyIDs(table, now), "late news of the former era changes nothing")
	table.Remove("a", infra.Position{Era: 1, Revision: 170})
	_, known := table.Lookup("a")
	require.True(t, known, "a late removal of the former era changes nothing")
}

// Guards against new work for a leaving process that an old copy lists as ready.
func TestProcessThatWasLeavingStaysSoInNewEra(t *testing.T) {
	now := time.Unix(1000, 0)
	var kinds []string
	table := instance.NewTable(func(c instance.Change) { kinds = append(kinds, c.Kind) })
	table.Put(entryAt(1, 100, false))
	table.Put(entryAt(1, 150, true))
	table.Put(entryAt(2, 100, false))
	require.Empty(t, healthyIDs(table, now), "the copy's entry")
	require.Equal(t, []string{"added", "leaving", "kept leaving"}, kinds, "the decision is logged")
	table.Put(entryAt(2, 151, false))
	require.Empty(t, healthyIDs(table, now), "an older write that was written again")
	_, begun := table.Begin("a", 0)
	require.False(t, begun)

	relayed := instance.NewTable(nil)
	relayed.Put(table.Entries()[0])
	relayed.Put(entryAt(2, 152, false))
	require.Empty(t, healthyIDs(relayed, now), "a host that learnt it from another one")

	restarted := entryAt(2, 153, false)
	restarted.StartTime = time.UnixMilli(60)
	table.Put(restarted)
	require.Equal(t, []instance.ID{"a"}, healthyIDs(table, now), "the next process with the ID is not leaving")
}

// Guards against new work for a removed upstream that an old copy still lists,
// and against the loss of one that writes itself again.
func TestRemovedUpstreamInCopyIsIgnoredUntilItIsWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(entryAt(1, 100, false))
	table.Remove("a", infra.Position{Era: 1, Revision: 150})
	table.Put(entryAt(2, 100, false))
	require.Empty(t, healthyIDs(table, now), "the copy's entry")
	_, removals, known := table.ChangesSince(infra.Position{Era: 2, Revision: 99})
	require.True(t, known)
	require.Equal(t, []instance.Removal{{ID: "a", Era: 2, Revision: 100}}, removals, "other hosts learn that it is gone")
	table.Put(entryAt(2, 101, false))
	require.Equal(t, []instance.ID{"a"}, healthyIDs(table, now), "it has written itself again")
}

// Guards against the loss of an upstream that the copy lacked: its entry was
// removed in the new era, and it comes back with a revision far below its last.
func TestUpstreamRemovedInNewEraReturnsWithLowerRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.Put(entryAt(1, 150, false))
	table.Remove("a", infra.Position{Era: 2, Revision: 100})
	require.Empty(t, healthyIDs(table, now))
	table.Put(entryAt(2, 101, false))
	require.Equal(t, []instance.ID{"a"}, healthyIDs(table, now))
}

// Guards against calls to a process that has been replaced: the copy lists the
// one that had the ID before.
func TestFormerProcessInCopyDoesNotReplaceItsSuccessor(t *testing.T) {
	table := instance.NewTable(nil)
	table.Put(entryAt(1, 100, false))
	successor := entryAt(1, 150, false)
	successor.StartTime = time.UnixMilli(60)
	table.Put(successor)
	table.Put(entryAt(2, 100, false))
	e, known := table.Lookup("a")
	require.True(t, known)
	require.Equal(t, time.UnixMilli(60), e.StartTime)
	require.Equal(t, infra.Position{Era: 2, Revision: 100}, e.Position())
	table.Remove("a", infra.Position{Era: 2, Revision: 101})
	_, known = table.Lookup("a")
	require.False(t, known, "a removal in the new era holds")
}

// Guards against a listing of the new era that keeps what only the former era
// had, because its revision is higher.
func TestReplaceInNewEraRemovesHigherRevisionsOfFormerEra(t *testing.T) {
	table := instance.NewTable(nil)
	table.Put(entryAt(1, 150, false))
	table.Replace([]instance.Entry{{ID: "kept", Service: "s", Era: 2, Revision: 90}}, infra.Position{Era: 2, Revision: 100})
	require.Equal(t, []instance.ID{"kept"}, healthyIDs(table, time.Unix(1000, 0)))
}
