package infra

import (
	"context"
	"net/netip"

	"github.com/galenaseam/galenaseam/host"
)

// Listing is one machine in the platform's host list.
type Listing struct {
	Addr  netip.AddrPort
	Place host.Place
	// Pool is the pool of upstreams it belongs to; empty for entry hosts.
	Pool string
	// Leaving says that the platform is about to take the machine away.
	Leaving bool
}

// HostList is the platform's lagging list of live and leaving machines.
type HostList interface {
	// List returns the newest list. It is safe for concurrent use.
	List(ctx context.Context) ([]Listing, error)
}
