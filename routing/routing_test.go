package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/routing"
)

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	table, err := routing.NewTable(routing.Config{Routes: []routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	require.NoError(t, err)
	for path, want := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short", "/z/": "", "/x": ""} {
		route, found := table.Match("A.example:80", path)
		require.Equal(t, want != "", found, path)
		if found {
			require.Equal(t, want, route.Name, path)
		}
	}
	_, found := table.Match("c.example", "/x/1")
	require.False(t, found)
}

func TestSplitFollowsTheWeights(t *testing.T) {
	r := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for point := range uint64(1000) {
		counts[r.Target(point)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
}

func TestNewTableRejectsAmbiguousConfiguration(t *testing.T) {
	_, err := routing.NewTable(routing.Config{Routes: []routing.Route{
		{Name: "one", Host: "a", Prefix: "/x/"}, {Name: "two", Host: "a", Prefix: "/x/"},
	}})
	require.ErrorContains(t, err, `routes "one" and "two" both match host "a", prefix "/x/"`)
	_, err = routing.NewTable(routing.Config{Workspaces: []routing.Workspace{
		{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}},
	}})
	require.ErrorContains(t, err, `workspaces "a" and "b" hold the same key`)
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route routing.Route
		want  bool
	}{
		{routing.Route{Kind: routing.Idempotent}, true},
		{routing.Route{Kind: routing.AtMostOnce}, false},
		{routing.Route{Kind: routing.Stream}, false},
		{routing.Route{Kind: routing.Stream, Resumable: true}, true},
		{routing.Route{Kind: routing.AtMostOnce, Resumable: true}, false},
	} {
		require.Equal(t, c.want, c.route.Repeatable(), "%+v", c.route)
	}
}
