package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/ctl"
	"github.com/galenaseam/galenaseam/internal/explain"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// where runs seamctl where against a host.
func where(t *testing.T, n *node, format string, args ...string) (out string, code int) {
	var stdout, stderr bytes.Buffer
	code = ctl.Run(t.Context(), append([]string{"-host", "http://" + n.metricsAddr(), "-o", format, "where"}, args...), strings.NewReader(""), &stdout, &stderr)
	return stdout.String() + stderr.String(), code
}

// explained returns the only service of the answer of a host.
func explained(t *testing.T, n *node, args ...string) (s explain.Service) {
	out, code := where(t, n, "json", args...)
	require.Equal(t, ctl.ExitOK, code, out)
	var report explain.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Len(t, report.Services, 1)
	return report.Services[0]
}

// requestCounts returns the lines of a host's metrics about requests and stages.
func requestCounts(f *fleet, n *node) (lines []string) {
	for _, line := range strings.Split(f.metrics(n), "\n") {
		if strings.HasPrefix(line, "seam_request") || strings.HasPrefix(line, "seam_stage") {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against hosts that explain one decision differently, an excluded upstream that is missing
// or a candidate, an own view that looks like the owner's, and an explanation that counts as a request.
func TestHostsExplainDecisionsByTheOwnersView(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureEngines(1)
	hosts := []*node{f.start(), f.start()}
	for _, service := range []string{"plain", "events", "pieces"} {
		f.upstream(&platformtest.Upstream{ID: service + "-near", Service: service, Version: "v1", Events: 2})
		f.upstream(&platformtest.Upstream{ID: service + "-far", Service: service, Version: "v1", Events: 2, Zone: "riga-b"})
		f.upstream(&platformtest.Upstream{ID: service + "-other", Service: service, Version: "v2", Events: 2, Zone: "riga-a"})
	}
	f.store.Put("op/evacuate/riga-b", []byte("{}"))
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			return h.log.count(`"upstream added"`) == 9 && h.log.count(`"data centre evacuated"`) == 1
		}, waitTimeout, 20*time.Millisecond)
	}
	require.Eventually(t, func() bool {
		return explained(t, hosts[0], "-service", "pieces").Owner == explained(t, hosts[1], "-service", "pieces").Owner
	}, waitTimeout, 20*time.Millisecond, "the hosts know each other")
	before := requestCounts(f, hosts[0])
	for kind, args := range map[string][]string{
		"plain":  {"-route-host", "shop.example", "-path", "/read/1", "-version", "v1"},
		"engine": {"-route-host", "shop.example", "-path", "/talk/1", "-version", "v1", "-parts", "contract:300,own:50", "-output-tokens", "9"},
		"stage":  {"-service", "pieces", "-pieces", "3"},
	} {
		a, b := explained(t, hosts[0], args...), explained(t, hosts[1], args...)
		if kind != "plain" {
			require.Equal(t, a.Owner, a.AnsweredBy)
			require.Equal(t, a.Owner, b.AnsweredBy)
			require.Empty(t, a.Note+b.Note)
		}
		for _, s := range []explain.Service{a, b} {
			require.Equal(t, kind, s.Kind)
			require.Equal(t, s.Service+"-near", s.Candidates[0].Upstream)
			require.NotEmpty(t, s.Candidates[0].Figures)
			require.Contains(t, s.Excluded, explain.Exclusion{Upstream: s.Service + "-far", DataCentre: "riga-b", Reason: "evacuated"})
			other := explain.Exclusion{Upstream: s.Service + "-other", DataCentre: "riga-a", Reason: "version"}
			require.Equal(t, kind != "stage", len(s.Excluded) == 2 && (s.Excluded[0] == other || s.Excluded[1] == other), "%+v", s)
		}
		table, code := where(t, hosts[0], "table", args...)
		require.Equal(t, ctl.ExitOK, code)
		require.Contains(t, table, "answered by "+a.AnsweredBy)
		require.Contains(t, table, "evacuated")
	}
	require.Equal(t, before, requestCounts(f, hosts[0]))
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	alone := 0
	for _, h := range hosts {
		report := h.Explain(gone, explain.Query{Host: "shop.example", Path: "/talk/1", Version: "v1"})
		s := report.Services[0]
		require.Equal(t, report.Host, s.AnsweredBy)
		require.Equal(t, "events-near", s.Candidates[0].Upstream)
		if strings.Contains(s.Note, "own view") {
			alone++
			require.NotEqual(t, s.Owner, s.AnsweredBy)
		}
	}
	require.Equal(t, 1, alone, "the other one is the owner")
}

// Guards against a wrong query that is answered, or whose error does not say what is wrong.
func TestWrongExplainQueriesAreRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	n := f.start()
	for query, want := range map[string]struct {
		status int
		text   string
	}{
		"host=shop.example&path=/read/&parts=x": {http.StatusBadRequest, `\"parts\"`},
		"host=shop.example&path=/nowhere/":      {http.StatusNotFound, `\"path\"`},
		"service=plain":                         {http.StatusNotFound, `\"service\"`},
	} {
		response, err := http.Get("http://" + n.metricsAddr() + "/explain?" + query)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want.status, response.StatusCode, query)
		require.Contains(t, string(body), want.text)
	}
	response, err := http.Post("http://"+n.metricsAddr()+"/explain?service=pieces", "", nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusMethodNotAllowed, response.StatusCode)
	_, code := where(t, n, "table", "-path", "/read/1")
	require.Equal(t, ctl.ExitUsage, code)
	_, code = where(t, n, "table", "-service", "plain")
	require.Equal(t, ctl.ExitRefused, code)
}
