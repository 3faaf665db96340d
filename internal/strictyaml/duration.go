package strictyaml

import "time"

// Duration is a time.Duration written as text, for example "250ms".
type Duration time.Duration

// Std returns the standard library's form.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }
