// Package config stores the operators' document in the platform's store and
// applies it on every host.
//
// A Writer accepts changes. It stores the document's sections as chunks under
// their content hashes and moves a single head record by compare-and-swap. A
// Syncer runs on each host. It learns of new heads from the store, which a few
// hosts in each data centre watch, and from peers. A host never returns to an
// older generation.
package config

import "github.com/zeebo/errs"

// Error is the class of every error this package returns.
var Error = errs.Class("config")

// Sentinel errors of a Writer; it also returns the error types in edit.go.
// Test for them with errors.Is.
var (
	// ErrUnavailable means that the store could not be reached and that the
	// change was certainly not accepted.
	ErrUnavailable = errs.New("the store is unavailable; the change was not accepted")
	// ErrUncertain means that the change may have been accepted. Apply the
	// same edit again with the same operation ID to find out.
	ErrUncertain = errs.New("the outcome is uncertain; apply again with the same operation ID")
	// ErrStaleStore means that the store's head is older than what hosts
	// serve, or belongs to another history. Nothing is written until the store
	// has been restored.
	ErrStaleStore = errs.New("the store's head is behind what is in force; restore it first")
	// ErrUnknownGeneration means that the history has no such generation.
	ErrUnknownGeneration = errs.New("no such generation in the history")
	// ErrBusy means that concurrent changes moved the head during every
	// attempt.
	ErrBusy = errs.New("too many changes at once; the change was not accepted")
)

// Generation numbers accepted documents from 1. Zero means no document.
type Generation uint64
