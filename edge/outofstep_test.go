package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/edge"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// shortVersionMemory is how long software versions count in these tests.
const shortVersionMemory = 400 * time.Millisecond

// outOfStepHost returns a host that knows one software version, has had no touch with the
// store for longer than a watch lasts, and knows no other host. The store is reached
// through the proxy.
func outOfStepHost(t *testing.T, f *versionedFleet) (*node, *platformtest.FaultProxy) {
	front := platformtest.NewFaultProxy(f.store.Addr())
	t.Cleanup(front.Close)
	h := f.startWith(front.Addr(), func(s *edge.Settings) { s.VersionMemory = shortVersionMemory })
	require.NoError(t, h.waitReady())
	f.begin(h, "known") // it serves the service
	front.SetFault(platformtest.FaultSilent)
	time.Sleep(2 * shortVersionMemory)
	return h, front
}

// newVersionJoins replaces the only upstream by one of a new version, and begins a stream
// there at another host. It returns the stream's first events.
func (f *versionedFleet) newVersionJoins(id string) string {
	f.join("v2")
	other := f.startWith(f.store.Addr(), func(s *edge.Settings) { s.Seeds, s.FleetKey = nil, []byte("key of hosts that can't be reached") })
	require.NoError(f.t, other.waitReady())
	f.upstreams[0].Register(f.store, "draining")
	var begun string
	require.Eventually(f.t, func() bool {
		begun = f.begin(other, id)
		return platformtest.WritersOf(begun)[0] == "v2"
	}, waitTimeout, 50*time.Millisecond)
	other.stop()
	require.NoError(f.t, <-other.result)
	return begun
}

// join starts an upstream of a version.
func (f *versionedFleet) join(version string) {
	f.upstreams = append(f.upstreams, f.upstream(&platformtest.Upstream{
		ID: fmt.Sprint("u", len(f.upstreams)), Service: "events", Version: version, Events: versionedEvents, EventPause: 10 * time.Millisecond,
	}))
}

// Guards against a stream that goes on at another version at a host that was cut off or
// stood still while upstreams of a new version joined, and takes the version that it
// knows for the only one.
func TestHostOutOfStepRefusesStreamsOfVersionsItHasNotSeen(t *testing.T) {
	t.Parallel()
	for name, reconnects := range map[string]bool{"cut off": false, "in touch again": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := &versionedFleet{fleet: newFleet(t)}
			f.configure(1, nil)
			f.join("v1")
			h, front := outOfStepHost(t, f)
			begun := f.newVersionJoins("r1")
			if reconnects {
				front.SetFault(platformtest.FaultNone)
			}
			runs, got := f.runs(), f.resume(h, "r2", "r1", 2)
			if reconnects && got.status == http.StatusOK {
				requireComplete(t, begun+got.body, "r1") // the store has the stream's record
				return
			}
			f.requireRefused(got, runs)
		})
	}
}

// Guards against the refusal of every stream without a record where one version serves.
func TestStreamOfTheOnlyVersionContinuesWithoutRecord(t *testing.T) {
	t.Parallel()
	f := &versionedFleet{fleet: newFleet(t)}
	f.configure(1, nil)
	f.join("v1")
	n := f.startWith(f.store.Addr(), func(s *edge.Settings) { s.VersionMemory = shortVersionMemory })
	require.NoError(t, n.waitReady())
	time.Sleep(2 * shortVersionMemory)
	rest := f.resume(n, "r2", "attempt-that-no-host-saw", 2)
	require.Equal(t, http.StatusOK, rest.status)
	require.Contains(t, rest.body, "id: 3\n")
	f.join("v2")
	f.requireRefused(f.resume(n, "r3", "other-attempt-that-no-host-saw", 2), f.runs())
}
