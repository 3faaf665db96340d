package routing

import (
	"maps"
	"slices"
)

// Bounds of the priorities that are told apart. Less urgent ones share the last.
const (
	routePriorities     = 4
	workspacePriorities = 64
)

// Rank returns the rank of a request among all that the configuration allows; 0 is the most
// urgent, and ranks follow each other without gaps. The priority of the workspace goes before
// that of the route, which decides between workspaces of the same priority. A workspace without
// a priority, which may be nil, has that of the route.
func (t *Table) Rank(r *Route, w *Workspace) int {
	rank, _ := slices.BinarySearch(t.urgencies, urgency(r, w))
	return rank
}

// urgencies returns the urgencies of all requests that a configuration allows, in order.
func urgencies(c Config) []int {
	routes := make(map[int]*Route)
	for i := range c.Routes {
		routes[c.Routes[i].Priority] = &c.Routes[i]
	}
	workspaces := map[int]*Workspace{-1: nil}
	for i := range c.Workspaces {
		if w := &c.Workspaces[i]; w.HasPriority {
			workspaces[clamp(w.Priority, workspacePriorities)] = w
		}
	}
	if len(workspaces) > 1 && !allowsWithoutPriority(c) {
		delete(workspaces, -1)
	}
	all := make(map[int]bool)
	for _, r := range routes {
		for _, w := range workspaces {
			all[urgency(r, w)] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// allowsWithoutPriority reports whether some requests have no workspace with a priority.
func allowsWithoutPriority(c Config) bool {
	return slices.ContainsFunc(c.Workspaces, func(w Workspace) bool { return !w.HasPriority }) ||
		slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Public })
}

// urgency orders requests; a lower one is more urgent.
func urgency(r *Route, w *Workspace) int {
	first := r.Priority
	if w != nil && w.HasPriority {
		first = w.Priority
	}
	return clamp(first, workspacePriorities)*routePriorities + clamp(r.Priority, routePriorities)
}

// clamp returns the nearest priority from 0 up to, but not including, n.
func clamp(priority, n int) int { return min(max(priority, 0), n-1) }
