package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// requireEvacuated requires that a request is refused at once with a time to come back.
func (f *fleet) requireEvacuated(n *node, path string, header ...string) {
	f.t.Helper()
	begun := time.Now()
	got := f.send(n, http.MethodPost, path, "r", header...)
	require.Less(f.t, time.Since(begun), time.Second, path)
	require.Equal(f.t, http.StatusServiceUnavailable, got.status, path)
	wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(f.t, err)
	require.GreaterOrEqual(f.t, wait, 2.0, path)
	require.LessOrEqual(f.t, wait, 4.0, path)
}

// Guards against requests, resumed streams and stage calls that reach an evacuated data
// centre or wait for it, against work on stages for nothing, and against hosts that miss an
// evacuation that began before they did, or its end.
func TestEvacuatedDataCentreGetsNothingUntilTheEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureEngines(1)
	start := func(zone string) (all []*platformtest.Upstream) {
		for _, service := range []string{"plain", "events"} {
			all = append(all, f.upstream(&platformtest.Upstream{
				ID: service + zone, Service: service, Zone: zone, Version: "v-" + zone, Events: map[string]int{"events": 3}[service],
			}))
		}
		return all
	}
	remote := start("riga-b")
	pieces := f.upstream(&platformtest.Upstream{ID: "p", Service: "pieces", Zone: "riga-b"})
	stages := []string{"Chunks", "1,1", "Chunk-Key", "k"}
	runs := func(all []*platformtest.Upstream) int { return len(all[0].Runs()) + len(all[1].Runs()) }
	n := f.start()
	require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, "/staged/1", "s", stages...).status)
	const stream = "t"
	require.Contains(t, f.send(n, http.MethodPost, "/talk/1", stream).body, "v-riga-b")
	local := start("riga-a")
	time.Sleep(changeTime)
	evacuate := func(zone string, hosts ...*node) {
		f.store.Put("op/evacuate/"+zone, []byte("{}"))
		for _, h := range hosts {
			require.Eventually(t, func() bool { return h.log.count(`"data centre evacuated"`, zone) == 1 }, waitTimeout, time.Millisecond)
		}
	}
	evacuate("riga-b", n)
	before, stageCalls := runs(remote), pieces.Arrived("/v1/stage-run")
	for i := range 20 {
		require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, []string{"/read/1", "/order/1", "/talk/1"}[i%3], fmt.Sprint("b", i)).status)
	}
	f.requireEvacuated(n, "/staged/1", stages...)
	f.requireEvacuated(n, "/talk/1", "Resumes", stream, "Last-Event-Id", "0")
	localRuns := runs(local)
	evacuate("riga-a", n)
	evacuate("riga-c", n)
	late := f.start()
	for _, h := range []*node{n, late} {
		for _, path := range []string{"/read/1", "/order/1", "/talk/1"} {
			f.requireEvacuated(h, path)
		}
	}
	require.Equal(t, 1, n.log.count(`"evacuated data centre is unknown"`))
	require.Equal(t, before, runs(remote))
	require.Equal(t, localRuns, runs(local))
	require.Equal(t, stageCalls, pieces.Arrived("/v1/stage-run"))
	f.store.Delete("op/evacuate/riga-b")
	for _, h := range []*node{n, late} { // either may gather the pieces
		require.Eventually(t, func() bool { return h.log.count(`"data centre restored"`) == 1 }, waitTimeout, time.Millisecond)
	}
	require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, "/staged/1", "s2", stages...).status)
	require.Greater(t, runs(remote), before)
	require.Equal(t, localRuns, runs(local))
}
