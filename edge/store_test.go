package edge_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

func TestConfigurationAppliesPromptlyAndNeverRollsBack(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(5, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r1").status)
	f.configure(9, func(c map[string]any) {
		c["tenants"] = []map[string]any{{"name": "welders", "api_keys": []string{"new"}}}
	})
	require.Eventually(t, func() bool {
		return f.send(n, http.MethodGet, "/read/1", "r2").status == http.StatusUnauthorized
	}, 2*time.Second, 10*time.Millisecond)
	f.configure(7, nil)
	require.Never(t, func() bool {
		return f.send(n, http.MethodGet, "/read/1", "r3").status == http.StatusOK
	}, 500*time.Millisecond, 20*time.Millisecond)
}

func TestMalformedUpstreamEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.store.Put("servers/bad1", []byte("\xff\x00 no JSON"))
	f.store.Put("servers/bad2", []byte(`{"service":"plain"}`))
	f.store.Put("servers/bad3", []byte(`{"service":7,"address":[],"zone":null}`))
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	for range 10 {
		require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r1").status)
	}
}

// Load: 14 entries of another writer, of the largest size that the store takes, and at once a
// configuration that takes a key away. Guards against hosts that follow nothing any more, since
// they ask again and again for changes that are too many bytes at once.
func TestHostFollowsTheStorePastLargeEntries(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(5, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	for i := range 14 {
		f.store.Put("servers/large-"+strconv.Itoa(i), make([]byte, 1<<20))
	}
	f.configure(9, func(c map[string]any) {
		c["tenants"] = []map[string]any{{"name": "welders", "api_keys": []string{"new"}}}
	})
	require.Eventually(t, func() bool {
		return f.send(n, http.MethodGet, "/read/1", "r").status == http.StatusUnauthorized
	}, waitTimeout, 10*time.Millisecond)
}

// Guards against hosts that can't tell each other what is in the store, or send requests to
// themselves, because another client of the store wrote an odd entry among the upstreams'.
func TestOddUpstreamEntriesStopNoHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	for name, raw := range platformtest.OddEntries("plain") {
		f.store.Put("servers/odd: "+name, raw)
		f.store.Put("servers/odd-"+strings.ReplaceAll(name, " ", "-"), raw)
	}
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	f.store.Put("servers/not a header\r\nvalue", u.Entry("ready"))
	f.start()
	front := platformtest.NewFaultProxy(f.store.Addr())
	t.Cleanup(front.Close)
	n := f.startUnready(front.Addr())
	require.NoError(t, n.waitReady())
	for range 30 {
		require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, "/order/1", "r1").status)
	}
	front.SetFault(platformtest.FaultUnavailable)
	for name, raw := range platformtest.OddEntries("plain") {
		f.store.Put("servers/new-"+strings.ReplaceAll(name, " ", "-"), raw)
	}
	f.configure(2, func(c map[string]any) {
		c["tenants"] = []map[string]any{{"name": "welders", "api_keys": []string{"new"}}}
	})
	require.Eventually(t, func() bool {
		return f.send(n, http.MethodGet, "/read/1", "r1").status == http.StatusUnauthorized
	}, 5*time.Second, 10*time.Millisecond, "another host tells it of the configuration")
	require.Equal(t, 30, u.Arrived("/order/1"))
	require.Zero(t, n.log.count("directory not fetched from another host"))
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	b := f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain"})
	n := f.start()
	a.Register(f.store, "draining")
	time.Sleep(time.Second)
	before := len(a.Runs())
	for range 20 {
		require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r1").status)
	}
	require.Len(t, a.Runs(), before)
	require.Len(t, b.Runs(), 20)
}

func TestHostRecoversFromCompactedStoreHistory(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain"})
	n := f.start()
	f.store.SetFault(func(string) platformtest.Fault { return platformtest.FaultReset })
	a.Register(f.store, "draining")
	f.store.Compact()
	f.store.SetFault(nil)
	time.Sleep(2 * time.Second)
	before := len(a.Runs())
	for range 10 {
		require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r1").status)
	}
	require.Len(t, a.Runs(), before)
}

func TestHostCutOffFromStoreGetsChangesFromPeers(t *testing.T) {
	t.Parallel()
	for _, fault := range []platformtest.Fault{platformtest.FaultUnavailable, platformtest.FaultTooManyRequests, platformtest.FaultReset, platformtest.FaultSilent} {
		f := newFleet(t)
		f.configure(1, nil)
		f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
		n := f.start()
		front := platformtest.NewFaultProxy(f.store.Addr())
		t.Cleanup(front.Close)
		isolated := f.startUnready(front.Addr())
		require.NoError(t, isolated.waitReady())
		require.Eventually(t, func() bool { return len(f.store.Keys("hosts/")) == 2 }, waitTimeout, 10*time.Millisecond)
		front.SetFault(fault)
		time.Sleep(300 * time.Millisecond)
		f.configure(2, func(c map[string]any) {
			c["tenants"] = []map[string]any{{"name": "welders", "api_keys": []string{"new"}}}
		})
		require.Eventually(t, func() bool {
			return f.send(isolated, http.MethodGet, "/read/1", "r1").status == http.StatusUnauthorized
		}, 5*time.Second, 10*time.Millisecond, "fault %d", fault)
		require.True(t, n.Ready())
	}
}

func TestHostStartedWithoutStoreLearnsFromPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	f.start()
	front := platformtest.NewFaultProxy(f.store.Addr())
	t.Cleanup(front.Close)
	front.SetFault(platformtest.FaultSilent)
	late := f.startUnready(front.Addr())
	require.Eventually(t, func() bool {
		got := f.send(late, http.MethodGet, "/read/1", "r1")
		if got.err == nil && got.status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, got.status, "a host without a configuration gives no other answer")
		}
		return got.status == http.StatusOK
	}, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, late.Ready, 5*time.Second, 5*time.Millisecond, "it has also joined the fleet")
}

func TestEntriesExpiredDuringStoreOutageAreKept(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	f.store.SetFault(func(string) platformtest.Fault { return platformtest.FaultUnavailable })
	f.store.Delete("servers/u1")
	time.Sleep(300 * time.Millisecond)
	f.store.SetFault(nil)
	deadline := time.Now().Add(1500 * time.Millisecond)
	for time.Now().Before(deadline) {
		require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r1").status)
		time.Sleep(50 * time.Millisecond)
	}
	u.Register(f.store, "ready")
	time.Sleep(2 * time.Second)
	require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r2").status)
}

// All hosts start while the store is down, and callers have one retry. Guards against callers
// who come back together, and before the store does.
func TestCallersOfHostsWithoutConfigurationComeBackLateAndSpread(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.SetFault(func(string) platformtest.Fault { return platformtest.FaultUnavailable })
	n := f.startUnready(f.store.Addr())
	var waits []float64
	for range 20 {
		got := f.send(n, http.MethodPost, "/talk/1", "r1")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		waits = append(waits, wait)
	}
	require.GreaterOrEqual(t, slices.Min(waits), 1.5)
	require.LessOrEqual(t, slices.Max(waits), 3.0)
	require.Greater(t, slices.Max(waits)-slices.Min(waits), 0.5)
}
