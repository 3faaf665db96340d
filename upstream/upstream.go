// Package upstream tracks the upstreams of a host: which ones exist, where they
// are, what load they report, and whether they are live, leaving or dead.
package upstream

import (
	"net/netip"

	"github.com/galenaseam/galenaseam/host"
)

// ID identifies one upstream. It is the upstream's address in the host list.
type ID string

// State says whether an upstream can take work.
type State uint8

// The states of an upstream. Only a live upstream gets new work.
const (
	Live State = iota
	Leaving
	Dead
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Upstream is one server to which hosts send work.
type Upstream struct {
	ID    ID
	Addr  netip.AddrPort
	Pool  string
	Place host.Place
	State State
	// Models are the models that an engine reported as loaded; nil if unknown.
	Models []string
}

// Load is an upstream's report of its own load.
type Load struct {
	InFlight   int
	Queued     int
	KVUseShare float64
	// AtUnixNano is when this host received the report, by its own clock.
	AtUnixNano int64
}

// Evidence is what one call showed about an upstream's state.
type Evidence uint8

// The kinds of evidence.
const (
	// Answered means that the upstream answered, whatever the answer was.
	Answered Evidence = iota
	// ReportedLeaving means that the answer said the upstream is leaving.
	ReportedLeaving
	// RefusedConnection means that nothing listens at the address.
	RefusedConnection
	// ConnectionLost means that the connection broke or timed out during a call.
	ConnectionLost
)

// View gives access to the upstreams that a host may send work to, and records
// the evidence from calls to them. Implementations are safe for concurrent use
// and do no I/O.
type View interface {
	// Pool returns the live upstreams of a pool that this host tracks, ordered
	// by ID. Callers must not change the slice.
	Pool(name string) []Upstream
	// Lookup returns one upstream, live or not.
	Lookup(id ID) (Upstream, bool)
	// LoadOf returns the newest load report of an upstream.
	LoadOf(id ID) (Load, bool)
	// Report records the evidence from one call.
	Report(id ID, evidence Evidence)
}
