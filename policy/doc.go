// Package policy makes the scheduling decisions of a host: which requests to
// admit, how to divide a deadline over stages, which call runs next and on
// which upstream, and when to retry, hedge or fall back. It does no I/O and
// reads no clock: callers pass in observations and the time, and the same
// inputs with the same seed give the same decisions.
//
// A Core is not safe for concurrent use; package dispatch serialises access.
package policy
