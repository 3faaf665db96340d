package experiment

// point identifies the cells that differ only in the variant.
type point struct {
	deployment string
	load       float64
	fault      Fault
}

// resultIndex maps a point and the name of a variant to the result.
type resultIndex map[point]map[string]*Result

func indexResults(results []*Result) resultIndex {
	x := make(resultIndex)
	for _, r := range results {
		k := point{deployment: r.Cell.Deployment, load: r.Cell.Load, fault: r.Cell.Fault}
		if x[k] == nil {
			x[k] = make(map[string]*Result)
		}
		x[k][r.Cell.Variant.Name] = r
	}
	return x
}

// fullPolicy returns the result of the full policy at a point, or nil.
func (x resultIndex) fullPolicy(k point) *Result { return x[k][FullPolicy().Name] }

// bestBaseline returns the result of the baseline with the highest attainment at a
// point, or nil.
func (x resultIndex) bestBaseline(k point) *Result {
	var best *Result
	for _, r := range x[k] {
		if r.Cell.Variant.Baseline && (best == nil || r.Attainment() > best.Attainment()) {
			best = r
		}
	}
	return best
}

// points lists the grid's measured points in the order of its cells.
func (g *Grid) points(x resultIndex, loads []float64) []point {
	var all []point
	for _, d := range g.Deployments {
		for _, f := range g.Faults {
			for _, load := range loads {
				k := point{deployment: d.Name, load: load, fault: f}
				if x.fullPolicy(k) != nil {
					all = append(all, k)
				}
			}
		}
	}
	return all
}
