// Package quarantine detects requests that crash the upstreams which run them,
// and stops them from crashing more. A request is identified by its digest.
// After one loss of an upstream the request is a suspect and may run at most
// once more, alone. Another loss, on another upstream and at another time,
// condemns the request, and it is refused.
//
// Losses of many upstreams at the same time, as when a rack fails, are not
// evidence against a request: the machines failed, not the requests.
//
// Ledger makes the decisions. It takes time as input and does no I/O.
// Quarantine adds the exchange between hosts.
package quarantine

import "github.com/zeebo/errs"

// Error is the class of every error this package returns.
var Error = errs.Class("quarantine")
