package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/galenaseam/galenaseam/document"
)

// Edit is a change that an operator asks for.
type Edit struct {
	// OperationID names the change for good. Applying the same edit again
	// gives the first outcome.
	OperationID string
	// OperatorKey proves the team; empty when VerifiedTeam is set.
	OperatorKey string
	// VerifiedTeam is the team that mutual TLS has proved.
	VerifiedTeam string
	// Base is the generation that the operator edited.
	Base Generation
	// Sections are the new texts; an empty text takes a section out.
	Sections document.Bodies
	Reason   string
}

// Result is an accepted change.
type Result struct {
	Generation Generation
	Hash       Hash
	// Already says that an earlier try of the same operation was accepted.
	Already bool
}

// InvalidError says that the document would not be valid with the change.
type InvalidError struct {
	Cause *document.InvalidError
}

// Error lists the faults.
func (e *InvalidError) Error() string { return "config: invalid document:\n" + e.Cause.Error() }

// Unwrap returns the document's own error.
func (e *InvalidError) Unwrap() error { return e.Cause }

// ForbiddenError says that the team may not change a section.
type ForbiddenError struct {
	// Team is empty when the operator key is nobody's.
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

// ConflictError says that somebody changed the same section since the base.
type ConflictError struct {
	Sections []document.Section
	// Current is the generation to edit instead.
	Current Generation
	// Diff is what was changed since the base, as a unified difference.
	Diff string
}

// Error names the sections and gives the difference.
func (e *ConflictError) Error() string {
	names := make([]string, 0, len(e.Sections))
	for _, section := range e.Sections {
		names = append(names, string(section))
	}
	return fmt.Sprintf("config: %s changed since; the newest generation is %d:\n%s",
		strings.Join(names, ", "), e.Current, e.Diff)
}

// sections lists the sections that the edit touches.
func (e Edit) sections() []document.Section {
	touched := make([]document.Section, 0, len(e.Sections))
	for _, body := range e.Sections {
		touched = append(touched, body.Section)
	}
	return touched
}

// teamOf finds the team behind an edit in the current owners section.
func teamOf(current *document.Document, e Edit) (document.Owner, error) {
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

// checkOwner checks that a team may change every section of an edit.
func checkOwner(owner document.Owner, e Edit) error {
	for _, section := range e.sections() {
		if !owner.Allows(section) {
			return Error.Wrap(&ForbiddenError{Team: owner.Team, Section: section})
		}
	}
	return nil
}

// clashes lists the sections of an edit that changed between base and current.
func clashes(base, current Record, e Edit) []document.Section {
	var changed []document.Section
	for _, section := range e.sections() {
		if base.section(section) != current.section(section) {
			changed = append(changed, section)
		}
	}
	return changed
}
