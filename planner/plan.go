package planner

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
)

// Settings holds the limits and delays that a planner's decisions follow.
type Settings struct {
	// MaxModelsPerEngine is the most models that one engine may hold.
	MaxModelsPerEngine int
	// TargetUtilisation is the share of a copy's capacity that demand should
	// use.
	TargetUtilisation float64
	// ScaleDownDelay is how long demand must stay low before a copy is dropped.
	ScaleDownDelay time.Duration
	// MaxConcurrentLoads limits how many engines load weights at once, to
	// protect the weight store.
	MaxConcurrentLoads int
	// LoadTimeout is how long an engine may take to load a version.
	LoadTimeout time.Duration
	// Soak is how long each step of a rollout must run without too many
	// failures before the next step.
	Soak time.Duration
	// MaxFailureShare is the largest share of calls to a new version that may
	// fail before it is rolled back.
	MaxFailureShare float64
}

// DefaultSettings returns the settings that NewRunner uses if none are given.
func DefaultSettings() Settings {
	return Settings{
		MaxModelsPerEngine: 2, TargetUtilisation: 0.7, ScaleDownDelay: 10 * time.Minute, MaxConcurrentLoads: 2,
		LoadTimeout: 15 * time.Minute, Soak: 2 * time.Minute, MaxFailureShare: 0.05,
	}
}

// Demand is the measured load of one model.
type Demand struct {
	Model string
	// Copies is the load as a number of fully used copies, for example 2.5.
	Copies float64
}

// Failures is the share of recent calls to one version that failed.
type Failures struct {
	Model   string
	Version string
	Share   float64
}

// ObservedEngine is an engine with the state that it reported in this round.
type ObservedEngine struct {
	ID upstream.ID
	// Answered says that State was read in this round. A listed engine that
	// did not answer keeps its assignment in the plan and gets no orders.
	Answered bool
	State    EngineState
}

// Input is everything that a decision depends on.
type Input struct {
	Now    time.Time
	Models []document.Model
	// Engines are the listed engines, ordered by ID.
	Engines  []ObservedEngine
	Demand   []Demand
	Failures []Failures
	// Last is the plan in force.
	Last Plan
}

// Plan is what every engine should hold, and the progress of rollouts.
type Plan struct {
	Models      []ModelPlan  `cbor:"1,keyasint"`
	Assignments []Assignment `cbor:"2,keyasint"`
}

// ModelPlan is the plan for one model.
type ModelPlan struct {
	Name string `cbor:"1,keyasint"`
	// Copies is how many engines should hold the model.
	Copies int `cbor:"2,keyasint"`
	// Stable is the version that is fully rolled out.
	Stable string `cbor:"3,keyasint"`
	// Next is the version that is being rolled out; empty for none.
	Next string `cbor:"4,keyasint,omitempty"`
	// Step is the index of the rollout's current step in rolloutSteps.
	Step int `cbor:"5,keyasint,omitempty"`
	// StepSinceUnixNano is when the step's copies became ready or, until then,
	// when the step began.
	StepSinceUnixNano int64 `cbor:"6,keyasint,omitempty"`
	// StepReady says that the step's copies became ready and the soak time
	// runs.
	StepReady bool `cbor:"7,keyasint,omitempty"`
	// Failed is a version that was rolled back. It is not tried again until the
	// document has named another version.
	Failed string `cbor:"8,keyasint,omitempty"`
	// LowDemandSinceUnixNano is when demand fell below the planned copies or,
	// if copies have been dropped since then, when the last one was dropped. It
	// is zero while demand is not low.
	LowDemandSinceUnixNano int64 `cbor:"9,keyasint,omitempty"`
}

// Assignment is what one engine should hold.
type Assignment struct {
	Engine upstream.ID   `cbor:"1,keyasint"`
	Models []EngineModel `cbor:"2,keyasint"`
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

// holds reports whether the engine is assigned a model.
func (a Assignment) holds(model string) bool {
	for _, m := range a.Models {
		if m.Name == model {
			return true
		}
	}
	return false
}

// NextPlan computes the plan that follows in.Last.
func NextPlan(in Input, settings Settings) Plan {
	var plan Plan
	for _, model := range in.Models {
		before, known := in.Last.model(model.Name)
		if !known {
			before = initialModelPlan(in, model)
		}
		after := nextCopies(in, settings, model, before)
		plan.Models = append(plan.Models, nextRollout(in, settings, model, after))
	}
	plan.Assignments = assign(in, settings, plan.Models)
	return plan
}

// initialModelPlan returns the plan of a model that has none yet. It keeps the
// copies that engines already hold, up to the document's maximum, so that the
// first planner does not remove serving copies at once.
func initialModelPlan(in Input, model document.Model) ModelPlan {
	held := 0
	for _, engine := range in.Engines {
		if _, ok := engine.State.model(model.Name); ok {
			held++
		}
	}
	if model.MaxCopies > 0 {
		held = min(held, model.MaxCopies)
	}
	return ModelPlan{Name: model.Name, Copies: held, Stable: initialVersion(in, model)}
}

// initialVersion returns the version to treat as stable when there is no plan
// yet: the one that most engines hold, or the document's if none hold any.
func initialVersion(in Input, model document.Model) string {
	counts := make(map[string]int)
	best := model.Version
	for _, engine := range in.Engines {
		held, ok := engine.State.model(model.Name)
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
