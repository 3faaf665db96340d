package document

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one fault in a document and where it stands.
type Problem struct {
	// Section is the part of the document; empty for the document itself.
	Section Section
	// Line and Column count from 1 in the text that was parsed: the whole
	// document for Parse, the section's body for ParseBodies.
	Line   int
	Column int
	// Message says what is wrong, and where it helps what is allowed.
	Message string
}

// String gives the problem on one line.
func (p Problem) String() string {
	place := fmt.Sprintf("line %d, column %d", p.Line, p.Column)
	if p.Section != "" {
		place = string(p.Section) + ": " + place
	}
	return place + ": " + p.Message
}

// InvalidError is every fault that was found in a document, together. Get it
// with errors.As.
type InvalidError struct {
	Problems []Problem
}

// Error gives one problem on each line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// place is a position in the parsed text.
type place struct {
	section Section
	line    int
	column  int
}

// problems gathers faults; only the first at each place is kept, because
// later ones follow from it.
type problems struct {
	list []Problem
	seen map[place]bool
}

// add records a fault unless its place has one already.
func (p *problems) add(at place, format string, args ...any) {
	if p.seen == nil {
		p.seen = make(map[place]bool)
	}
	if p.seen[at] {
		return
	}
	p.seen[at] = true
	p.list = append(p.list, Problem{
		Section: at.section, Line: at.line, Column: at.column, Message: fmt.Sprintf(format, args...),
	})
}

// err returns the faults in the order of the document, or nil.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	order := make(map[Section]int)
	for i, section := range Sections() {
		order[section] = i + 1
	}
	sort.SliceStable(p.list, func(i, j int) bool {
		a, b := p.list[i], p.list[j]
		if a.Line != b.Line && order[a.Section] == order[b.Section] {
			return a.Line < b.Line
		}
		if order[a.Section] != order[b.Section] {
			return order[a.Section] < order[b.Section]
		}
		return a.Column < b.Column
	})
	return Error.Wrap(&InvalidError{Problems: p.list})
}
