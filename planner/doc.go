// Package planner decides which models, versions and adapters each engine
// holds, and sends the engines orders to load them. Each group of models has
// one active planner, which holds a lease in the platform's store and sends its
// fencing number with every order. NextPlan makes the decisions and does no
// I/O.
package planner

import "github.com/zeebo/errs"

// Error is the class of every error this package returns.
var Error = errs.Class("planner")

// ErrStaleOrder is returned when an engine refuses an order because it has seen
// a larger fencing number. Test for it with errors.Is.
var ErrStaleOrder = errs.New("the engine has seen a larger fencing number")
