package instance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// A limit holds until the upstream withdraws it. One answer without it may have been
// overtaken by the answer that named it.
func TestLimitHoldsUntilItIsWithdrawn(t *testing.T) {
	var kinds []string
	table := instance.NewTable(func(c instance.Change) { kinds = append(kinds, c.Kind) })
	e := noticeEntry(1, 1)
	table.Put(e)
	now := time.Unix(1000, 0)
	table.SetLimit(e.Process(), 1.5, true, time.Time{}, now)
	table.SetLimit(e.Process(), 1.5, true, time.Time{}, now)
	table.SetLimit(e.Process(), 0, false, time.Time{}, now.Add(10*time.Millisecond))
	table.SetLimit(e.Process(), 0, false, time.Time{}, now.Add(20*time.Millisecond))
	perSecond, _, named := table.Limit(e.Process())
	require.True(t, named)
	require.Equal(t, 1.5, perSecond)
	table.SetLimit(e.Process(), 0.5, true, time.Time{}, now.Add(time.Second))
	perSecond, namedAt, _ := table.Limit(e.Process())
	require.Equal(t, 0.5, perSecond)
	require.Equal(t, now.Add(time.Second), namedAt)
	table.SetLimit(e.Process(), 0, false, time.Time{}, now.Add(3*time.Second))
	table.SetLimit(e.Process(), 0, false, time.Time{}, now.Add(4*time.Second))
	_, _, named = table.Limit(e.Process())
	require.False(t, named)
	require.Equal(t, []string{"added", "limited", "limited", "unlimited"}, kinds)
}

// A limit belongs to a process: it outlasts the entry, and does not hold for another
// process with the same ID.
func TestLimitBelongsToTheProcess(t *testing.T) {
	table := instance.NewTable(nil)
	first := noticeEntry(1, 1)
	table.Put(first)
	table.SetLimit(first.Process(), 2, true, time.Time{}, time.Unix(1000, 0))
	table.Remove(first.ID, infra.Position{Revision: 2})
	_, _, named := table.Limit(first.Process())
	require.True(t, named)
	table.Put(noticeEntry(3, 1))
	_, _, named = table.Limit(first.Process())
	require.True(t, named)
	next := noticeEntry(4, 2)
	table.Put(next)
	_, _, named = table.Limit(next.Process())
	require.False(t, named)
}
