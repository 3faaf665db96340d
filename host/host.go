// Package host names the machines the system runs on and the places they
// stand in. It holds no behaviour; every other package may import it.
package host

import "net/netip"

// ID names one entry host process. A restarted process has a new ID.
type ID string

// DataCentre names a data centre, as the settings and the host list spell it.
type DataCentre string

// Region names a group of data centres joined by good links.
type Region string

// Place is where a host or an upstream stands.
type Place struct {
	DataCentre DataCentre `cbor:"1,keyasint" json:"data_centre"`
	Region     Region     `cbor:"2,keyasint" json:"region"`
}

// Info is what other hosts need to reach a host. LinkAddr serves calls between
// hosts over TCP, and membership datagrams on the same port over UDP.
type Info struct {
	ID       ID             `cbor:"1,keyasint" json:"id"`
	Place    Place          `cbor:"2,keyasint" json:"place"`
	LinkAddr netip.AddrPort `cbor:"3,keyasint" json:"link_addr"`
	// HTTPAddr is where the host takes callers' requests.
	HTTPAddr netip.AddrPort `cbor:"4,keyasint" json:"http_addr"`
	// Capacity is what the host can do beside its callers' requests, in cores;
	// a slow link counts as few cores. 0 is unknown.
	Capacity float64 `cbor:"5,keyasint,omitempty" json:"capacity,omitempty"`
}

// State is a host's state in one host's view of the fleet.
type State uint8

// The states of a member, in the order in which they override each other at
// the same incarnation.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member is one host as seen from another.
type Member struct {
	Info
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	// Generation is the configuration generation the member last announced.
	Generation uint64 `json:"generation"`
}

// View is a read-only list of the fleet. Implementations are safe for
// concurrent use and never do I/O.
type View interface {
	// Self returns the local host.
	Self() Info
	// Members returns every known host that is not dead, the local one
	// included, ordered by ID. The caller owns the slice.
	Members() []Member
	// Lookup returns one member by ID.
	Lookup(id ID) (Member, bool)
}
