package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/galenaseam/galenaseam/document"
)

// Edit is a change that an operator requests.
type Edit struct {
	// OperationID identifies the change permanently. Applying the same edit
	// again returns the first result.
	OperationID string
	// OperatorKey authenticates the team; empty if VerifiedTeam is set.
	OperatorKey string
	// VerifiedTeam is the team authenticated by mutual TLS.
	VerifiedTeam string
	// Base is the generation that the operator edited.
	Base Generation
	// Sections are the new texts. An empty text removes a section.
	Sections document.Bodies
	Reason   string
}

// Result describes an accepted change.
type Result struct {
	Generation Generation
	Hash       Hash
	// Repeated means that an earlier request with the same operation ID was
	// accepted.
	Repeated bool
}

// InvalidError means that the change would make the document invalid.
type InvalidError struct {
	Cause *document.InvalidError
}

// Error lists the faults.
func (e *InvalidError) Error() string { return "config: invalid document:\n" + e.Cause.Error() }

// Unwrap returns the document package's error.
func (e *InvalidError) Unwrap() error { return e.Cause }

// ForbiddenError means that the team may not change a section.
type ForbiddenError struct {
	// Team is empty if the operator key belongs to no team.
	Team    string
	Section document.Section
}

// Error names the team and the section.
func (e *ForbiddenError) Error() string {
	if e.Team == "" {
		return "config: the operator key belongs to no team"
	}
	return fmt.Sprintf("config: team %q may not change section %q", e.Team, e.Section)
}

// ConflictError means that a section of the edit has changed since its base.
type ConflictError struct {
	Sections []document.Section
	// Current is the newest generation, on which to base the edit instead.
	Current Generation
	// Diff is a unified diff of what changed since the base.
	Diff string
}

// Error names the sections and includes the diff.
func (e *ConflictError) Error() string {
	names := make([]string, 0, len(e.Sections))
	for _, section := range e.Sections {
		names = append(names, string(section))
	}
	return fmt.Sprintf("config: %s changed since; the newest generation is %d:\n%s",
		strings.Join(names, ", "), e.Current, e.Diff)
}

// sectionNames returns the names of the sections that the edit changes.
func (e Edit) sectionNames() []document.Section {
	names := make([]document.Section, 0, len(e.Sections))
	for _, body := range e.Sections {
		names = append(names, body.Section)
	}
	return names
}

// findOwner returns the team that made an edit, looked up in the current
// owners section.
func findOwner(current *document.Document, e Edit) (document.Owner, error) {
	owner, known := current.Owner(e.VerifiedTeam)
	if e.VerifiedTeam == "" {
		hash := sha256.Sum256([]byte(e.OperatorKey))
		owner, known = current.OwnerByKeyHash(hex.EncodeToString(hash[:]))
	}
	if !known {
		return document.Owner{}, Error.Wrap(&ForbiddenError{Team: e.VerifiedTeam})
	}
	return owner, nil
}

// checkAllowed checks that a team may change every section of an edit.
func checkAllowed(owner document.Owner, e Edit) error {
	for _, section := range e.sectionNames() {
		if !owner.Allows(section) {
			return Error.Wrap(&ForbiddenError{Team: owner.Team, Section: section})
		}
	}
	return nil
}

// conflictingSections returns the sections of an edit that differ between base
// and current.
func conflictingSections(base, current Record, e Edit) []document.Section {
	var changed []document.Section
	for _, section := range e.sectionNames() {
		if base.manifestOf(section) != current.manifestOf(section) {
			changed = append(changed, section)
		}
	}
	return changed
}
