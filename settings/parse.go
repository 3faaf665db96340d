package settings

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/internal/strictyaml"
)

// Error is the class of every error this package returns.
var Error = errs.Class("settings")

// Problem is an error in the settings and its position in the file.
type Problem struct {
	// Line and Column count from 1. Both are 0 if the setting is not in the
	// file, or if the file is not valid YAML.
	Line   int
	Column int
	// Key is the path of the setting, such as "listen.http"; empty if unknown.
	Key     string
	Message string
}

// String formats the problem on one line.
func (p Problem) String() string {
	text := p.Message
	if p.Key != "" {
		text = p.Key + ": " + text
	}
	if p.Line == 0 {
		return text
	}
	return fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, text)
}

// InvalidError holds every problem that Parse found. Callers get it with
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

// Parse decodes the settings file over the defaults, calls override on the
// result unless it is nil, and validates the settings. Unknown keys are errors.
// The error wraps an *InvalidError.
func Parse(data []byte, override func(*Settings)) (Settings, error) {
	s := Default()
	parsed := &file{}
	parsed.read(data, &s)
	if override != nil {
		override(&s)
	}
	for _, failure := range check(s) {
		parsed.addChecked(failure)
	}
	return s, parsed.err()
}

// file is the parsed settings file and the problems found so far.
type file struct {
	top      *yaml.Node
	problems []Problem
}

// read decodes the file into s and records a problem for everything that can't be
// decoded.
func (f *file) read(data []byte, s *Settings) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		f.problems = append(f.problems, Problem{Message: strings.TrimPrefix(err.Error(), "yaml: ")})
		return
	}
	if len(root.Content) == 0 {
		return
	}
	f.top = root.Content[0]
	decoder := strictyaml.Decoder{Report: func(node *yaml.Node, message string) {
		f.problems = append(f.problems, Problem{Line: node.Line, Column: node.Column, Message: message})
	}}
	decoder.Decode(f.top, reflect.ValueOf(s).Elem())
}

// addChecked adds a failed check with its position in the file, unless the same
// line already has a problem, from which the failure probably follows.
func (f *file) addChecked(failure checkFailure) {
	problem := Problem{Key: failure.key, Message: failure.message}
	if node := find(f.top, strings.Split(failure.key, ".")); node != nil {
		problem.Line, problem.Column = node.Line, node.Column
	}
	for _, earlier := range f.problems {
		if problem.Line != 0 && earlier.Line == problem.Line {
			return
		}
	}
	f.problems = append(f.problems, problem)
}

// find returns the node at a path of keys below node, or nil.
func find(node *yaml.Node, path []string) *yaml.Node {
	if node == nil || len(path) == 0 {
		return node
	}
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == path[0] {
			return find(node.Content[i+1], path[1:])
		}
	}
	return nil
}

// err returns an *InvalidError with the problems sorted by line, or nil if there
// are none.
func (f *file) err() error {
	if len(f.problems) == 0 {
		return nil
	}
	sort.SliceStable(f.problems, func(i, j int) bool { return f.problems[i].Line < f.problems[j].Line })
	return Error.Wrap(&InvalidError{Problems: f.problems})
}
