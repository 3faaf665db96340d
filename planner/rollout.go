package planner

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
)

// rolloutSteps are the shares of a model's copies that hold the new version in
// each step. Every step covers at least one copy, if the model has any.
var rolloutSteps = [...]float64{0, 0.25, 0.5, 1}

// nextRollout starts, advances or ends a model's rollout, and rolls it back when
// the new version fails.
func nextRollout(in Input, settings Settings, model document.Model, plan ModelPlan) ModelPlan {
	if plan.Failed != "" && plan.Failed != model.Version {
		plan.Failed = "" // the document names another version
	}
	switch {
	case plan.Next != "" && plan.Next != model.Version:
		return endRollout(plan, "") // the document changed during the rollout
	case plan.Next == "" && (model.Version == plan.Stable || model.Version == plan.Failed):
		return plan
	case plan.Next == "":
		return beginStep(in, plan, model.Version, 0)
	}
	return evaluateStep(in, settings, plan)
}

// beginStep starts one step of a rollout.
func beginStep(in Input, plan ModelPlan, version string, step int) ModelPlan {
	plan.Next, plan.Step, plan.StepReady = version, step, false
	plan.StepSinceUnixNano = in.Now.UnixNano()
	return plan
}

// endRollout ends the rollout and leaves the stable version in force. failed, if
// set, is recorded so that it is not tried again until the document names
// another version.
func endRollout(plan ModelPlan, failed string) ModelPlan {
	plan.Next, plan.Step, plan.StepReady, plan.StepSinceUnixNano = "", 0, false, 0
	plan.Failed = failed
	return plan
}

// evaluateStep decides whether the current step continues, is followed by the
// next one, completes the rollout or fails.
func evaluateStep(in Input, settings Settings, plan ModelPlan) ModelPlan {
	took := time.Duration(in.Now.UnixNano() - plan.StepSinceUnixNano)
	ready := countReady(in, plan.Name, plan.Next) >= plan.nextVersionCopies()
	switch {
	case failureShare(in, plan.Name, plan.Next) > settings.MaxFailureShare:
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

// nextVersionCopies returns how many copies hold the new version in this step.
func (m ModelPlan) nextVersionCopies() int {
	if m.Next == "" {
		return 0
	}
	return min(max(int(rolloutSteps[m.Step]*float64(m.Copies)), 1), m.Copies)
}

// countReady counts the engines that can serve a version of a model.
func countReady(in Input, model, version string) int {
	ready := 0
	for _, engine := range in.Engines {
		held, ok := engine.State.model(model)
		if ok && held.Version == version && held.State == stateReady {
			ready++
		}
	}
	return ready
}

// failureShare returns the measured share of failed calls to a version.
func failureShare(in Input, model, version string) float64 {
	for _, f := range in.Failures {
		if f.Model == model && f.Version == version {
			return f.Share
		}
	}
	return 0
}
