package experiment

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// WriteCSV writes one CSV line for each cell.
func WriteCSV(w io.Writer, results []*Result) error {
	_, err := fmt.Fprintln(w, "deployment,load,fault,variant,attainment,"+
		"lookup,order,draft,summary,goodput,early,late,wasted,money,fairness,cache_hits,recovery_s")
	if err != nil {
		return err
	}
	for _, r := range results {
		c := r.Cell
		_, err := fmt.Fprintf(w, "%s,%.2f,%s,%s,%.4f,%s,%s,%s,%s,%.3f,%.4f,%.4f,%.4f,%.4f,%.3f,%.3f,%.1f\n",
			c.Deployment, c.Load, c.Fault, c.Variant.Name, r.Attainment(),
			r.formatClassAttainment(ClassLookup), r.formatClassAttainment(ClassOrder), r.formatClassAttainment(ClassDraft), r.formatClassAttainment(ClassSummary),
			r.Goodput, r.Early(), r.Late(), r.Wasted, r.Money(), r.Fairness, r.CacheHits(), r.Recovery.Seconds())
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Result) formatClassAttainment(name string) string {
	c := r.Classes[name]
	if c == nil {
		return ""
	}
	return fmt.Sprintf("%.4f", c.Attainment())
}

// table writes a Markdown table.
type table struct{ page *bytes.Buffer }

func newTable(page *bytes.Buffer, title string, head ...string) table {
	fmt.Fprintf(page, "## %s\n\n", title)
	t := table{page: page}
	t.row(head...)
	rule := make([]string, len(head))
	for i := range rule {
		rule[i] = "---"
	}
	t.row(rule...)
	return t
}

func (t table) row(cells ...string) {
	t.page.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t table) end() { t.page.WriteString("\n") }

func percent(v float64) string { return fmt.Sprintf("%.1f", 100*v) }

func loadName(load float64) string { return fmt.Sprintf("%.0f%%", 100*load) }

// writeAttainment writes the attainment of the full policy and of the best
// baseline.
func writeAttainment(page *bytes.Buffer, g *Grid, x resultIndex) {
	for _, d := range g.Deployments {
		head := []string{"fault"}
		for _, load := range g.Loads {
			head = append(head, loadName(load))
		}
		t := newTable(page, fmt.Sprintf("Attainment, %s: whole policy / best baseline, in percent", d.Name), head...)
		for _, f := range g.Faults {
			line := []string{string(f)}
			for _, load := range g.Loads {
				k := point{deployment: d.Name, load: load, fault: f}
				line = append(line, formatAttainments(x.fullPolicy(k), x.bestBaseline(k)))
			}
			t.row(line...)
		}
		t.end()
	}
}

func formatAttainments(full, best *Result) string {
	if full == nil || best == nil {
		return "not run"
	}
	return percent(full.Attainment()) + " / " + percent(best.Attainment())
}

// writeClasses writes the results of each class under the full policy.
func writeClasses(page *bytes.Buffer, g *Grid, x resultIndex) {
	t := newTable(page, "Whole policy by class, in percent; early is refused before running, late is missed after",
		"deployment", "load", "fault", "lookup", "order", "draft", "summary", "early", "late",
		"wasted", "goodput", "fairness", "cache hits", "recovery")
	for _, k := range g.points(x, g.Loads) {
		r := x.fullPolicy(k)
		line := []string{k.deployment, loadName(k.load), string(k.fault)}
		for _, name := range []string{ClassLookup, ClassOrder, ClassDraft, ClassSummary} {
			line = append(line, classPercent(r, name))
		}
		line = append(line, percent(r.Early()), percent(r.Late()), percent(r.Wasted), percent(r.Goodput),
			fmt.Sprintf("%.3f", r.Fairness), percent(r.CacheHits()), formatRecovery(r))
		t.row(line...)
	}
	t.end()
}

func classPercent(r *Result, name string) string {
	c := r.Classes[name]
	if c == nil {
		return ""
	}
	return percent(c.Attainment())
}

func formatRecovery(r *Result) string {
	if r.Cell.Fault != FaultBurst {
		return ""
	}
	return r.Recovery.String()
}

// writeStages writes the cost of each stage per 1000 answers in time.
func writeStages(page *bytes.Buffer, g *Grid, x resultIndex) {
	t := newTable(page, "Cost by stage, healthy: money for 1000 answers in time, by whole policy / best baseline",
		"deployment", "load", "stage", "whole", "best baseline")
	for _, k := range g.points(x, g.Loads) {
		full, best := x.fullPolicy(k), x.bestBaseline(k)
		if k.fault != FaultNone || best == nil {
			continue
		}
		for _, s := range baseDocument().Stages {
			if full.Stages[s.Name].Attempts == 0 {
				continue
			}
			t.row(k.deployment, loadName(k.load), s.Name, stageMoney(full, s.Name), stageMoney(best, s.Name))
		}
	}
	t.end()
}

func stageMoney(r *Result, stage string) string {
	var served int
	for _, c := range r.Classes {
		served += c.InTime
	}
	return fmt.Sprintf("%.1f", 1000*r.Stages[stage].Money/float64(max(served, 1)))
}
