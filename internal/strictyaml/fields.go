package strictyaml

import (
	"reflect"
	"strings"
	"sync"
)

// fields holds the YAML keys of a struct type: the index of each key's field,
// and the keys in the order of the fields.
type fields struct {
	byKey map[string]int
	keys  []string
}

// fieldCache maps a reflect.Type to its *fields.
var fieldCache sync.Map

// fieldsOf returns the keys of a struct type from its yaml tags.
func fieldsOf(t reflect.Type) *fields {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.(*fields)
	}
	found := &fields{byKey: make(map[string]int)}
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if key == "" {
			continue
		}
		found.byKey[key] = i
		found.keys = append(found.keys, key)
	}
	fieldCache.Store(t, found)
	return found
}

// Keys maps each YAML key of a struct type to the index of its field.
func Keys(t reflect.Type) map[string]int { return fieldsOf(t).byKey }
