package planner

import (
	"math"

	"github.com/galenaseam/galenaseam/document"
)

// nextCopies follows demand: up at once, down by one copy and only after
// demand stayed low.
func nextCopies(in Input, settings Settings, model document.Model, before ModelPlan) ModelPlan {
	after := before
	wanted := wantedCopies(in, settings, model)
	switch {
	case wanted >= before.Copies:
		after.Copies = wanted
		after.LowSinceUnixNano = 0
	case before.LowSinceUnixNano == 0:
		after.LowSinceUnixNano = in.Now.UnixNano()
	case in.Now.UnixNano()-before.LowSinceUnixNano >= int64(settings.ShrinkAfter):
		after.Copies = before.Copies - 1
		after.LowSinceUnixNano = in.Now.UnixNano()
	}
	return after
}

// wantedCopies is what demand asks for within the document's bounds.
func wantedCopies(in Input, settings Settings, model document.Model) int {
	wanted := 0
	for _, d := range in.Demand {
		if d.Model == model.Name {
			wanted = int(math.Ceil(d.Copies / settings.Utilisation))
		}
	}
	wanted = max(wanted, model.MinCopies)
	if model.MaxCopies > 0 {
		wanted = min(wanted, model.MaxCopies)
	}
	return wanted
}
