package strictyaml

import "time"

// Duration is a time.Duration written as text, for example "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalYAML encodes the duration as text with units.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }
