// Package capacity computes the resources that each role needs at the size that
// the system is designed for, from the results of benchmarks.
package capacity

import (
	"io"

	"github.com/zeebo/errs"
	"golang.org/x/perf/benchfmt"
)

// Error is the class of every error this package returns.
var Error = errs.Class("capacity")

// Measurements contains the values measured by a benchmark run.
type Measurements struct {
	values map[metric]float64
}

// metric identifies a measured value by its benchmark and unit.
type metric struct {
	benchmark string
	unit      string
}

// Parse reads the output of go test -bench. If a benchmark occurs more than once,
// its last result counts.
func Parse(r io.Reader) (*Measurements, error) {
	f := &Measurements{values: make(map[metric]float64)}
	reader := benchfmt.NewReader(r, "benchmarks")
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name := benchmarkName(result.Name)
		for _, v := range result.Values {
			value, unit := v.Value, v.Unit
			if v.OrigUnit != "" {
				value, unit = v.OrigValue, v.OrigUnit
			}
			f.values[metric{name, unit}] = value
		}
	}
	return f, Error.Wrap(reader.Err())
}

// benchmarkName returns a benchmark's name without its GOMAXPROCS suffix.
func benchmarkName(name benchfmt.Name) string {
	base, parts := name.Parts()
	full := string(base)
	for _, part := range parts {
		if part[0] != '-' {
			full += string(part)
		}
	}
	return full
}

// missingValues collects the values that a run does not contain.
type missingValues []string

// get returns one value. If the run does not contain it, get adds it to m and
// returns 0.
func (f *Measurements) get(m *missingValues, benchmark, unit string) float64 {
	value, ok := f.values[metric{benchmark, unit}]
	if !ok {
		*m = append(*m, benchmark+" ("+unit+")")
	}
	return value
}
