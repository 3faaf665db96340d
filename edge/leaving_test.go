package edge_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// configureEngines writes the usual configuration with "events" as engines.
func (f *fleet) configureEngines(version int) {
	f.configure(version, func(c map[string]any) {
		for _, s := range c["services"].([]map[string]any) {
			if s["name"] == "events" {
				s["engine"] = map[string]any{"concurrency": 8, "kv_capacity": 100_000}
			}
		}
	})
}

// An upstream may say only in its answers that it leaves, in an answer of any
// kind. No later request may reach it, although its entry says that it is ready.
func TestUpstreamThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	n := f.start()
	for name, c := range map[string]struct {
		service, path string
		events        int
		fault         platformtest.UpstreamFault
	}{
		"success":         {"plain", "/read/1", 0, platformtest.ServeNormally},
		"error":           {"plain", "/read/1", 0, platformtest.Fail},
		"not run":         {"plain", "/order/1", 0, platformtest.Shed},
		"unsigned":        {"plain", "/read/1", 0, platformtest.Unsigned},
		"broken in body":  {"plain", "/read/1", 0, platformtest.TruncateAnswer},
		"stream":          {"events", "/talk/1", 3, platformtest.ServeNormally},
		"broken stream":   {"events", "/talk/1", 6, platformtest.TruncateAnswer},
		"stream, not run": {"events", "/tell/1", 3, platformtest.Shed},
		"inputs are gone": {"events", "/tell/1", 3, platformtest.LoseInputs},
	} {
		t.Run(name, func(t *testing.T) {
			id := func(suffix string) string { return name + suffix }
			a := f.upstream(&platformtest.Upstream{ID: id("a"), Service: c.service, Events: c.events, StartTime: time.UnixMilli(1000)})
			a.SayLeaving(true)
			a.QueueFaults(c.fault)
			require.Eventually(t, func() bool {
				f.send(n, http.MethodPost, c.path, id("r0"))
				return a.Arrived(c.path) > 0
			}, waitTimeout, 10*time.Millisecond)
			require.Equal(t, http.StatusServiceUnavailable, f.send(n, http.MethodPost, c.path, id("r1")).status, "there is no other")
			f.upstream(&platformtest.Upstream{ID: id("b"), Service: c.service, Events: c.events})
			a.Register(f.store, "ready")
			f.store.Delete("servers/" + id("a"))
			time.Sleep(removalTime)
			a.Register(f.store, "ready")
			time.Sleep(removalTime)
			for i := range 10 {
				require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, c.path, id("s"+strconv.Itoa(i))).status)
			}
			require.Equal(t, 1, a.Arrived(c.path))
			f.store.Delete("servers/" + id("b"))
			a.SayLeaving(false)
			a.StartTime = time.UnixMilli(2000)
			a.Register(f.store, "ready")
			require.Eventually(t, func() bool {
				f.send(n, http.MethodPost, c.path, id("t"))
				return a.Arrived(c.path) > 1
			}, waitTimeout, 10*time.Millisecond, "a new process under the ID serves again")
			f.store.Delete("servers/" + id("a"))
			time.Sleep(removalTime)
		})
	}
}

// The header concerns the upstream and not one connection, so callers get it.
func TestCallerSeesThatUpstreamIsLeaving(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	a.SayLeaving(true)
	require.Equal(t, "1", f.send(n, http.MethodGet, "/read/1", "r1").header.Get("Server-Leaving"))
}

// A stage server says so in its answers to runs, reports and frees.
func TestStageServerThatSaysItLeavesGetsNoNewPieces(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/v1/report", "/v1/stage-run", "/v1/stage-free"} {
		t.Run(path, func(t *testing.T) {
			f := newFleet(t)
			f.configure(1, nil)
			f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 3})
			a := f.upstream(&platformtest.Upstream{ID: "p1", Service: "pieces"})
			n := f.start()
			a.SayLeavingOn(path)
			f.send(n, http.MethodPost, "/staged/1", "r0", "Chunks", "1,1", "Chunk-Key", "k")
			require.Eventually(t, func() bool { return a.Arrived(path) > 0 }, waitTimeout, time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			before := a.Arrived("/v1/stage-run")
			b := f.upstream(&platformtest.Upstream{ID: "p2", Service: "pieces"})
			a.Register(f.store, "ready")
			time.Sleep(300 * time.Millisecond)
			for i := range 5 {
				got := f.send(n, http.MethodPost, "/staged/1", "r"+strconv.Itoa(i), "Chunks", "1,1", "Chunk-Key", "k")
				require.Equal(t, http.StatusOK, got.status)
			}
			require.Equal(t, before, a.Arrived("/v1/stage-run"))
			require.NotEmpty(t, b.Calls())
		})
	}
}

// The placement owner may not know that an engine has told another host that it
// leaves. Its choice must not bring the engine back there, nor fail the request.
func TestOwnersChoiceDoesNotBringBackLeavingEngine(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureEngines(1)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 3})
	b := f.upstream(&platformtest.Upstream{ID: "u2", Service: "events", Events: 3})
	hosts := []*node{f.start(), f.start(), f.start()}
	prompt := []string{"Token-Usage", "1000,10", "Prompt-Prefix", "aa:900,bb:100"}
	first := f.send(hosts[0], http.MethodPost, "/talk/1", "r0", prompt...)
	home, other := a, b
	if first.header.Get("Server-Stamp") == "stamp-of-u2" {
		home, other = b, a
	}
	home.SayLeaving(true)
	for _, n := range hosts {
		f.send(n, http.MethodPost, "/talk/1", "r1", prompt...)
	}
	told := home.Arrived("/talk/1")
	require.GreaterOrEqual(t, told, 2)
	for i := range 10 {
		for _, n := range hosts {
			got := f.send(n, http.MethodPost, "/talk/1", "s"+strconv.Itoa(i), prompt...)
			require.Equal(t, http.StatusOK, got.status)
		}
	}
	require.LessOrEqual(t, home.Arrived("/talk/1"), 4, "each host is told once")
	require.NotEmpty(t, other.Runs())
}
