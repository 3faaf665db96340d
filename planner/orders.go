package planner

import (
	"slices"

	"github.com/galenaseam/galenaseam/upstream"
)

// Command is an order for one engine.
type Command struct {
	Engine upstream.ID
	Order  Order
}

// Commands lists the orders to give now, so that engines come nearer to the
// plan. It holds back orders that would load too much at once or leave a
// model with fewer ready copies than the document asks for.
func Commands(in Input, plan Plan, settings Settings, fencing int64) []Command {
	g := gate{in: in, plan: plan, loads: settings.LoadsAtOnce - loading(in), ready: make(map[string]int)}
	for _, model := range in.Models {
		g.ready[model.Name] = g.serving(model.Name)
	}
	var commands []Command
	for _, engine := range in.Engines {
		want := plan.assignment(engine.ID)
		if !engine.Answered || settled(engine.State, want) || !g.admit(engine.State, want) {
			continue
		}
		commands = append(commands, Command{engine.ID, Order{Fencing: fencing, Models: want.Models, Role: engine.State.Role}})
	}
	return commands
}

// settled says whether an engine holds, or is loading, what it should.
func settled(state State, want Assignment) bool {
	if len(state.Models) != len(want.Models) {
		return false
	}
	for _, wanted := range want.Models {
		held, ok := state.held(wanted.Name)
		if !ok || !held.same(wanted) {
			return false
		}
	}
	return true
}

// loading counts the engines that are fetching weights.
func loading(in Input) int {
	count := 0
	for _, engine := range in.Engines {
		if slices.ContainsFunc(engine.State.Models, func(h Held) bool { return h.State != stateReady }) {
			count++
		}
	}
	return count
}

// gate admits orders as long as the fleet bears them.
type gate struct {
	in    Input
	plan  Plan
	loads int
	ready map[string]int
}

// serving counts the engines that are ready with a version of a model that
// the plan knows.
func (g *gate) serving(model string) int {
	count := 0
	for _, engine := range g.in.Engines {
		held, ok := engine.State.held(model)
		if ok && g.serves(held) {
			count++
		}
	}
	return count
}

// serves says whether a copy counts: it is ready, and its version is one that
// the plan has or is rolling back. What a stale order brought doesn't count.
func (g *gate) serves(held Held) bool {
	plan, known := g.plan.model(held.Name)
	planned := held.Version == plan.Stable || held.Version == plan.Next || held.Version == plan.Failed
	return known && planned && held.State == stateReady
}

// admit says whether an order may go out, and reckons with it if so.
func (g *gate) admit(state State, want Assignment) bool {
	loads := 0
	var lost []string
	for _, wanted := range want.Models {
		held, ok := state.held(wanted.Name)
		if !ok || held.Version != wanted.Version {
			loads = 1
		}
	}
	for _, held := range state.Models {
		index := slices.IndexFunc(want.Models, func(w Held) bool { return w.Name == held.Name })
		kept := index >= 0 && want.Models[index].Version == held.Version
		if g.serves(held) && !kept {
			lost = append(lost, held.Name)
		}
	}
	if loads > g.loads || !g.bears(lost) {
		return false
	}
	g.loads -= loads
	for _, name := range lost {
		g.ready[name]--
	}
	return true
}

// bears says whether every model lost on one engine keeps enough copies.
func (g *gate) bears(lost []string) bool {
	for _, name := range lost {
		if g.ready[name]-1 < specOf(g.in, name).MinCopies {
			return false
		}
	}
	return true
}
