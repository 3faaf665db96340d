package experiment

import (
	"bytes"
	"fmt"
)

// effect is what a part of the policy adds, as a mean over cells.
type effect struct {
	cells                                         int
	attainment, lookup, late, wasted, money, fair float64
	// best is the cell in which the part adds most attainment.
	best   float64
	bestAt point
}

func (e *effect) add(k point, with, without *Result) {
	gain := with.Attainment() - without.Attainment()
	if e.cells == 0 || gain > e.best {
		e.best, e.bestAt = gain, k
	}
	e.cells++
	e.attainment += gain
	e.lookup += with.Classes[ClassLookup].Attainment() - without.Classes[ClassLookup].Attainment()
	e.late += with.Late() - without.Late()
	e.wasted += with.Wasted - without.Wasted
	e.money += with.Money()/without.Money() - 1
	e.fair += with.Fairness - without.Fairness
}

// writeAblations shows, for each part, the whole policy less the policy
// without it.
func writeAblations(page *bytes.Buffer, g *Grid, x index) {
	for _, load := range g.AblationLoads {
		t := newTable(page, fmt.Sprintf("What each part adds at %s load: whole less without, mean over all faults", loadName(load)),
			"part switched off", "attainment, points", "lookups, points", "late, points", "wasted, points",
			"money, %", "fairness", "most attainment added, points", "in cell")
		for _, v := range g.Ablations {
			e := g.effectOf(x, v.Name, load)
			if e.cells == 0 {
				continue
			}
			n := float64(e.cells)
			signed := func(sum float64) string { return fmt.Sprintf("%+.2f", 100*sum/n) }
			t.row(v.Name, signed(e.attainment), signed(e.lookup), signed(e.late), signed(e.wasted),
				signed(e.money), fmt.Sprintf("%+.4f", e.fair/n), fmt.Sprintf("%+.1f", 100*e.best),
				e.bestAt.deployment+", "+string(e.bestAt.fault))
		}
		t.end()
	}
}

func (g *Grid) effectOf(x index, variant string, load float64) effect {
	var e effect
	for _, k := range g.points(x, []float64{load}) {
		if without := x[k][variant]; without != nil {
			e.add(k, x.whole(k), without)
		}
	}
	return e
}
