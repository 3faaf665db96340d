package instance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
)

func TestOldestTombstonesArePrunedFirst(t *testing.T) {
	const removals = 20_000
	table := NewTable(nil)
	for i := range removals {
		id := ID(fmt.Sprint("up-", i))
		table.Put(Entry{ID: id, Revision: int64(2*i + 1)})
		table.Remove(id, infra.Position{Revision: int64(2*i + 2)})
	}
	require.LessOrEqual(t, len(table.tombstones), maxTombstones)
	last := ID(fmt.Sprint("up-", removals-1))
	table.Put(Entry{ID: last, Revision: 2*removals - 1})
	_, known := table.Lookup(last)
	require.False(t, known, "an entry older than the latest removal is ignored")
}
