// Package defaults fills in fields that were left out.
package defaults

// Set gives a field that has its zero value the standard one.
func Set[T comparable](field *T, standard T) {
	var zero T
	if *field == zero {
		*field = standard
	}
}
