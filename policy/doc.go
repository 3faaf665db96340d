// Package policy decides: which requests to admit, how a deadline is divided
// over stages, which call runs next and on which upstream, and when to retry,
// hedge or fall back. It does no I/O and has no clock: observations and the
// time come in, decisions go out, and a run replays from its seed.
//
// A Core is not safe for concurrent use; package dispatch holds the lock.
package policy
