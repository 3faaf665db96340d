// Package config keeps the operators' document in the platform's store and in
// force on every host. A Writer accepts changes: section bodies lie under
// their content hash, and one head record is moved by compare-and-swap. A
// Syncer on each host follows the head through a few watchers in each data
// centre and through its peers, and never goes back.
package config

import "github.com/zeebo/errs"

// Error is the class of every error this package returns.
var Error = errs.Class("config")

// The errors a Writer returns beside its typed ones. Test with errors.Is.
var (
	// ErrUnavailable says that the change was surely not accepted, because
	// the store could not be reached.
	ErrUnavailable = errs.New("the store is unavailable; the change was not accepted")
	// ErrUncertain says that the change may have been accepted. Apply the same
	// edit with the same operation ID again to settle it.
	ErrUncertain = errs.New("the outcome is uncertain; apply again with the same operation ID")
	// ErrStaleStore says that the store's head is older than what hosts hold,
	// or not of the same line. Nothing is written until it is restored.
	ErrStaleStore = errs.New("the store's head is behind what is in force; restore it first")
	// ErrUnknownGeneration says that a generation is not in the history.
	ErrUnknownGeneration = errs.New("no such generation in the history")
	// ErrBusy says that other teams' changes won every try.
	ErrBusy = errs.New("too many changes at once; the change was not accepted")
)

// Generation counts accepted documents, from 1. Zero means none.
type Generation uint64
