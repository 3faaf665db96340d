// Package planner decides which models, versions and adapters each engine
// holds, and gives the engines their orders. One planner for each group of
// models holds a lease in the platform's store; its fencing number goes with
// every order. Decisions are made by Next, which does no I/O.
package planner

import "github.com/zeebo/errs"

// Error is the class of every error this package returns.
var Error = errs.Class("planner")

// ErrStaleOrder says that an engine refused an order because it had seen a
// larger fencing number. Test with errors.Is.
var ErrStaleOrder = errs.New("the engine has seen a larger fencing number")
