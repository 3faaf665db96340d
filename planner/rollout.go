package planner

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
)

// rolloutSteps are the shares of a model's copies that hold a new version
// after each step; the first step is at least one copy.
var rolloutSteps = [...]float64{0, 0.25, 0.5, 1}

// nextRollout moves a model's rollout on, or back when it fails.
func nextRollout(in Input, settings Settings, model document.Model, plan ModelPlan) ModelPlan {
	if plan.Failed != "" && plan.Failed != model.Version {
		plan.Failed = "" // the document names another version now
	}
	switch {
	case plan.Next != "" && plan.Next != model.Version:
		return endRollout(plan, "") // the operators changed their mind
	case plan.Next == "" && (model.Version == plan.Stable || model.Version == plan.Failed):
		return plan
	case plan.Next == "":
		return beginStep(in, plan, model.Version, 0)
	}
	return watchStep(in, settings, plan)
}

// beginStep starts one step.
func beginStep(in Input, plan ModelPlan, version string, step int) ModelPlan {
	plan.Next, plan.Step, plan.StepReady = version, step, false
	plan.StepSinceUnixNano = in.Now.UnixNano()
	return plan
}

// endRollout gives the new version up. failed is kept so that it isn't tried
// again until the document names another.
func endRollout(plan ModelPlan, failed string) ModelPlan {
	plan.Next, plan.Step, plan.StepReady, plan.StepSinceUnixNano = "", 0, false, 0
	plan.Failed = failed
	return plan
}

// watchStep judges the step that is under way.
func watchStep(in Input, settings Settings, plan ModelPlan) ModelPlan {
	took := time.Duration(in.Now.UnixNano() - plan.StepSinceUnixNano)
	ready := readyOn(in, plan.Name, plan.Next) >= plan.copiesOfNext()
	switch {
	case failureShare(in, plan.Name, plan.Next) > settings.MaxFailures:
		return endRollout(plan, plan.Next)
	case !ready && took > settings.LoadTimeout:
		return endRollout(plan, plan.Next)
	case !ready:
		return plan
	case !plan.StepReady:
		plan.StepReady = true
		plan.StepSinceUnixNano = in.Now.UnixNano()
		return plan
	case took < settings.Soak:
		return plan
	case plan.Step < len(rolloutSteps)-1:
		return beginStep(in, plan, plan.Next, plan.Step+1)
	}
	plan.Stable = plan.Next
	return endRollout(plan, "")
}

// copiesOfNext is how many copies hold the new version in this step.
func (m ModelPlan) copiesOfNext() int {
	if m.Next == "" {
		return 0
	}
	return min(max(int(rolloutSteps[m.Step]*float64(m.Copies)), 1), m.Copies)
}

// readyOn counts the engines that are ready with a version.
func readyOn(in Input, model, version string) int {
	ready := 0
	for _, engine := range in.Engines {
		held, ok := engine.State.held(model)
		if ok && held.Version == version && held.State == stateReady {
			ready++
		}
	}
	return ready
}

// failureShare is the measured share of failed calls on a version.
func failureShare(in Input, model, version string) float64 {
	for _, f := range in.Failures {
		if f.Model == model && f.Version == version {
			return f.Share
		}
	}
	return 0
}
