// Package strictyaml decodes YAML nodes into Go values and reports everything
// that is wrong, each with its place, instead of stopping at the first fault.
package strictyaml

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Defaulter is a type that has values of its own for keys that are absent.
type Defaulter interface {
	SetDefaults()
}

var durationType = reflect.TypeFor[Duration]()

// Decoder turns nodes into Go values by their yaml tags. It goes on after a
// fault, so that all are reported together.
type Decoder struct {
	// Fault is told what is wrong at a node.
	Fault func(node *yaml.Node, message string)
}

// fault records a fault at a node.
func (d *Decoder) fault(node *yaml.Node, format string, args ...any) {
	d.Fault(node, fmt.Sprintf(format, args...))
}

// Decode sets into from node. What can't be read keeps its former value.
func (d *Decoder) Decode(node *yaml.Node, into reflect.Value) {
	d.decode(node, into)
}

// decode sets into from node. What can't be read keeps its former value.
func (d *Decoder) decode(node *yaml.Node, into reflect.Value) {
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.fault(node, "anchors and aliases are not allowed")
		return
	}
	if into.Type() == durationType {
		d.decodeDuration(node, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, into)
	case reflect.Slice:
		d.decodeSlice(node, into)
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decode(node, into.Elem())
	default:
		d.decodeScalar(node, into)
	}
}

// decodeStruct reads a mapping whose keys must all be fields.
func (d *Decoder) decodeStruct(node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.fault(node, "expected keys and values, found %s", describe(node))
		return
	}
	if value, ok := into.Addr().Interface().(Defaulter); ok {
		value.SetDefaults()
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]bool, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		field, known := fields.byKey[key.Value]
		switch {
		case !known:
			d.fault(key, "unknown key %q; known are %s", key.Value, strings.Join(fields.keys, ", "))
		case seen[key.Value]:
			d.fault(key, "key %q stands twice", key.Value)
		default:
			d.decode(value, into.Field(field))
		}
		seen[key.Value] = true
	}
}

// decodeSlice reads a list.
func (d *Decoder) decodeSlice(node *yaml.Node, into reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.fault(node, "expected a list, found %s", describe(node))
		return
	}
	slice := reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decode(item, slice.Index(i))
	}
	into.Set(slice)
}

// decodeDuration reads a duration with its unit.
func (d *Decoder) decodeDuration(node *yaml.Node, into reflect.Value) {
	parsed, err := time.ParseDuration(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		d.fault(node, "%s is not a duration with a unit, such as 250ms", describe(node))
		return
	}
	into.SetInt(int64(parsed))
}

// decodeScalar reads a string, number or truth value.
func (d *Decoder) decodeScalar(node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.ScalarNode || isNull(node) {
		d.fault(node, "expected %s, found %s", wanted(into.Kind()), describe(node))
		return
	}
	if !setScalar(node, into) {
		d.fault(node, "%s is not %s", describe(node), wanted(into.Kind()))
	}
}

// setScalar sets into from a scalar and says whether it could.
func setScalar(node *yaml.Node, into reflect.Value) bool {
	switch into.Kind() {
	case reflect.String:
		into.SetString(node.Value)
		return true
	case reflect.Int:
		parsed, err := strconv.Atoi(node.Value)
		into.SetInt(int64(parsed))
		return err == nil
	case reflect.Float64:
		parsed, err := strconv.ParseFloat(node.Value, 64)
		if err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) {
			return false
		}
		into.SetFloat(parsed)
		return true
	case reflect.Bool:
		into.SetBool(node.Value == "true")
		return node.Value == "true" || node.Value == "false"
	}
	return false
}

// wanted names a kind of scalar for a message.
func wanted(kind reflect.Kind) string {
	switch kind {
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a text"
}

// describe names what a node holds for a message.
func describe(node *yaml.Node) string {
	switch {
	case isNull(node):
		return "nothing"
	case node.Kind == yaml.ScalarNode:
		return strconv.Quote(node.Value)
	case node.Kind == yaml.MappingNode:
		return "keys and values"
	case node.Kind == yaml.SequenceNode:
		return "a list"
	}
	return "something else"
}

// isNull says whether a node is empty.
func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.Tag == "!!null"
}
