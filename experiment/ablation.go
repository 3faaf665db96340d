package experiment

import (
	"bytes"
	"fmt"
)

// effect is the effect of one part of the policy, summed over cells: the full
// policy's figures minus those without the part.
type effect struct {
	cells                                             int
	attainment, lookup, late, wasted, money, fairness float64
	// maxGain is the largest gain in attainment, at the point maxGainPoint.
	maxGain      float64
	maxGainPoint point
}

func (e *effect) add(k point, with, without *Result) {
	gain := with.Attainment() - without.Attainment()
	if e.cells == 0 || gain > e.maxGain {
		e.maxGain, e.maxGainPoint = gain, k
	}
	e.cells++
	e.attainment += gain
	e.lookup += with.Classes[ClassLookup].Attainment() - without.Classes[ClassLookup].Attainment()
	e.late += with.Late() - without.Late()
	e.wasted += with.Wasted - without.Wasted
	e.money += with.Money()/without.Money() - 1
	e.fairness += with.Fairness - without.Fairness
}

// writeAblations writes, for each part, the difference between the full policy and
// the policy without that part.
func writeAblations(page *bytes.Buffer, g *Grid, x resultIndex) {
	for _, load := range g.AblationLoads {
		t := newTable(page, fmt.Sprintf("What each part adds at %s load: whole less without, mean over all faults", loadName(load)),
			"part switched off", "attainment, points", "lookups, points", "late, points", "wasted, points",
			"money, %", "fairness", "most attainment added, points", "in cell")
		for _, v := range g.Ablations {
			e := g.ablationEffect(x, v.Name, load)
			if e.cells == 0 {
				continue
			}
			n := float64(e.cells)
			signed := func(sum float64) string { return fmt.Sprintf("%+.2f", 100*sum/n) }
			t.row(v.Name, signed(e.attainment), signed(e.lookup), signed(e.late), signed(e.wasted),
				signed(e.money), fmt.Sprintf("%+.4f", e.fairness/n), fmt.Sprintf("%+.1f", 100*e.maxGain),
				e.maxGainPoint.deployment+", "+string(e.maxGainPoint.fault))
		}
		t.end()
	}
}

func (g *Grid) ablationEffect(x resultIndex, variant string, load float64) effect {
	var e effect
	for _, k := range g.points(x, []float64{load}) {
		if without := x[k][variant]; without != nil {
			e.add(k, x.fullPolicy(k), without)
		}
	}
	return e
}
