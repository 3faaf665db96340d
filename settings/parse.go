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

// Fault is one thing that is wrong with the settings.
type Fault struct {
	// Line and Column count from 1; both are 0 for a setting that the file
	// does not have.
	Line   int
	Column int
	// Key is the setting, such as "listen.http"; empty when unknown.
	Key     string
	Message string
}

// String gives the fault on one line.
func (f Fault) String() string {
	text := f.Message
	if f.Key != "" {
		text = f.Key + ": " + text
	}
	if f.Line == 0 {
		return text
	}
	return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, text)
}

// InvalidError is everything that is wrong with the settings, together. Get it
// with errors.As.
type InvalidError struct {
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse reads settings strictly over the defaults, then lets override change
// them (nil changes nothing), and checks the whole. The error holds an
// *InvalidError.
func Parse(data []byte, override func(*Settings)) (Settings, error) {
	s := Default()
	file := &file{}
	file.read(data, &s)
	if override != nil {
		override(&s)
	}
	for _, f := range check(s) {
		file.addChecked(f)
	}
	return s, file.err()
}

// file is the settings file as it was read.
type file struct {
	top    *yaml.Node
	faults []Fault
}

// read decodes the file into s.
func (f *file) read(data []byte, s *Settings) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		f.faults = append(f.faults, Fault{Message: strings.TrimPrefix(err.Error(), "yaml: ")})
		return
	}
	if len(root.Content) == 0 {
		return
	}
	f.top = root.Content[0]
	decoder := strictyaml.Decoder{Report: func(node *yaml.Node, message string) {
		f.faults = append(f.faults, Fault{Line: node.Line, Column: node.Column, Message: message})
	}}
	decoder.Decode(f.top, reflect.ValueOf(s).Elem())
}

// addChecked adds a fault that a check found, with its place in the file. A
// place that has a fault already gets no second one.
func (f *file) addChecked(found fault) {
	added := Fault{Key: found.key, Message: found.message}
	if node := find(f.top, strings.Split(found.key, ".")); node != nil {
		added.Line, added.Column = node.Line, node.Column
	}
	for _, earlier := range f.faults {
		if added.Line != 0 && earlier.Line == added.Line {
			return
		}
	}
	f.faults = append(f.faults, added)
}

// find returns the node of a setting, or nil.
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

// err returns the faults in the order of the file, or nil.
func (f *file) err() error {
	if len(f.faults) == 0 {
		return nil
	}
	sort.SliceStable(f.faults, func(i, j int) bool { return f.faults[i].Line < f.faults[j].Line })
	return Error.Wrap(&InvalidError{Faults: f.faults})
}
