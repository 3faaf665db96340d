package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// WriteCSV writes one line for each cell.
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
			r.class(ClassLookup), r.class(ClassOrder), r.class(ClassDraft), r.class(ClassSummary),
			r.Goodput, r.Early(), r.Late(), r.Wasted, r.Money(), r.Fairness, r.CacheHits(), r.Recovery.Seconds())
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Result) class(name string) string {
	c := r.Classes[name]
	if c == nil {
		return ""
	}
	return fmt.Sprintf("%.4f", c.Attainment())
}

// WriteTable writes results as a Markdown table, one row for each fault and
// variant, one column for each load.
func WriteTable(w io.Writer, results []*Result, loads []float64, value func(*Result) string) {
	type row struct{ fault, variant string }
	cells := make(map[row]map[float64]string)
	var order []row
	for _, r := range results {
		k := row{string(r.Cell.Fault), r.Cell.Variant.Name}
		if cells[k] == nil {
			cells[k] = make(map[float64]string)
			order = append(order, k)
		}
		cells[k][r.Cell.Load] = value(r)
	}
	head := []string{"fault", "variant"}
	for _, load := range loads {
		head = append(head, fmt.Sprintf("%.0f%%", 100*load))
	}
	writeRow(w, head)
	writeRow(w, slices.Repeat([]string{"---"}, len(head)))
	for _, k := range order {
		line := []string{k.fault, k.variant}
		for _, load := range loads {
			line = append(line, cells[k][load])
		}
		writeRow(w, line)
	}
}

func writeRow(w io.Writer, cells []string) {
	_, _ = fmt.Fprintln(w, "| "+strings.Join(cells, " | ")+" |") // into memory
}
