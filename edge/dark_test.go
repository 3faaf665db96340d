package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// An upstream that goes dark closes nothing. Its caller must not wait for its
// own deadline to learn it.
func TestCallerOfADarkUpstreamLearnsItSoon(t *testing.T) {
	for _, path := range []string{"/tell/1", "/order/1"} {
		f := newFleet(t)
		f.configure(1, nil)
		service := map[string]string{"/tell/1": "events", "/order/1": "plain"}[path]
		u := f.upstream(&platformtest.Upstream{ID: "u1", Service: service, Events: 3})
		n := f.start()
		u.Do(platformtest.Hang)
		time.AfterFunc(100*time.Millisecond, u.GoDark)
		begun := time.Now()
		got := f.ask(n, http.MethodPost, path, "r1")
		require.Equal(t, http.StatusBadGateway, got.status, path)
		require.Less(t, time.Since(begun), 2*time.Second, path)
	}
}

func TestSilenceOfALiveUpstreamEndsNothing(t *testing.T) {
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain", Work: 2 * time.Second})
	n := f.start()
	got := f.ask(n, http.MethodPost, "/order/1", "r1")
	require.Equal(t, http.StatusOK, got.status)
	require.Len(t, u.Runs(), 1)
	got = f.ask(n, http.MethodGet, "/read/1", "r2")
	require.Equal(t, http.StatusOK, got.status, "no other upstream could answer sooner")
}

func TestIdempotentCallToASilentUpstreamGoesElsewhere(t *testing.T) {
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	b := f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain"})
	n := f.start()
	a.Do(platformtest.Hang)
	b.Do(platformtest.Hang)
	begun := time.Now()
	first := f.ask(n, http.MethodGet, "/read/1", "r1")
	a.Do()
	b.Do()
	second := f.ask(n, http.MethodGet, "/read/1", "r2")
	require.Contains(t, []int{first.status, second.status}, http.StatusOK)
	require.Equal(t, http.StatusOK, second.status)
	require.Less(t, time.Since(begun), 4*time.Second)
}
