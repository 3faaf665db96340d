package experiment

// point names the cells that differ only in the variant.
type point struct {
	deployment string
	load       float64
	fault      Fault
}

// index finds results by point and variant.
type index map[point]map[string]*Result

func indexResults(results []*Result) index {
	x := make(index)
	for _, r := range results {
		k := point{deployment: r.Cell.Deployment, load: r.Cell.Load, fault: r.Cell.Fault}
		if x[k] == nil {
			x[k] = make(map[string]*Result)
		}
		x[k][r.Cell.Variant.Name] = r
	}
	return x
}

// whole returns the whole policy's result at a point, or nil.
func (x index) whole(k point) *Result { return x[k][Whole().Name] }

// best returns the baseline with the most attainment at a point, or nil.
func (x index) best(k point) *Result {
	var best *Result
	for _, r := range x[k] {
		if r.Cell.Variant.Baseline && (best == nil || r.Attainment() > best.Attainment()) {
			best = r
		}
	}
	return best
}

// points lists a grid's points that were measured, in its order.
func (g *Grid) points(x index, loads []float64) []point {
	var all []point
	for _, d := range g.Deployments {
		for _, f := range g.Faults {
			for _, load := range loads {
				k := point{deployment: d.Name, load: load, fault: f}
				if x.whole(k) != nil {
					all = append(all, k)
				}
			}
		}
	}
	return all
}
