package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// An upstream that goes down without closing its connections must be detected
// before the caller's deadline.
func TestUnresponsiveUpstreamFailsCallBeforeDeadline(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/tell/1", "/order/1"} {
		f := newFleet(t)
		f.configure(1, nil)
		service := map[string]string{"/tell/1": "events", "/order/1": "plain"}[path]
		u := f.upstream(&platformtest.Upstream{ID: "u1", Service: service, Events: 3})
		n := f.start()
		u.QueueFaults(platformtest.Hang)
		time.AfterFunc(100*time.Millisecond, u.StopAccepting)
		start := time.Now()
		got := f.send(n, http.MethodPost, path, "r1")
		require.Equal(t, http.StatusBadGateway, got.status, path)
		require.Less(t, time.Since(start), 2*time.Second, path)
	}
}

func TestSlowUpstreamIsNotAbandoned(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain", Work: 2 * time.Second})
	n := f.start()
	got := f.send(n, http.MethodPost, "/order/1", "r1")
	require.Equal(t, http.StatusOK, got.status)
	require.Len(t, u.Runs(), 1)
	got = f.send(n, http.MethodGet, "/read/1", "r2")
	require.Equal(t, http.StatusOK, got.status, "there is no other upstream to retry on")
}

func TestIdempotentCallToHungUpstreamIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	b := f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain"})
	n := f.start()
	a.QueueFaults(platformtest.Hang)
	b.QueueFaults(platformtest.Hang)
	start := time.Now()
	first := f.send(n, http.MethodGet, "/read/1", "r1")
	a.QueueFaults()
	b.QueueFaults()
	second := f.send(n, http.MethodGet, "/read/1", "r2")
	require.Contains(t, []int{first.status, second.status}, http.StatusOK)
	require.Equal(t, http.StatusOK, second.status)
	require.Less(t, time.Since(start), 4*time.Second)
}
