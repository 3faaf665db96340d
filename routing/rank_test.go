package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against classes that lose their order: where all workspaces have the same priority,
// every request had the same rank, and under overload the urgent ones were late with the others.
func TestRouteDecidesBetweenWorkspacesOfOnePriority(t *testing.T) {
	workspace := func(priority int) *Workspace { return &Workspace{Priority: priority, HasPriority: true} }
	rising := []int{
		RankOf(&Route{Priority: math.MinInt}, workspace(math.MinInt)),
		RankOf(&Route{Priority: 1}, workspace(0)),
		RankOf(&Route{Priority: 0}, workspace(1)),
		RankOf(&Route{Priority: 1}, nil),
		RankOf(&Route{Priority: 2}, workspace(1)),
		RankOf(&Route{Priority: 2}, &Workspace{}),
		RankOf(&Route{Priority: 0}, workspace(3)),
		RankOf(&Route{Priority: math.MaxInt}, workspace(math.MaxInt)),
	}
	require.Zero(t, rising[0])
	require.IsNonDecreasing(t, rising)
	require.Less(t, rising[2], rising[4])
	require.Less(t, rising[4], rising[5])
	require.Equal(t, RankOf(&Route{Priority: 1}, workspace(1)), RankOf(&Route{Priority: 1}, nil))
}
