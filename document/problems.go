package document

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is an error in a document and its position.
type Problem struct {
	// Section is the section whose body Line and Column refer to; empty if they
	// refer to the whole document.
	Section Section
	// Line and Column count from 1 in the text that was parsed: the whole
	// document for Parse, the section's body for ParseBodies.
	Line   int
	Column int
	// Message describes the error and, if useful, the allowed values.
	Message string
}

// String formats the problem on one line.
func (p Problem) String() string {
	location := fmt.Sprintf("line %d, column %d", p.Line, p.Column)
	if p.Section != "" {
		location = string(p.Section) + ": " + location
	}
	return location + ": " + p.Message
}

// InvalidError holds every problem found in a document. Callers get it with
// errors.As.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// position is a position in the parsed text.
type position struct {
	section Section
	line    int
	column  int
}

// problemList collects problems. It keeps only the first one at each position,
// because later ones follow from it.
type problemList struct {
	list []Problem
	seen map[position]bool
}

// add records a problem unless there is one at the same position.
func (p *problemList) add(at position, format string, args ...any) {
	if p.seen == nil {
		p.seen = make(map[position]bool)
	}
	if p.seen[at] {
		return
	}
	p.seen[at] = true
	p.list = append(p.list, Problem{
		Section: at.section, Line: at.line, Column: at.column, Message: fmt.Sprintf(format, args...),
	})
}

// err returns an *InvalidError with the problems in document order, or nil if
// there are none.
func (p *problemList) err() error {
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
