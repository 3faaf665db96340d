package settings

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("settings")

// InvalidError is everything that is wrong with the settings, together.
type InvalidError struct {
	// Faults has one line for each thing that is wrong, with line and column
	// where the setting stands in the file.
	Faults []string
}

// Error lists the faults, one a line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%d faults:\n%s", len(e.Faults), strings.Join(e.Faults, "\n"))
}
