// Package host defines the identities, locations and states of the entry hosts.
// It contains types only, so that every other package may import it.
package host

import "net/netip"

// ID identifies one entry host process. A restarted process has a new ID.
type ID string

// DataCentre is the name of a data centre, as the settings and the host list
// spell it.
type DataCentre string

// Region is the name of a group of data centres with fast links between them.
type Region string

// Place is the location of a host or an upstream.
type Place struct {
	DataCentre DataCentre `cbor:"1,keyasint" json:"data_centre"`
	Region     Region     `cbor:"2,keyasint" json:"region"`
}

// Info describes a host to other hosts. LinkAddr serves calls between hosts over
// TCP, and receives membership datagrams on the same port over UDP.
type Info struct {
	ID       ID             `cbor:"1,keyasint" json:"id"`
	Place    Place          `cbor:"2,keyasint" json:"place"`
	LinkAddr netip.AddrPort `cbor:"3,keyasint" json:"link_addr"`
	// HTTPAddr is the address at which the host accepts callers' requests.
	HTTPAddr netip.AddrPort `cbor:"4,keyasint" json:"http_addr"`
	// Capacity is the host's capacity for work besides its callers' requests, in
	// cores. A slow network link lowers it. 0 means unknown.
	Capacity float64 `cbor:"5,keyasint,omitempty" json:"capacity,omitempty"`
}

// State is the state of a host in another host's view of the fleet.
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

// Member is a host as another host sees it.
type Member struct {
	Info
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	// Generation is the configuration generation the member last announced.
	Generation uint64 `json:"generation"`
	// Listed is true if the host is known only from the host list, so that its state and
	// generation are not known yet.
	Listed bool `json:"listed,omitempty"`
}

// View is a read-only view of the fleet's hosts. Implementations are safe for
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
