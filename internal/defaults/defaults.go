// Package defaults sets default values of unset fields.
package defaults

// Set assigns defaultValue to a field that has its zero value.
func Set[T comparable](field *T, defaultValue T) {
	var zero T
	if *field == zero {
		*field = defaultValue
	}
}
