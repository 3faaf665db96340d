package planner

import (
	"math"

	"github.com/galenaseam/galenaseam/document"
)

// nextCopies scales a model's copies with demand: up at once, down by one copy
// at a time and only after demand has been low for Settings.ScaleDownDelay.
func nextCopies(in Input, settings Settings, model document.Model, before ModelPlan) ModelPlan {
	after := before
	wanted := wantedCopies(in, settings, model)
	switch {
	case wanted >= before.Copies:
		after.Copies = wanted
		after.LowDemandSinceUnixNano = 0
	case before.LowDemandSinceUnixNano == 0:
		after.LowDemandSinceUnixNano = in.Now.UnixNano()
	case in.Now.UnixNano()-before.LowDemandSinceUnixNano >= int64(settings.ScaleDownDelay):
		after.Copies = before.Copies - 1
		after.LowDemandSinceUnixNano = in.Now.UnixNano()
	}
	return after
}

// wantedCopies returns the number of copies that demand calls for, within the
// document's bounds.
func wantedCopies(in Input, settings Settings, model document.Model) int {
	wanted := 0
	for _, d := range in.Demand {
		if d.Model == model.Name {
			wanted = int(math.Ceil(d.Copies / settings.TargetUtilisation))
		}
	}
	wanted = max(wanted, model.MinCopies)
	if model.MaxCopies > 0 {
		wanted = min(wanted, model.MaxCopies)
	}
	return wanted
}
