package experiment

import (
	"bytes"
	"fmt"
)

// The goals of the policy.
const (
	goalLookup  = 0.99
	goalGoodput = 0.95
	goalWasted  = 0.05
	// goalStraggler is the most attainment that one slow upstream may cost.
	goalStraggler = 0.01
	overload      = 1.5
	// fullLoad is the highest load at which the loss of an upstream can be
	// made good by the others.
	fullLoad = 1.0
)

// tallyGoal counts the cells that meet a goal, and lists the others.
type tallyGoal struct {
	name   string
	met    int
	missed []string
}

func (t *tallyGoal) check(ok bool, k point, value string) {
	if ok {
		t.met++
		return
	}
	t.missed = append(t.missed, fmt.Sprintf("%s %s %s (%s)", k.deployment, loadName(k.load), k.fault, value))
}

// writeGoals says which goals were met, and where not.
func writeGoals(page *bytes.Buffer, g *Grid, x index) {
	t := newTable(page, "Goals", "goal", "cells that meet it", "cells that don't")
	for _, goal := range goals(g, x) {
		missed := "none"
		if len(goal.missed) > 0 {
			missed = fmt.Sprint(len(goal.missed), ": ")
			for i, m := range goal.missed {
				if i > 0 {
					missed += "; "
				}
				missed += m
			}
		}
		t.row(goal.name, fmt.Sprint(goal.met), missed)
	}
	t.end()
}

func goals(g *Grid, x index) []*tallyGoal {
	best := &tallyGoal{name: "attainment at or above the best baseline"}
	lookup := &tallyGoal{name: "at 150%, lookups keep 99%"}
	goodput := &tallyGoal{name: "at 150%, goodput within 5% of capacity, where no capacity is lost"}
	straggler := &tallyGoal{name: "one straggler costs under 1 point, up to 100% load"}
	wasted := &tallyGoal{name: "wasted work under 5%"}
	for _, k := range g.points(x, g.Loads) {
		r := x.whole(k)
		if b := x.best(k); b != nil {
			best.check(r.Attainment() >= b.Attainment(), k, versus(r, b))
		}
		wasted.check(r.Wasted < goalWasted, k, percent(r.Wasted))
		if k.load == overload {
			value := r.Classes[ClassLookup].Attainment()
			lookup.check(value >= goalLookup, k, percent(value))
			if !k.fault.losesCapacity() {
				goodput.check(r.Goodput >= goalGoodput, k, percent(r.Goodput))
			}
		}
		healthy := x.whole(point{deployment: k.deployment, load: k.load, fault: FaultNone})
		if k.fault.Straggler() && healthy != nil && k.load <= fullLoad {
			cost := healthy.Attainment() - r.Attainment()
			straggler.check(cost < goalStraggler, k, percent(cost))
		}
	}
	return []*tallyGoal{best, lookup, goodput, straggler, wasted}
}

// losesCapacity reports whether the fault takes engines away.
func (f Fault) losesCapacity() bool {
	switch f {
	case FaultHalfEngines, FaultDataCentre, FaultSmaller, FaultLarger, FaultSlowEngine:
		return true
	}
	return false
}
