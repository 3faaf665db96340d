package instance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// The copy lists upstream "a" as ready at revision 100, but it has left since or has a
// successor. Guards against a host that started later and uses what the copy lists, whether it
// learns the last state before or after it reads the copy, and from a host in the former era or
// the new one; and against refusing what was written since.
func TestLastStateOverrulesTheCopyBeforeAndAfterItIsRead(t *testing.T) {
	now, began, asOf := time.Unix(1000, 0), infra.Position{Era: 1, Revision: 130}, infra.Position{Era: 1, Revision: 131}
	successor, next := entryAt(0, 150, false), entryAt(1, 131, false)
	successor.StartTime, next.StartTime = time.UnixMilli(60), time.UnixMilli(70)
	for name, change := range map[string]func(teller *instance.Table){
		"removed":   func(teller *instance.Table) { teller.Remove("a", infra.Position{Revision: 150}) },
		"leaving":   func(teller *instance.Table) { teller.Put(entryAt(0, 150, true)) },
		"succeeded": func(teller *instance.Table) { teller.Put(successor) },
	} {
		for n := range 4 {
			newEra, late := n&1 > 0, n&2 > 0
			t.Run(fmt.Sprintf("%s, from the new era: %t, late: %t", name, newEra, late), func(t *testing.T) {
				teller, table := instance.NewTable(nil), instance.NewTable(nil)
				teller.Put(entryAt(0, 100, false))
				change(teller)
				if newEra {
					teller.Put(entryAt(1, 100, false))
				}
				require.Len(t, table.Unseen(map[instance.ID]infra.Position{"a": {Era: 1, Revision: 100}}), 1)
				states := teller.LastStates([]instance.ID{"a"}, 1, 10)
				table.BeginEra(began)
				if late {
					table.Put(entryAt(1, 100, false))
					table.Learn(states[0], began)
				} else {
					table.Learn(states[0], infra.Position{}) // before the first listing
					table.Put(entryAt(1, 100, false))
				}
				for _, s := range table.Service("s", now) {
					require.True(t, s.StartTime.Equal(successor.StartTime), "the copy's process gets nothing")
				}
				require.Equal(t, name == "succeeded", len(healthyIDs(table, now)) == 1)
				if name == "removed" {
					table.Put(entryAt(1, 131, false))
					table.Learn(states[0], asOf)
					require.Len(t, healthyIDs(table, now), 1, "it has registered again, at a revision below its last")
				}
				next.Revision++
				table.Put(next)
				table.Learn(states[0], asOf)
				require.Len(t, healthyIDs(table, now), 1, "the next process")
			})
		}
	}
}

// Guards against answers that grow with the number of removals, here 20,000, and against a host
// that is not told of the newest ones.
func TestLastStatesAreBounded(t *testing.T) {
	const removals, limit, maxBytes = 20_000, 1024, 256 << 10
	table, told := instance.NewTable(nil), instance.NewTable(nil)
	for i := range int64(removals) {
		e := entryAt(0, 2*i+1, false)
		e.ID, e.Version = instance.ID(fmt.Sprint("upstream-in-riga-a-", i)), "2026.12.7"
		table.Put(e)
		table.Remove(e.ID, infra.Position{Revision: 2*i + 2})
	}
	states := table.LastStates(nil, 0, limit)
	require.Len(t, states, limit)
	require.EqualValues(t, 2*removals, states[0].Revision)
	require.EqualValues(t, 2*(removals-limit+1), states[limit-1].Revision)
	raw, err := cbor.Marshal(states)
	require.NoError(t, err)
	require.Less(t, len(raw), maxBytes)
	for _, s := range states {
		told.Learn(s, infra.Position{Revision: 2 * removals})
	}
	require.Equal(t, states, told.LastStates(nil, 0, removals), "what is learnt is passed on")
}
