package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against classes that lose their order: where all workspaces have the same priority,
// every request had the same rank, and under overload the urgent ones were late with the others.
func TestRouteDecidesBetweenWorkspacesOfOnePriority(t *testing.T) {
	c := Config{Routes: []Route{{Host: "a", Priority: 2}, {Host: "b", Priority: 0}, {Host: "c", Priority: 1}}}
	for _, same := range [][]Workspace{nil, {{Name: "w", Priority: 1, HasPriority: true}}, {{Name: "w", Priority: math.MaxInt, HasPriority: true}}} {
		c.Workspaces = same
		table, err := NewTable(c)
		require.NoError(t, err)
		var w *Workspace
		if same != nil {
			w = &same[0]
		}
		for i, want := range []int{2, 0, 1} {
			require.Equal(t, want, table.Rank(&c.Routes[i], w))
		}
	}
}

// Guards against a route that goes before the priority of the workspace.
func TestWorkspaceGoesBeforeTheRoute(t *testing.T) {
	c := Config{
		Routes:     []Route{{Host: "a", Priority: 0}, {Host: "b", Priority: 2}, {Host: "c", Priority: math.MinInt}},
		Workspaces: []Workspace{{Name: "w0", HasPriority: true}, {Name: "none"}, {Name: "w3", Priority: 3, HasPriority: true}},
	}
	table, err := NewTable(c)
	require.NoError(t, err)
	rank := func(route, workspace int) int { return table.Rank(&c.Routes[route], &c.Workspaces[workspace]) }
	require.Equal(t, []int{0, 1, 2, 3, 4}, []int{rank(0, 0), rank(1, 0), rank(1, 1), rank(0, 2), rank(1, 2)})
	require.Equal(t, rank(0, 0), rank(0, 1))
	require.Equal(t, rank(0, 0), rank(2, 0))
}
