package planner

import (
	"slices"

	"github.com/galenaseam/galenaseam/upstream"
)

// Command is an order together with the engine that it is for.
type Command struct {
	Engine upstream.ID
	Order  Order
}

// Commands lists the orders to send now to bring the engines closer to the
// plan. It holds back orders that would load weights on too many engines at
// once or leave a model with fewer serving copies than the document's minimum.
func Commands(in Input, plan Plan, settings Settings, fencing int64) []Command {
	limiter := orderLimiter{in: in, plan: plan, loadsLeft: settings.MaxConcurrentLoads - countLoading(in), servingCopies: make(map[string]int)}
	for _, model := range in.Models {
		limiter.servingCopies[model.Name] = limiter.countServing(model.Name)
	}
	var commands []Command
	for _, engine := range in.Engines {
		want := plan.assignment(engine.ID)
		if !engine.Answered || matches(engine.State, want) || !limiter.admit(engine.State, want) {
			continue
		}
		commands = append(commands, Command{engine.ID, Order{Fencing: fencing, Models: want.Models, Role: engine.State.Role}})
	}
	return commands
}

// matches reports whether an engine holds or is loading exactly what the plan
// assigns to it.
func matches(state EngineState, want Assignment) bool {
	if len(state.Models) != len(want.Models) {
		return false
	}
	for _, wanted := range want.Models {
		held, ok := state.model(wanted.Name)
		if !ok || !held.sameWeights(wanted) {
			return false
		}
	}
	return true
}

// countLoading counts the engines that are loading weights.
func countLoading(in Input) int {
	count := 0
	for _, engine := range in.Engines {
		if slices.ContainsFunc(engine.State.Models, func(m EngineModel) bool { return m.State != stateReady }) {
			count++
		}
	}
	return count
}

// orderLimiter admits orders while enough serving copies remain and not too many
// engines load weights at once.
type orderLimiter struct {
	in            Input
	plan          Plan
	loadsLeft     int
	servingCopies map[string]int
}

// countServing counts the engines whose copy of a model is serving.
func (l *orderLimiter) countServing(model string) int {
	count := 0
	for _, engine := range l.in.Engines {
		held, ok := engine.State.model(model)
		if ok && l.isServing(held) {
			count++
		}
	}
	return count
}

// isServing reports whether a copy counts towards the minimum: it is ready, and
// its version is one that the plan uses or has rolled back. A version that a
// stale order loaded does not count.
func (l *orderLimiter) isServing(held EngineModel) bool {
	plan, known := l.plan.model(held.Name)
	planned := held.Version == plan.Stable || held.Version == plan.Next || held.Version == plan.Failed
	return known && planned && held.State == stateReady
}

// admit reports whether an order may be sent. If so, it counts the order's load
// and lost copies against the limits.
func (l *orderLimiter) admit(state EngineState, want Assignment) bool {
	loads := 0
	var lost []string
	for _, wanted := range want.Models {
		held, ok := state.model(wanted.Name)
		if !ok || held.Version != wanted.Version {
			loads = 1
		}
	}
	for _, held := range state.Models {
		index := slices.IndexFunc(want.Models, func(m EngineModel) bool { return m.Name == held.Name })
		kept := index >= 0 && want.Models[index].Version == held.Version
		if l.isServing(held) && !kept {
			lost = append(lost, held.Name)
		}
	}
	if loads > l.loadsLeft || !l.keepsMinCopies(lost) {
		return false
	}
	l.loadsLeft -= loads
	for _, name := range lost {
		l.servingCopies[name]--
	}
	return true
}

// keepsMinCopies reports whether every model in lost keeps its minimum of serving
// copies when one engine stops serving it.
func (l *orderLimiter) keepsMinCopies(lost []string) bool {
	for _, name := range lost {
		if l.servingCopies[name]-1 < documentModel(l.in, name).MinCopies {
			return false
		}
	}
	return true
}
