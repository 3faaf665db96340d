// Package claim makes sure that a non-idempotent request runs at most once
// over the whole fleet. Before the first byte goes to an upstream, the host
// that received the request claims its idempotency key durably.
//
// The key space is split into shards. The claims of each shard form a log in the
// platform's store: a ring of slots that are written only by compare-and-swap,
// a head record, and segments that hold the entries moved out of the ring by
// checkpoints. One host at a time owns a shard and commits all waiting claims in
// one write (group commit). The compare-and-swap of the next slot fences off a
// former owner, however long it was paused; no lease or other time bound is
// relied on.
//
// Lock order: shard.mu, then Service.liveMu, then Service.routeMu. No lock is held
// during a call to the store or to another host.
package claim

import (
	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("claim")
