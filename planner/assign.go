package planner

import (
	"slices"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
)

// assign places every model's copies on engines. Copies stay where they are;
// new ones go to engines that hold the model already, then to those that hold
// the fewest models.
func assign(in Input, settings Settings, models []ModelPlan) []Assignment {
	a := assigner{in: in, settings: settings, held: make(map[upstream.ID][]Held)}
	for _, plan := range models {
		a.place(plan, specOf(in, plan.Name))
	}
	assignments := make([]Assignment, 0, len(in.Engines))
	for _, engine := range in.Engines {
		assignments = append(assignments, Assignment{Engine: engine.ID, Models: a.held[engine.ID]})
	}
	return assignments
}

// specOf returns what the document says of a model.
func specOf(in Input, name string) document.Model {
	for _, model := range in.Models {
		if model.Name == name {
			return model
		}
	}
	return document.Model{}
}

// assigner places one model after the other.
type assigner struct {
	in       Input
	settings Settings
	held     map[upstream.ID][]Held
}

// place puts a model's copies on engines, and the new version on as many of
// them as its rollout has come to.
func (a *assigner) place(plan ModelPlan, spec document.Model) {
	copies := plan.Copies
	if plan.Next != "" {
		// One copy more, so that engines can be taken out one by one.
		copies = max(copies, spec.MinCopies+1)
	}
	engines := a.choose(plan.Name, copies)
	fresh := a.chooseNext(engines, plan)
	for _, engine := range engines {
		version := plan.Stable
		if slices.Contains(fresh, engine) {
			version = plan.Next
		}
		a.held[engine] = append(a.held[engine], Held{Name: plan.Name, Version: version, Adapters: spec.Adapters})
	}
}

// choose picks the engines for a model.
func (a *assigner) choose(model string, copies int) []upstream.ID {
	var free []Seen
	for _, engine := range a.in.Engines {
		if len(a.held[engine.ID]) < a.settings.ModelsPerEngine {
			free = append(free, engine)
		}
	}
	slices.SortStableFunc(free, func(x, y Seen) int { return a.rank(x, model) - a.rank(y, model) })
	var chosen []upstream.ID
	for _, engine := range free[:min(copies, len(free))] {
		chosen = append(chosen, engine.ID)
	}
	return chosen
}

// The ranks by which engines are chosen; smaller goes first.
const (
	rankHolds   = 0
	rankPlanned = 100
	rankOther   = 200
)

// rank orders engines for a model.
func (a *assigner) rank(engine Seen, model string) int {
	planned := a.in.Last.assignment(engine.ID).holds(model)
	_, holds := engine.State.held(model)
	switch {
	case planned && (holds || !engine.Answered):
		return rankHolds
	case planned || holds:
		return rankPlanned
	}
	return rankOther + len(a.held[engine.ID])
}

// chooseNext picks the engines that get the new version: those that hold it
// already first.
func (a *assigner) chooseNext(engines []upstream.ID, plan ModelPlan) []upstream.ID {
	count := plan.copiesOfNext()
	if plan.Next != "" && plan.Step == len(rolloutSteps)-1 {
		count = len(engines)
	}
	ordered := slices.Clone(engines)
	slices.SortStableFunc(ordered, func(x, y upstream.ID) int {
		return a.lacks(x, plan) - a.lacks(y, plan)
	})
	return ordered[:min(count, len(ordered))]
}

// lacks orders engines for a new version: those that hold it, then those that
// hold no version and so lose nothing by loading it, then the rest.
func (a *assigner) lacks(id upstream.ID, plan ModelPlan) int {
	for _, engine := range a.in.Engines {
		if engine.ID != id {
			continue
		}
		held, holds := engine.State.held(plan.Name)
		switch {
		case holds && held.Version == plan.Next:
			return 0
		case !holds && engine.Answered:
			return 1
		}
	}
	return 2
}
