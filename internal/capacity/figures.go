// Package capacity works out what each role needs at the size that the system
// is designed for, from slopes that benchmarks have measured.
package capacity

import (
	"io"

	"github.com/zeebo/errs"
	"golang.org/x/perf/benchfmt"
)

// Error is the class of every error this package returns.
var Error = errs.Class("capacity")

// Figures is the measured values of a benchmark run.
type Figures struct {
	values map[figure]float64
}

// figure names one measured value.
type figure struct {
	benchmark string
	unit      string
}

// Read reads the output of go test -bench. Of a benchmark that stands twice the
// last counts.
func Read(r io.Reader) (*Figures, error) {
	f := &Figures{values: make(map[figure]float64)}
	reader := benchfmt.NewReader(r, "benchmarks")
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name := nameOf(result.Name)
		for _, v := range result.Values {
			value, unit := v.Value, v.Unit
			if v.OrigUnit != "" {
				value, unit = v.OrigValue, v.OrigUnit
			}
			f.values[figure{name, unit}] = value
		}
	}
	return f, Error.Wrap(reader.Err())
}

// nameOf is a benchmark's name without the number of processors.
func nameOf(name benchfmt.Name) string {
	base, parts := name.Parts()
	full := string(base)
	for _, part := range parts {
		if part[0] != '-' {
			full += string(part)
		}
	}
	return full
}

// missing collects the figures that a run lacks.
type missing []string

// get returns one figure; a missing one is noted and counts as zero.
func (f *Figures) get(m *missing, benchmark, unit string) float64 {
	value, ok := f.values[figure{benchmark, unit}]
	if !ok {
		*m = append(*m, benchmark+" ("+unit+")")
	}
	return value
}
