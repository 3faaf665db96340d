package resume

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
)

func members(n int) hosttest.Fleet {
	var f hosttest.Fleet
	for i := range n {
		f = append(f, host.Member{Info: host.Info{ID: host.ID(fmt.Sprint("h", i))}})
	}
	return f
}

func avoidNone(host.ID) bool { return false }

// viewOf returns the same fleet with another host as the local one.
func viewOf(f hosttest.Fleet, local int) hosttest.Fleet {
	return append(hosttest.Fleet{f[local]}, append(append(hosttest.Fleet{}, f[:local]...), f[local+1:]...)...)
}

func TestRecordsAreStoredOnLivingHostsOnly(t *testing.T) {
	f := members(12)
	f[3].State, f[4].State, f[5].State = host.Suspect, host.Leaving, host.Dead
	used := make(map[host.ID]int)
	for i := range 600 {
		replicas := storeOn(fmt.Sprint("a", i), f, func(id host.ID) bool { return id == "h6" })
		require.Len(t, replicas, replicaCount)
		for _, m := range replicas {
			used[m.ID]++
		}
	}
	require.Len(t, used, 7, "all but the local one, three that are not alive and one that is avoided")
	for id, n := range used {
		require.InDelta(t, 600*replicaCount/7, n, 80, id)
	}
	require.Len(t, storeOn("a", members(3), avoidNone), 2)
	require.Empty(t, storeOn("a", members(1), avoidNone))
}

// Guards against records that no host asks for: a third of the hosts is killed with
// the one that began the stream and started again under new IDs, and the dead ones
// are still thought alive.
func TestHostsThatAreAskedHoldTheRecordAfterOthersWereKilled(t *testing.T) {
	const streams = 2000
	before := members(12)
	after := append(hosttest.Fleet{}, before...)
	dead := make(map[host.ID]bool)
	for i := range 4 {
		dead[before[i].ID] = true
		after = append(after, host.Member{Info: host.Info{ID: host.ID(fmt.Sprint("new", i))}})
	}
	lost := 0
	for i := range streams {
		attempt := fmt.Sprint("a", i)
		holds := make(map[host.ID]bool)
		for _, m := range storeOn(attempt, viewOf(before, 0), avoidNone) {
			holds[m.ID] = !dead[m.ID]
		}
		found := false
		for _, m := range askFor(attempt, viewOf(after, 11)) {
			found = found || holds[m.ID]
		}
		if !found && !holds[after[11].ID] {
			lost++
		}
	}
	require.Less(t, lost, streams*3/100)
}
