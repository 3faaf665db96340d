package edge_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/ctl"
	"github.com/galenaseam/galenaseam/platform/platformtest"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/routing/routingtest"
)

// stagesAfter are the stages that each stage of /graph/ comes after: several first and last ones,
// one before those that it comes after, and one that lists a stage twice.
var stagesAfter = [][]int{{3, 3, 4}, {}, {0}, {}, {}, {4}}

// configureStages adds the route /graph/ to the configuration, and further routes with stages.
func (f *fleet) configureStages(more map[string][]map[string]any) {
	graph := make([]map[string]any, 0, len(stagesAfter))
	for _, after := range stagesAfter {
		graph = append(graph, map[string]any{"service": "pieces", "after": after, "bytes": 100})
	}
	routes := map[string][]map[string]any{"graph": graph}
	maps.Copy(routes, more)
	f.configure(1, func(config map[string]any) {
		for prefix, stages := range routes {
			config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
				"name": prefix, "host": "shop.example", "prefix": "/" + prefix + "/", "type": "stream", "timeout_ms": 3000,
				"goal_ms": 500, "service": "events", "max_attempts": 2, "itl_target_ms": 100, "resumable": true, "stages": stages,
			})
		}
	})
}

// requireRefusedForGood requires an answer that says why the request can't be served, and not when
// to come back.
func requireRefusedForGood(t *testing.T, got callerResponse, cause, detail string) {
	t.Helper()
	require.NoError(t, got.err)
	require.Equal(t, http.StatusBadRequest, got.status, got.body)
	require.Empty(t, got.header.Get("Retry-After"))
	var told problem.Problem
	require.NoError(t, json.Unmarshal([]byte(got.body), &told))
	require.Equal(t, cause, told.Cause)
	require.Equal(t, problem.No, told.Ran)
	require.Contains(t, told.Detail, detail)
}

// Guards against pieces that run without inputs because their caller omits the stage before, with
// an input twice or with those of another stage; on requests that both hosts take, of which one
// gathers, after a lost input and where a caller resumes its stream.
func TestEachSetOfOmittedStagesIsServedSoundlyOrRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureStages(nil)
	engine := f.upstream(&platformtest.Upstream{ID: "e", Service: "events", Events: 3})
	server := f.upstream(&platformtest.Upstream{ID: "p", Service: "pieces"})
	hosts := []*node{f.start(), f.start()}
	const stream = "first"
	require.Equal(t, http.StatusOK, f.send(hosts[0], http.MethodPost, "/graph/1", stream, "Chunks", "0,0,0,0,0,0").status)
	served, refused, rule := 0, 0, routingtest.StageRule{After: stagesAfter}
	for set := range 1 << len(stagesAfter) {
		pieces, list := make([]int, len(stagesAfter)), make([]string, len(stagesAfter))
		for i := range pieces {
			pieces[i] = set >> i & 1 * (1 + i%2)
			list[i] = strconv.Itoa(pieces[i])
		}
		sound := rule.Sound(pieces)
		id, header := fmt.Sprint("r", set), []string{"Chunks", strings.Join(list, ","), "Chunk-Key", "k"}
		restarts := sound && set%3 == 0 && set > 0
		if restarts {
			engine.QueueFaults(platformtest.LoseInputs)
		}
		if set%5 == 0 {
			header = append(header, "Last-Event-Id", "0", "Resumes", stream)
		}
		before, runs := len(server.Asked()), len(engine.Runs())
		got := f.send(hosts[set%len(hosts)], http.MethodPost, "/graph/1", id, header...)
		asked := server.Asked()[before:]
		if !sound {
			refused++
			requireRefusedForGood(t, got, "stages_invalid", "are omitted")
			require.Empty(t, asked)
			require.Len(t, engine.Runs(), runs)
			continue
		}
		served++
		require.Equal(t, http.StatusOK, got.status, header)
		var names []string
		for _, p := range asked {
			require.Equal(t, id, p.ID)
			names = append(names, routingtest.Name(p.Phase, p.Segment))
			require.Equal(t, rule.Given(pieces, p.Phase), routingtest.NamesOf(id, p.Inputs))
			require.Equal(t, len(p.Inputs) == 0, p.Key == "k")
		}
		want := rule.All(pieces)
		if restarts {
			want = append(want, want...)
			slices.Sort(want)
		}
		slices.Sort(names)
		require.Equal(t, want, names, header)
		var inputs []string
		if h := engine.Runs()[runs].Header.Get("Inputs"); h != "" {
			inputs = strings.Split(h, ",")
		}
		require.Equal(t, rule.Request(pieces), routingtest.NamesOf(id, inputs), header)
	}
	require.Greater(t, served, 10)
	require.Greater(t, refused, 10)
}

