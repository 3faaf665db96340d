package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/edge"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Open connections to the store fall silent while new ones work. Guards against hosts that still
// use an old configuration when they count as in touch again, 3 s later, and against new work for a
// removed upstream, as if its entry had expired during an outage.
func TestHostsFollowTheStorePastSilentConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	for _, id := range []string{"stays", "leaves"} {
		f.upstream(&platformtest.Upstream{ID: id, Service: "plain"})
	}
	front := platformtest.NewSilentProxy(f.store.Addr())
	t.Cleanup(front.Close)
	var hosts []*node
	for range 3 {
		n := f.startWith(front.Addr(), func(s *edge.Settings) {
			s.HeartbeatInterval, s.EntryTTL = 1200*time.Millisecond, 3600*time.Millisecond
		})
		require.NoError(t, n.waitReady())
		hosts = append(hosts, n)
	}
	inForce := func(version string) bool {
		for _, n := range hosts {
			if n.log.count(`"configuration in force"`, `"version":`+version) == 0 {
				return false
			}
		}
		return true
	}
	f.configure(2, nil) // afterwards, the watches of all hosts begin together
	require.Eventually(t, func() bool { return inForce("2") }, waitTimeout, time.Millisecond)
	time.Sleep(changeTime)
	front.Silence()
	inTouch := time.Now().Add(3 * time.Second)
	time.Sleep(changeTime)
	f.configure(3, nil)
	require.Eventually(t, func() bool { return inForce("3") }, waitTimeout, time.Millisecond)
	require.False(t, time.Now().After(inTouch), "in force %s after the hosts are in touch", time.Since(inTouch))
	time.Sleep(time.Until(inTouch))
	f.store.Delete("servers/leaves")
	time.Sleep(changeTime)
	for i := range 60 {
		got := f.send(hosts[i%len(hosts)], http.MethodGet, "/read/1", "r")
		require.Equal(t, http.StatusOK, got.status)
		require.False(t, strings.Contains(got.header.Get("Server-Stamp"), "leaves"))
	}
	for _, n := range hosts {
		require.Zero(t, n.log.count("connection to the store lost"))
	}
}
