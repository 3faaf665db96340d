package ownership_test

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/ownership"
)

type fleet = hosttest.Fleet

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func members(n int) fleet {
	var f fleet
	for i := range n {
		f = append(f, host.Member{Info: host.Info{ID: host.ID(fmt.Sprint("h", i)), LinkAddr: addr(i), Capacity: 0.27}})
	}
	return f
}

var start = time.Unix(1000, 0)

// growingFleet is a fleet whose members are replaced during the test.
type growingFleet struct{ fleet }

func TestAllHostsAgreeOnTheOwner(t *testing.T) {
	f := members(12)
	want, _ := ownership.New(f, start).Owner("stage", start)
	for i := range f {
		view := append(fleet{f[i]}, append(append(fleet{}, f[:i]...), f[i+1:]...)...)
		got, own := ownership.New(view, start).Owner("stage", start)
		require.Equal(t, want, got)
		require.Equal(t, got.ID == f[i].ID, own)
	}
}

func TestWeakLeavingAndSuspectHostsOwnNothing(t *testing.T) {
	f := members(12)
	for i := range f {
		switch i % 4 {
		case 0:
			f[i].Capacity = 0.04
		case 1:
			f[i].State = host.Leaving
		case 2:
			f[i].State = host.Suspect
		}
	}
	table := ownership.New(f, start)
	for i := range 100 {
		owner, _ := table.Owner(fmt.Sprint("stage", i), start)
		m, _ := f.Lookup(owner.ID)
		require.Equal(t, host.Alive, m.State)
		require.Equal(t, 0.27, m.Capacity)
	}
}

func TestHostWithoutAConfigurationOwnsNothing(t *testing.T) {
	f := members(3)
	f[0].Generation, f[1].Generation = 7, 9
	table := ownership.New(f, start)
	table.Owner("stage", start)
	for i := range 100 {
		owner, _ := table.Owner(fmt.Sprint("stage", i), start.Add(5*time.Second))
		require.NotEqual(t, host.ID("h2"), owner.ID)
	}
}

// All hosts start while the store is down and read their configuration when it is back.
// Guards against owners that differ while the hosts' generations spread over seconds.
func TestOwnersAgreeWhileGenerationsSpread(t *testing.T) {
	for i := range 20 {
		task := fmt.Sprint("stage", i)
		want := ""
		for known := 1; known <= 195; known += 97 {
			view := members(195)
			for j := range known {
				view[j].Generation = 7
			}
			owner, _ := ownership.New(view, start).Owner(task, start)
			want = cmp.Or(want, owner.LinkAddr.String())
			require.Equal(t, want, owner.LinkAddr.String(), task)
		}
	}
}

func TestFailedOwnerIsAvoidedForAWhile(t *testing.T) {
	table := ownership.New(members(12), start)
	owner, _ := table.Owner("stage", start)
	table.Avoid(owner.ID, start)
	other, _ := table.Owner("stage", start)
	require.NotEqual(t, owner.ID, other.ID)
	again, _ := table.Owner("stage", start.Add(4*time.Second))
	require.Equal(t, owner.ID, again.ID)
}

func TestFormedWaitsUntilMembersAreDiscovered(t *testing.T) {
	table := ownership.New(members(12), start)
	require.False(t, table.Formed(start.Add(100*time.Millisecond)))
	require.False(t, table.Formed(start.Add(350*time.Millisecond)))
	require.True(t, table.Formed(start.Add(500*time.Millisecond)))
	require.True(t, table.Formed(start.Add(510*time.Millisecond)), "Formed stays true")
	growing := &growingFleet{fleet: members(1)}
	table = ownership.New(growing, start)
	for at := time.Duration(0); at < 2*time.Second; at += 100 * time.Millisecond {
		growing.fleet = members(1 + int(at/(100*time.Millisecond)))
		require.False(t, table.Formed(start.Add(at)), "other hosts are still being found")
	}
	require.True(t, table.Formed(start.Add(2500*time.Millisecond)))
	require.False(t, ownership.New(members(1), start).Formed(start.Add(500*time.Millisecond)))
	require.True(t, ownership.New(members(1), start).Formed(start.Add(1500*time.Millisecond)))
}

// All hosts are killed at once and start again, each at its address with a new ID. Guards
// against owners that differ while each host knows another part of the new processes.
func TestOwnersAgreeWhileTheWholeFleetStartsAgain(t *testing.T) {
	former := members(195)
	var views []fleet
	for known := 0; known <= len(former); known += 39 {
		view := slices.Clone(former)
		for i := range known {
			view[i].ID, view[i].Generation = host.ID(fmt.Sprint("new-", i)), 2
		}
		for i := known; i < len(view); i++ {
			view[i].Listed = true
		}
		views = append(views, view)
	}
	for i := range 20 {
		task := fmt.Sprint("stage", i)
		want, _ := ownership.New(views[0], start).Owner(task, start)
		for _, view := range views {
			got, _ := ownership.New(view, start).Owner(task, start)
			require.Equal(t, want.LinkAddr, got.LinkAddr, task)
		}
	}
}
