package document

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
