// Package upstream keeps what a host knows of the machines behind it: which
// exist, where they stand, whether they leave or are dead.
package upstream

import (
	"net/netip"

	"github.com/galenaseam/galenaseam/host"
)

// ID names one upstream: its address as the host list gives it.
type ID string

// State is what is known of an upstream's life.
type State uint8

// The states of an upstream. Only a Live one gets new work.
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

// Upstream is one server behind the hosts.
type Upstream struct {
	ID    ID
	Addr  netip.AddrPort
	Pool  string
	Place host.Place
	State State
	// Models are the models an engine says it has loaded; nil when unknown.
	Models []string
}

// Load is an upstream's own report, as old as its age says.
type Load struct {
	InFlight   int
	Queued     int
	KVUseShare float64
	// AtUnixNano is when the upstream took the reading, by the local clock.
	AtUnixNano int64
}

// Evidence is what one call told about an upstream's life.
type Evidence uint8

// What a call can tell.
const (
	// Answered: the upstream answered, whatever the answer was.
	Answered Evidence = iota
	// SaidLeaving: the answer said that the upstream is leaving.
	SaidLeaving
	// RefusedConnection: nothing listens at the address.
	RefusedConnection
	// Lost: the connection broke or timed out under a call.
	Lost
)

// View is the upstreams that a host may send work to, and where calls report
// what they saw. Implementations are safe for concurrent use and do no I/O.
type View interface {
	// Pool returns the live upstreams of a pool that this host tracks, ordered
	// by ID. Callers must not change the slice.
	Pool(name string) []Upstream
	// Lookup returns one upstream, live or not.
	Lookup(id ID) (Upstream, bool)
	// LoadOf returns the newest load report of an upstream.
	LoadOf(id ID) (Load, bool)
	// Report records what one call saw.
	Report(id ID, seen Evidence)
}
