// Package strictyaml decodes YAML nodes into Go values. It rejects unknown and
// duplicate keys, anchors and aliases, and reports every problem with its
// position instead of stopping at the first.
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

// Defaulter is implemented by types that set defaults for absent keys. Decode
// calls SetDefaults before it reads the keys of a mapping.
type Defaulter interface {
	SetDefaults()
}

var durationType = reflect.TypeFor[Duration]()

// Decoder decodes nodes into Go values by the yaml tags of struct fields. It
// continues after a problem, so that all of them are reported.
type Decoder struct {
	// Report is called for every problem with the node where it is.
	Report func(node *yaml.Node, message string)
}

// report reports a problem at a node.
func (d *Decoder) report(node *yaml.Node, format string, args ...any) {
	d.Report(node, fmt.Sprintf(format, args...))
}

// Decode sets into from node. A value that can't be decoded is reported; what
// into holds in its place is unspecified.
func (d *Decoder) Decode(node *yaml.Node, into reflect.Value) {
	d.decode(node, into)
}

// decode is Decode for a nested value.
func (d *Decoder) decode(node *yaml.Node, into reflect.Value) {
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.report(node, "anchors and aliases are not allowed")
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

// decodeStruct decodes a mapping. Every key must be the yaml tag of a field.
func (d *Decoder) decodeStruct(node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.report(node, "expected keys and values, found %s", describe(node))
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
			d.report(key, "unknown key %q; known are %s", key.Value, strings.Join(fields.keys, ", "))
		case seen[key.Value]:
			d.report(key, "key %q stands twice", key.Value)
		default:
			d.decode(value, into.Field(field))
		}
		seen[key.Value] = true
	}
}

// decodeSlice decodes a list; null leaves the slice unchanged.
func (d *Decoder) decodeSlice(node *yaml.Node, into reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.report(node, "expected a list, found %s", describe(node))
		return
	}
	slice := reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decode(item, slice.Index(i))
	}
	into.Set(slice)
}

// decodeDuration decodes a duration, which must have a unit.
func (d *Decoder) decodeDuration(node *yaml.Node, into reflect.Value) {
	parsed, err := time.ParseDuration(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		d.report(node, "%s is not a duration with a unit, such as 250ms", describe(node))
		return
	}
	into.SetInt(int64(parsed))
}

// decodeScalar decodes a string, number or boolean.
func (d *Decoder) decodeScalar(node *yaml.Node, into reflect.Value) {
	if node.Kind != yaml.ScalarNode || isNull(node) {
		d.report(node, "expected %s, found %s", kindName(into.Kind()), describe(node))
		return
	}
	if !setScalar(node, into) {
		d.report(node, "%s is not %s", describe(node), kindName(into.Kind()))
	}
}

// setScalar sets into from a scalar and returns whether the value was valid.
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

// kindName returns the description of a kind of scalar for a message.
func kindName(kind reflect.Kind) string {
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

// describe returns the description of a node's content for a message.
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

// isNull reports whether a node is null, which includes a key without a value.
func isNull(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.Tag == "!!null"
}
