// Package quarantine finds requests that crash the upstreams that run them,
// and keeps them from taking down more. A request is known by its digest. One
// loss makes it a suspect, which runs alone at most once more; another loss on
// another upstream at another time condemns it, and it is refused.
//
// Losses that come many together, as when a rack dies, are no evidence: the
// machines died, not the requests.
//
// The decisions are made by Ledger, which takes time as input and does no I/O.
// Quarantine adds the sharing between hosts.
package quarantine

import "github.com/zeebo/errs"

// Error is the class of every error this package returns.
var Error = errs.Class("quarantine")
