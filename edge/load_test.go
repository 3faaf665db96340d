package edge_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/edge"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// metrics returns the metrics of a host.
func (f *fleet) metrics(n *node) string {
	response, err := http.Get("http://" + n.metricsAddr() + "/metrics")
	require.NoError(f.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return string(text)
}

// The load is 60 requests one after the other at two upstreams, one of which reports a queue
// and a pace of 2.5. Guards against answers whose report is not recorded or passed on to the
// caller, a malformed one that is used or logged again and again, and a setting that does not
// turn the estimate off.
func TestReportedLoadOfAnswersDecides(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	loaded := f.upstream(&platformtest.Upstream{ID: "loaded", Service: "plain"})
	idle := f.upstream(&platformtest.Upstream{ID: "idle", Service: "plain"})
	stage := f.upstream(&platformtest.Upstream{ID: "stage", Service: "pieces"})
	f.upstream(&platformtest.Upstream{ID: "events", Service: "events", Events: 3})
	loaded.ReportLoad("6,12,6,250")
	idle.ReportLoad("1,0,6,100")
	stage.ReportLoad("1,-2,x")
	send := func(n *node, name string) (share int) {
		before := loaded.Arrived("/read/1")
		for i := range 60 {
			got := f.send(n, http.MethodGet, "/read/1", name+strconv.Itoa(i))
			require.Equal(t, http.StatusOK, got.status)
			require.Empty(t, got.header.Get("Server-Load"))
		}
		return loaded.Arrived("/read/1") - before
	}
	n := f.start()
	require.Less(t, send(n, "r"), 15)
	for i := range 3 {
		id := "staged" + strconv.Itoa(i)
		require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, "/staged/"+id, id, "Chunks", "1,1", "Chunk-Key", "k").status)
	}
	require.Equal(t, 1, n.log.count("upstream reports a malformed load", `"upstream":"stage"`))
	text := f.metrics(n)
	require.Contains(t, text, `seam_upstream_pace{service="plain",statistic="max"} 2.5`)
	require.Contains(t, text, `seam_upstream_load_reports_total{result="malformed",service="pieces"}`)
	require.NotContains(t, text, `seam_upstream_reported_load{kind="slots",service="pieces"}`)
	require.Contains(t, text, `seam_cost_estimate_ratio_count{service="plain"}`)
	off := f.startWith(f.store.Addr(), func(s *edge.Settings) { s.IgnoreLoad = true })
	require.NoError(t, off.waitReady())
	send(off, "o")
	require.NotContains(t, f.metrics(off), "seam_upstream_load", "the estimate is off")
}
