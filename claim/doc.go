// Package claim makes sure that a non-idempotent request runs at most once
// over the whole fleet. Before the first byte goes to an upstream, the host
// that took the request claims its idempotency key durably.
//
// The key space is split into shards. Each shard's claims are a log in the
// platform's store: a ring of slots that are written only by compare-and-swap,
// a head record, and segments that hold what was folded out of the ring. One
// host at a time owns a shard and commits all waiting claims in one write. The
// compare-and-swap of the next slot fences a former owner, however long it was
// paused; lease time is not trusted and not used.
//
// Lock order: shard.mu, then Service.liveMu, then Service.routeMu. No lock is held
// during a call on the store or on another host.
package claim

import (
	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("claim")
