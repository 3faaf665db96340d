package routing_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaseam/galenaseam/routing"
)

// reaches reports whether a stage comes after another one, directly or through others, in at most
// a number of steps.
func reaches(stages []routing.Stage, from, to, steps int) bool {
	return slices.ContainsFunc(stages[from].DependsOn, func(input int) bool {
		return input == to || steps > 1 && reaches(stages, input, to, steps-1)
	})
}

// Guards against configurations whose stages wait for themselves or for stages that don't exist,
// and against sound ones that are refused because a stage comes after a later one.
func TestStageGraphHasNoCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "n")
		stages, sound := make([]routing.Stage, n), true
		for i := range stages {
			stages[i].DependsOn = rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 2).Draw(t, "after")
		}
		if rapid.IntRange(0, 4).Draw(t, "sloppy") == 0 {
			stages[0].DependsOn, sound = append(stages[0].DependsOn, rapid.SampledFrom([]int{-1, n}).Draw(t, "unknown")), false
		}
		for i := range stages {
			sound = sound && !reaches(stages, i, i, n)
		}
		g, err := routing.NewStageGraph(stages)
		require.Equal(t, sound, err == nil, "%v", err)
		if !sound {
			return
		}
		for i := range stages {
			for _, input := range g.Inputs(i) {
				require.Less(t, slices.Index(g.Order(), input), slices.Index(g.Order(), i))
			}
			require.Equal(t, slices.Compact(slices.Sorted(slices.Values(stages[i].DependsOn))), slices.Sorted(slices.Values(g.Inputs(i))))
		}
		require.Equal(t, n, len(slices.Compact(slices.Sorted(slices.Values(g.Order())))))
	})
}

// Guards against a route that is half served, and against one that takes the others with it.
func TestRoutesWhoseStagesCantRunAreInvalid(t *testing.T) {
	routes := []routing.Route{{Name: "sound", Prefix: "/sound/", Stages: []routing.Stage{{Service: "stages", ResultBytes: 90}}}, {Name: "plain", Prefix: "/plain/"}}
	for text, stage := range map[string]routing.Stage{
		"after itself":             {Service: "stages", DependsOn: []int{0}},
		"not in the configuration": {},
		"runs no stages":           {Service: "plain"},
		"described twice":          {Service: "twice"},
		"has 95 bytes":             {Service: "stages", ResultBytes: 95},
	} {
		routes = append(routes, routing.Route{Name: text, Prefix: "/" + text + "/", Stages: []routing.Stage{stage}})
	}
	runs := &routing.StageServer{BatchSize: 1, Concurrency: 1, ResultMemory: 100}
	table, err := routing.NewTable(routing.Config{Routes: routes, Services: []routing.Service{
		{Name: "stages", Stages: runs}, {Name: "plain"}, {Name: "twice", Stages: runs}, {Name: "twice", Stages: runs},
	}})
	require.NoError(t, err)
	require.Len(t, table.InvalidRoutes(), len(routes)-2)
	for _, invalid := range table.InvalidRoutes() {
		require.ErrorContains(t, invalid.Err, invalid.Name)
	}
	for path, staged := range map[string]bool{"/sound/": true, "/plain/": false} {
		route, found := table.Match("", path)
		require.True(t, found)
		graph, err := table.StageGraph(route)
		require.NoError(t, err)
		require.Equal(t, staged, graph != nil)
	}
}