// Guards against requests that can never run and are invited to come back, or run in part.
func TestMalformedStagesOfARequestAreRefusedForGood(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureStages(nil)
	f.upstream(&platformtest.Upstream{ID: "e", Service: "events", Events: 3})
	server := f.upstream(&platformtest.Upstream{ID: "p", Service: "pieces"})
	n := f.start()
	for detail, header := range map[string][]string{
		"states no numbers of pieces, route": {"Chunk-Key", "k"},
		"has pieces for 1 stages":            {"Chunks", "1", "Chunk-Key", "k"},
		"has pieces for 3 stages":            {"Chunks", "1,1,1", "Chunk-Key", "k"},
		"not a list":                         {"Chunks", "1,x", "Chunk-Key", "k"},
		"of 0 or more":                       {"Chunks", "1,-1", "Chunk-Key", "k"},
		"2 values of Chunks":                 {"Chunks", "1,1", "Chunks", "1,1", "Chunk-Key", "k"},
		"2 values of Chunk-Key":              {"Chunks", "1,1", "Chunk-Key", "k", "Chunk-Key", "j"},
		"needs the key":                      {"Chunks", "1,1"},
		"valid UTF-8":                        {"Chunks", "1,1", "Chunk-Key", "\xe9"},
		"it comes after are omitted: [0]":    {"Chunks", "0,1", "Chunk-Key", "k"},
		"that come after it are omitted":     {"Chunks", "1,0", "Chunk-Key", "k"},
		"at most 16384 are allowed":          {"Chunks", "1,16385", "Chunk-Key", "k"},
	} {
		requireRefusedForGood(t, f.send(n, http.MethodPost, "/staged/1", "r", header...), "stages_invalid", detail)
	}
	require.Empty(t, server.Asked())
	for _, header := range [][]string{{"Chunks", "0,0"}, {"Chunks", " 1 , 1 ", "Chunk-Key", "k"}} {
		require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, "/staged/1", "r", header...).status)
	}
	for _, path := range []string{"/read/1", "/talk/1"} {
		f.upstream(&platformtest.Upstream{ID: "plain" + path, Service: "plain"})
		require.Eventually(t, func() bool { return f.send(n, http.MethodPost, path, "r", "Chunks", "x").status == http.StatusOK }, waitTimeout, changeTime,
			"a route without stages ignores the header")
	}
}

// Guards against a configuration whose stages can't run and that is served half, or that keeps its
// other routes from being served, and against operators who are not told.
func TestRouteWhoseStagesCantRunIsRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	stage := func(service string, after ...int) map[string]any {
		return map[string]any{"service": service, "after": after, "bytes": 100}
	}
	f.configureStages(map[string][]map[string]any{
		"cycle":   {stage("pieces", 1), stage("pieces", 0)},
		"unknown": {stage("pieces"), stage("nowhere", 0)},
		"beyond":  {stage("pieces"), stage("pieces", 2)},
	})
	f.upstream(&platformtest.Upstream{ID: "e", Service: "events", Events: 3})
	server := f.upstream(&platformtest.Upstream{ID: "p", Service: "pieces"})
	n := f.start()
	for path, detail := range map[string]string{"cycle": "stage 0 comes after itself", "unknown": `service "nowhere" of stage 1`, "beyond": "after stage 2"} {
		requireRefusedForGood(t, f.send(n, http.MethodPost, "/"+path+"/1", "r", "Chunks", "1,1", "Chunk-Key", "k"), "route_invalid", detail)
		require.Equal(t, 1, n.log.count(`"route can't be served"`, path))
		out, code := where(t, n, "table", "-route-host", "shop.example", "-path", "/"+path+"/")
		require.Equal(t, ctl.ExitOK, code, out)
		require.Contains(t, out, "refused by every host: routing: ")
		require.Contains(t, out, detail)
	}
	require.Empty(t, server.Asked())
	require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, "/staged/1", "s", "Chunks", "1,1", "Chunk-Key", "k").status)
	out, code := where(t, n, "table", "-route-host", "shop.example", "-path", "/graph/", "-pieces", "0,0,1,0,0,0")
	require.Equal(t, ctl.ExitOK, code, out)
	require.Contains(t, out, "refused by every host: staging: stage 2 of the request")
	require.Regexp(t, `0 +pieces +0 +stages 3 4 +stages 2`, out)
	require.Regexp(t, `1 +pieces +0 +key +request`, out)
}
