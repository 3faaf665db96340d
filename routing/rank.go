package routing

// Bounds of the priorities that RankOf tells apart. Less urgent ones share the last.
const (
	routePriorities     = 4
	workspacePriorities = 64
)

// RankOf returns the rank of a request among all; 0 is the most urgent. The priority of the
// workspace goes before that of the route, which decides between workspaces of the same
// priority. A workspace without a priority, which may be nil, has that of the route.
func RankOf(r *Route, w *Workspace) int {
	first := r.Priority
	if w != nil && w.HasPriority {
		first = w.Priority
	}
	return clamp(first, workspacePriorities)*routePriorities + clamp(r.Priority, routePriorities)
}

// clamp returns the nearest priority from 0 up to, but not including, n.
func clamp(priority, n int) int { return min(max(priority, 0), n-1) }
