package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entryForm is the form of an entry of the list of known faults.
const entryForm = "test PACKAGE.TEST or manual NAME | command and seed | what was seen | issue NUMBER"

var (
	testName = regexp.MustCompile(`^[^\s]+\.(Test|Fuzz|Example)[^./\s]*$`)
	issues   = regexp.MustCompile(`^issue \d+(, \d+)*$`)
)

// entry is one known fault that is not mended yet.
type entry struct {
	line  int    // first line in the list, counted from 1
	pkg   string // folder from the root of the module, or import path; empty for a manual run
	test  string // name of a top-level test; empty for a manual run
	issue string
}

func (e entry) name() string { return e.pkg + "." + e.test }

// parse reads a list of known faults. An entry starts in the first column, and its
// further lines are indented. Lines that start with # are comments. An error names
// each malformed line.
func parse(file, text string) ([]entry, error) {
	var (
		entries []entry
		wrong   []string
		start   int // line of the entry that is being read, 0 outside of one
		content string
	)
	report := func(line int, format string, args ...any) {
		wrong = append(wrong, fmt.Sprintf("%s:%d: ", file, line)+fmt.Sprintf(format, args...))
	}
	finish := func() {
		if start == 0 {
			return
		}
		e, err := parseEntry(content)
		if err != nil {
			report(start, "%s", err)
		}
		e.line = start
		entries = append(entries, e)
		start = 0
	}
	for i, line := range strings.Split(text, "\n") {
		indented := strings.TrimLeft(line, " \t") != line
		switch {
		case strings.TrimSpace(line) == "" || strings.HasPrefix(line, "#"):
			finish()
		case !indented:
			finish()
			start, content = i+1, line
		case start == 0:
			report(i+1, "indented line %q belongs to no entry", strings.TrimSpace(line))
		default:
			content += " " + strings.TrimSpace(line)
		}
	}
	finish()
	if len(wrong) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(wrong, "\n"))
	}
	return entries, nil
}

func parseEntry(content string) (entry, error) {
	fields := strings.Split(content, "|")
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
		if fields[i] == "" {
			return entry{}, fmt.Errorf("field %d is empty in %q; an entry is %s", i+1, content, entryForm)
		}
	}
	if len(fields) != 4 {
		return entry{}, fmt.Errorf("%d fields in %q; an entry is %s", len(fields), content, entryForm)
	}
	e := entry{issue: fields[3]}
	if !issues.MatchString(e.issue) {
		return entry{}, fmt.Errorf("%q names no issue; an entry is %s", e.issue, entryForm)
	}
	kind, name, _ := strings.Cut(fields[0], " ")
	name = strings.TrimSpace(name)
	switch {
	case name == "":
		return entry{}, fmt.Errorf("%q has no name; an entry is %s", fields[0], entryForm)
	case kind == "manual":
		return e, nil
	case kind != "test":
		return entry{}, fmt.Errorf("kind %q is neither test nor manual; an entry is %s", kind, entryForm)
	case !testName.MatchString(name):
		return entry{}, fmt.Errorf("%q is not a top-level test in the form PACKAGE.TEST", name)
	}
	dot := strings.LastIndex(name, ".")
	e.pkg, e.test = name[:dot], name[dot+1:]
	return e, nil
}
