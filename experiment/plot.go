package experiment

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// writePlots draws two plots for each deployment, without faults: the attainment of
// all requests and that of lookups, over the load.
func writePlots(dir string, g *Grid, results []*Result) error {
	x := indexResults(results)
	for _, d := range g.Deployments {
		all := func(r *Result) float64 { return r.Attainment() }
		lookups := func(r *Result) float64 { return r.Classes[ClassLookup].Attainment() }
		if err := writePlot(dir, "policy-"+d.Name+"-all.svg", d.Name+": all requests", g, x, &d, all); err != nil {
			return err
		}
		if err := writePlot(dir, "policy-"+d.Name+"-lookups.svg", d.Name+": lookups", g, x, &d, lookups); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(dir, file, title string, g *Grid, x resultIndex, d *Deployment, value func(*Result) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load, % of capacity"
	p.Y.Label.Text = "in time, %"
	p.Y.Min = 0
	p.Y.Max = 100
	p.Legend.Left = true
	for i, v := range g.Variants {
		line, err := plotter.NewLine(loadCurve(g, x, d, v.Name, value))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(v.Name, line)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, file))
}

func loadCurve(g *Grid, x resultIndex, d *Deployment, variant string, value func(*Result) float64) plotter.XYs {
	var points plotter.XYs
	for _, load := range g.Loads {
		if r := x[point{deployment: d.Name, load: load, fault: FaultNone}][variant]; r != nil {
			points = append(points, plotter.XY{X: 100 * load, Y: 100 * value(r)})
		}
	}
	return points
}
