package instance_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// Guards against new work for upstreams of an evacuated data centre: for those that register
// during the evacuation, and calls to those that are no longer listed.
func TestEvacuatedUpstreamsGetNoNewWork(t *testing.T) {
	var changes []instance.Change
	table := instance.NewTable(func(c instance.Change) { changes = append(changes, c) })
	now := time.Unix(1000, 0)
	put := func(id instance.ID, dc host.DataCentre, port uint16) instance.Process {
		e := instance.Entry{ID: id, Service: "s", DataCentre: dc, Version: string(dc), Revision: 1, Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
		table.Put(e)
		return e.Process()
	}
	a, b := put("a", "x", 1), put("b", "y", 2)
	use, ok := table.Begin("a", 0)
	require.True(t, ok)
	table.SetEvacuated("x", true, now)
	table.SetEvacuated("x", true, now)
	late := put("late", "x", 3)
	require.Equal(t, instance.ID("b"), table.Service("s", now)[0].ID)
	require.Len(t, table.Service("s", now), 1)
	require.Len(t, table.ServiceOfFleet("s", now), 1)
	for p, evacuated := range map[instance.Process]bool{a: true, late: true, b: false} {
		_, begun := table.Begin(p.ID, 0)
		require.Equal(t, !evacuated, begun, p.ID)
		require.Equal(t, evacuated, table.IsCallEvacuated(p, netip.AddrPort{}), p.ID)
	}
	require.True(t, table.IsCallEvacuated(instance.Process{}, netip.MustParseAddrPort("10.0.0.1:3")), "known by its address only")
	require.False(t, table.IsServiceEvacuated("s", ""))
	require.True(t, table.IsServiceEvacuated("s", "x"), "the version is served there only")
	table.Pause(b, now.Add(time.Second), now)
	_, paused := table.FirstBack("s", now)
	require.True(t, paused, "the only upstream that may get work later is paused")
	table.SetEvacuated("y", true, now)
	require.True(t, table.IsServiceEvacuated("s", ""), "two evacuations")
	table.Remove("a", infra.Position{Revision: 2})
	require.True(t, table.IsCallEvacuated(a, netip.AddrPort{}), "its entry is gone")
	table.SetEvacuated("x", false, now)
	require.Len(t, table.Service("s", now), 1)
	require.Equal(t, map[host.DataCentre]bool{"x": false, "y": true}, table.DataCentres())
	use.End(instance.Answered, time.Second, now)
	var kinds []string
	for _, c := range changes {
		if c.Service == "" {
			kinds = append(kinds, c.Kind+" "+string(c.DataCentre))
		}
	}
	require.Equal(t, []string{"evacuated x", "evacuated y", "restored x"}, kinds)
}
