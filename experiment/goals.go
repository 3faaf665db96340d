package experiment

import (
	"bytes"
	"fmt"
)

// The thresholds of the policy's goals.
const (
	goalLookup  = 0.99
	goalGoodput = 0.95
	goalWasted  = 0.05
	// goalStraggler is how much attainment one slow upstream may cost.
	goalStraggler = 0.01
	overloadLoad  = 1.5
	// fullLoad is the highest load at which the other upstreams can replace a lost
	// one.
	fullLoad = 1.0
)

// goalResult counts the cells that meet a goal, and lists those that miss it.
type goalResult struct {
	name   string
	met    int
	missed []string
}

func (t *goalResult) check(ok bool, k point, value string) {
	if ok {
		t.met++
		return
	}
	t.missed = append(t.missed, fmt.Sprintf("%s %s %s (%s)", k.deployment, loadName(k.load), k.fault, value))
}

// writeGoals writes how many cells meet each goal, and which cells miss it.
func writeGoals(page *bytes.Buffer, g *Grid, x resultIndex) {
	t := newTable(page, "Goals", "goal", "cells that meet it", "cells that don't")
	for _, goal := range evaluateGoals(g, x) {
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

func evaluateGoals(g *Grid, x resultIndex) []*goalResult {
	best := &goalResult{name: "attainment at or above the best baseline"}
	lookup := &goalResult{name: "at 150%, lookups keep 99%"}
	goodput := &goalResult{name: "at 150%, goodput within 5% of capacity, where no capacity is lost"}
	straggler := &goalResult{name: "one straggler costs under 1 point, up to 100% load"}
	wasted := &goalResult{name: "wasted work under 5%"}
	for _, k := range g.points(x, g.Loads) {
		r := x.fullPolicy(k)
		if b := x.bestBaseline(k); b != nil {
			best.check(r.Attainment() >= b.Attainment(), k, formatAttainments(r, b))
		}
		wasted.check(r.Wasted < goalWasted, k, percent(r.Wasted))
		if k.load == overloadLoad {
			value := r.Classes[ClassLookup].Attainment()
			lookup.check(value >= goalLookup, k, percent(value))
			if !k.fault.changesCapacity() {
				goodput.check(r.Goodput >= goalGoodput, k, percent(r.Goodput))
			}
		}
		healthy := x.fullPolicy(point{deployment: k.deployment, load: k.load, fault: FaultNone})
		if k.fault.Straggler() && healthy != nil && k.load <= fullLoad {
			cost := healthy.Attainment() - r.Attainment()
			straggler.check(cost < goalStraggler, k, percent(cost))
		}
	}
	return []*goalResult{best, lookup, goodput, straggler, wasted}
}

// changesCapacity reports whether the fault changes the capacity of the engines, so
// that goodput cannot be compared with the declared capacity.
func (f Fault) changesCapacity() bool {
	switch f {
	case FaultHalfEnginesLost, FaultDataCentreLost, FaultSmallerEngines, FaultLargerEngines, FaultSlowEngine:
		return true
	}
	return false
}
