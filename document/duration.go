package document

import (
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration written as text, for example "250ms".
type Duration time.Duration

// Std returns the standard library's form.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// UnmarshalYAML reads a duration with its unit.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return Error.New("line %d: %q is not a duration with a unit, such as 250ms", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }
