package planner

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
)

// Settings bounds what a planner does.
type Settings struct {
	// ModelsPerEngine is how many models one engine may hold.
	ModelsPerEngine int
	// Utilisation is the share of a copy's capacity to plan for.
	Utilisation float64
	// ShrinkAfter is how long demand must stay low before a copy is dropped.
	ShrinkAfter time.Duration
	// LoadsAtOnce bounds the engines that fetch weights at once, for the
	// weight store's sake.
	LoadsAtOnce int
	// LoadTimeout is how long an engine may take to load a version.
	LoadTimeout time.Duration
	// Soak is how long each step of a rollout is watched before the next.
	Soak time.Duration
	// MaxFailures is the largest share of calls that may fail on a new version.
	MaxFailures float64
}

// DefaultSettings returns the settings of a planner that was given none.
func DefaultSettings() Settings {
	return Settings{
		ModelsPerEngine: 2, Utilisation: 0.7, ShrinkAfter: 10 * time.Minute, LoadsAtOnce: 2,
		LoadTimeout: 15 * time.Minute, Soak: 2 * time.Minute, MaxFailures: 0.05,
	}
}

// Demand is the measured load of one model.
type Demand struct {
	Model string
	// Copies is the load in copies' worth of work, for example 2.5.
	Copies float64
}

// Failures is the share of calls that failed on one version lately.
type Failures struct {
	Model   string
	Version string
	Share   float64
}

// Seen is an engine as it was read back.
type Seen struct {
	ID upstream.ID
	// Answered says that State was read in this round. An engine that is
	// listed but silent keeps its place in the plan and gets no orders.
	Answered bool
	State    State
}

// Input is all that a decision depends on.
type Input struct {
	Now    time.Time
	Models []document.Model
	// Engines are those that are listed, in order of their IDs.
	Engines  []Seen
	Demand   []Demand
	Failures []Failures
	// Last is the plan that stands.
	Last Plan
}

// Plan is what every engine should hold, and how far rollouts have come.
type Plan struct {
	Models      []ModelPlan  `cbor:"1,keyasint"`
	Assignments []Assignment `cbor:"2,keyasint"`
}

// ModelPlan is the plan for one model.
type ModelPlan struct {
	Name string `cbor:"1,keyasint"`
	// Copies is how many engines are to hold the model.
	Copies int `cbor:"2,keyasint"`
	// Stable is the version that is fully rolled out.
	Stable string `cbor:"3,keyasint"`
	// Next is the version being rolled out; empty for none.
	Next string `cbor:"4,keyasint,omitempty"`
	// Step is how far the rollout is, from 0.
	Step int `cbor:"5,keyasint,omitempty"`
	// StepSinceUnixNano is when the step's copies became ready, or when the
	// step began while they are not.
	StepSinceUnixNano int64 `cbor:"6,keyasint,omitempty"`
	// StepReady says that the step's copies are ready and being watched.
	StepReady bool `cbor:"7,keyasint,omitempty"`
	// Failed is a version that was rolled back; it isn't tried again.
	Failed string `cbor:"8,keyasint,omitempty"`
	// LowSinceUnixNano is since when demand has been low; zero for not low.
	LowSinceUnixNano int64 `cbor:"9,keyasint,omitempty"`
}

// Assignment is what one engine should hold.
type Assignment struct {
	Engine upstream.ID `cbor:"1,keyasint"`
	Models []Held      `cbor:"2,keyasint"`
}

// model returns the plan of one model.
func (p Plan) model(name string) (ModelPlan, bool) {
	for _, m := range p.Models {
		if m.Name == name {
			return m, true
		}
	}
	return ModelPlan{}, false
}

// assignment returns what one engine should hold.
func (p Plan) assignment(engine upstream.ID) Assignment {
	for _, a := range p.Assignments {
		if a.Engine == engine {
			return a
		}
	}
	return Assignment{Engine: engine}
}

// holds says whether the engine is assigned a model.
func (a Assignment) holds(model string) bool {
	for _, h := range a.Models {
		if h.Name == model {
			return true
		}
	}
	return false
}

// Next makes the plan that follows the last one.
func Next(in Input, settings Settings) Plan {
	var plan Plan
	for _, model := range in.Models {
		before, known := in.Last.model(model.Name)
		if !known {
			before = adopt(in, model)
		}
		after := nextCopies(in, settings, model, before)
		plan.Models = append(plan.Models, nextRollout(in, settings, model, after))
	}
	plan.Assignments = assign(in, settings, plan.Models)
	return plan
}

// adopt is the plan of a model that has none yet: what engines hold goes on, so
// that the first planner takes no serving copy away at once.
func adopt(in Input, model document.Model) ModelPlan {
	held := 0
	for _, engine := range in.Engines {
		if _, ok := engine.State.held(model.Name); ok {
			held++
		}
	}
	if model.MaxCopies > 0 {
		held = min(held, model.MaxCopies)
	}
	return ModelPlan{Name: model.Name, Copies: held, Stable: adoptVersion(in, model)}
}

// adoptVersion is the version to take as stable when there is no plan yet: the
// one that most engines hold, or the document's.
func adoptVersion(in Input, model document.Model) string {
	counts := make(map[string]int)
	best := model.Version
	for _, engine := range in.Engines {
		held, ok := engine.State.held(model.Name)
		if !ok {
			continue
		}
		counts[held.Version]++
		if counts[held.Version] > counts[best] {
			best = held.Version
		}
	}
	return best
}
