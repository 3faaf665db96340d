package capacity

import (
	"fmt"
	"strings"
)

// The marks between which the page's table stands.
const (
	beginMark = "<!-- begin: written by docs/capacity.sh -->"
	endMark   = "<!-- end -->"
)

// Update puts the table that follows from the figures into a page, between its
// marks. The error says that the page has no marks, or which figures the run
// lacks; the page is then returned unchanged.
func Update(page string, f *Figures) (string, error) {
	before, rest, found := strings.Cut(page, beginMark)
	_, after, ended := strings.Cut(rest, endMark)
	if !found || !ended {
		return page, Error.New("the page has no marks")
	}
	table, err := Table(f)
	if err != nil {
		return page, err
	}
	return before + beginMark + "\n" + table + endMark + after, nil
}

// Table writes every row at the target size.
func Table(f *Figures) (string, error) {
	var out strings.Builder
	out.WriteString("| Role | Resource | At the target size | From | Mechanism | Largest size measured |\n")
	out.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	var lacking missing
	for _, r := range rows() {
		amount, basis := r.work(f, &lacking, Target())
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s |\n", r.role, r.resource, amount, basis, r.mechanism, r.largest)
	}
	if len(lacking) > 0 {
		return "", Error.New("the run lacks: %s", strings.Join(lacking, ", "))
	}
	return out.String(), nil
}
