package capacity

import (
	"fmt"
	"strings"
)

// The markers that enclose the generated table in the page.
const (
	beginMarker = "<!-- begin: written by docs/capacity.sh -->"
	endMarker   = "<!-- end -->"
)

// Update replaces the text between the page's markers by the table computed from
// f. If the page has no markers or the run lacks values, it returns the page
// unchanged and an error.
func Update(page string, f *Measurements) (string, error) {
	before, rest, found := strings.Cut(page, beginMarker)
	_, after, ended := strings.Cut(rest, endMarker)
	if !found || !ended {
		return page, Error.New("page has no table markers")
	}
	table, err := Table(f)
	if err != nil {
		return page, err
	}
	return before + beginMarker + "\n" + table + endMarker + after, nil
}

// Table returns the whole table in Markdown, with every row computed for the target
// size.
func Table(f *Measurements) (string, error) {
	var out strings.Builder
	out.WriteString("| Role | Resource | At the target size | From | Mechanism | Largest size measured |\n")
	out.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	var absent missingValues
	for _, r := range rows() {
		amount, basis := r.compute(f, &absent, Target())
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s |\n", r.role, r.resource, amount, basis, r.mechanism, r.largestMeasured)
	}
	if len(absent) > 0 {
		return "", Error.New("missing from the benchmark output: %s", strings.Join(absent, ", "))
	}
	return out.String(), nil
}
