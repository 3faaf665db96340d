package strictyaml

import (
	"reflect"
	"strings"
	"sync"
)

// fields is the YAML keys of a struct type.
type fields struct {
	byKey map[string]int
	keys  []string
}

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

// Keys returns the YAML keys of a struct type and the index of the field that
// each stands for.
func Keys(t reflect.Type) map[string]int { return fieldsOf(t).byKey }
