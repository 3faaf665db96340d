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

// Guards against new work for an upstream whose entry was removed, because the store has
// cut a watch and the removal is taken for an expiry during an outage.
func TestLeavingUpstreamGetsNoWorkThoughWatchesAreCut(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "stays", Service: "plain", Work: 20 * time.Millisecond})
	n := f.startWith(f.store.Addr(), func(s *edge.Settings) {
		s.HeartbeatInterval, s.EntryTTL = 1200*time.Millisecond, 3600*time.Millisecond
	})
	require.NoError(t, n.waitReady())
	f.store.CutWatches(150 * time.Millisecond)
	for i := range 4 {
		u := f.upstream(&platformtest.Upstream{ID: fmt.Sprint("leaves-", i), Service: "plain"})
		require.Eventually(t, func() bool {
			f.send(n, http.MethodGet, "/read/1", "r1")
			return len(u.Arrivals()) > 0
		}, waitTimeout, 5*time.Millisecond)
		f.store.Delete("servers/" + u.ID)
		time.Sleep(changeTime)
		before := len(u.Arrivals())
		for range 30 {
			require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r2").status)
		}
		require.Equal(t, before, len(u.Arrivals()), "the removal of %s was acknowledged %s before", u.ID, changeTime)
	}
	require.Zero(t, n.log.count("connection to the store lost"), "a cut watch is no outage")
}
