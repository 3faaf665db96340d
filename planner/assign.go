package planner

import (
	"slices"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
)

// assign places every model's copies on engines. Copies stay on the engines
// that the last plan gave them; further copies go first to engines that already
// hold the model, then to the engines with the fewest models.
func assign(in Input, settings Settings, models []ModelPlan) []Assignment {
	a := assigner{in: in, settings: settings, assigned: make(map[upstream.ID][]EngineModel)}
	for _, plan := range models {
		a.place(plan, documentModel(in, plan.Name))
	}
	assignments := make([]Assignment, 0, len(in.Engines))
	for _, engine := range in.Engines {
		assignments = append(assignments, Assignment{Engine: engine.ID, Models: a.assigned[engine.ID]})
	}
	return assignments
}

// documentModel returns a model's entry in the document.
func documentModel(in Input, name string) document.Model {
	for _, model := range in.Models {
		if model.Name == name {
			return model
		}
	}
	return document.Model{}
}

// assigner places the models one after another and records what each engine
// has been assigned so far.
type assigner struct {
	in       Input
	settings Settings
	assigned map[upstream.ID][]EngineModel
}

// place assigns a model's copies to engines, with the new version on as many of
// them as the current rollout step allows.
func (a *assigner) place(plan ModelPlan, spec document.Model) {
	copies := plan.Copies
	if plan.Next != "" {
		// One copy more than the minimum, so that engines can change versions
		// one at a time.
		copies = max(copies, spec.MinCopies+1)
	}
	engines := a.chooseEngines(plan.Name, copies)
	upgraded := a.chooseUpgrades(engines, plan)
	for _, engine := range engines {
		version := plan.Stable
		if slices.Contains(upgraded, engine) {
			version = plan.Next
		}
		a.assigned[engine] = append(a.assigned[engine], EngineModel{Name: plan.Name, Version: version, Adapters: spec.Adapters})
	}
}

// chooseEngines selects engines for a model's copies, among those that have room
// for another model.
func (a *assigner) chooseEngines(model string, copies int) []upstream.ID {
	var free []ObservedEngine
	for _, engine := range a.in.Engines {
		if len(a.assigned[engine.ID]) < a.settings.MaxModelsPerEngine {
			free = append(free, engine)
		}
	}
	slices.SortStableFunc(free, func(x, y ObservedEngine) int { return a.placementRank(x, model) - a.placementRank(y, model) })
	var chosen []upstream.ID
	for _, engine := range free[:min(copies, len(free))] {
		chosen = append(chosen, engine.ID)
	}
	return chosen
}

// The ranks by which engines are chosen for a model; lower ranks go first.
const (
	rankPlannedAndHeld = 0
	rankPlannedOrHeld  = 100
	rankOther          = 200
)

// placementRank ranks an engine for a model. An engine that did not answer
// keeps the models that the last plan assigned to it.
func (a *assigner) placementRank(engine ObservedEngine, model string) int {
	planned := a.in.Last.assignment(engine.ID).holds(model)
	_, holds := engine.State.model(model)
	switch {
	case planned && (holds || !engine.Answered):
		return rankPlannedAndHeld
	case planned || holds:
		return rankPlannedOrHeld
	}
	return rankOther + len(a.assigned[engine.ID])
}

// chooseUpgrades picks the engines that get the new version, starting with
// those that already hold it.
func (a *assigner) chooseUpgrades(engines []upstream.ID, plan ModelPlan) []upstream.ID {
	count := plan.nextVersionCopies()
	// The last step also upgrades the extra copy that place added.
	if plan.Next != "" && plan.Step == len(rolloutSteps)-1 {
		count = len(engines)
	}
	ordered := slices.Clone(engines)
	slices.SortStableFunc(ordered, func(x, y upstream.ID) int {
		return a.upgradeRank(x, plan) - a.upgradeRank(y, plan)
	})
	return ordered[:min(count, len(ordered))]
}

// upgradeRank ranks an engine for a new version; lower ranks go first. Engines
// that hold the version come first, then engines that answered and hold no
// version, because loading the new one there interrupts no serving copy.
func (a *assigner) upgradeRank(id upstream.ID, plan ModelPlan) int {
	for _, engine := range a.in.Engines {
		if engine.ID != id {
			continue
		}
		held, holds := engine.State.model(plan.Name)
		switch {
		case holds && held.Version == plan.Next:
			return 0
		case !holds && engine.Answered:
			return 1
		}
	}
	return 2
}
