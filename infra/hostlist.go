package infra

import (
	"context"
	"net/netip"

	"github.com/galenaseam/galenaseam/host"
)

// Listing is one entry of the platform's host list: an entry host or an
// upstream.
type Listing struct {
	Addr  netip.AddrPort
	Place host.Place
	// Pool is the upstream's pool. It is empty for entry hosts.
	Pool string
	// Leaving reports whether the platform is about to remove the machine.
	Leaving bool
	// Info describes the process of an entry host that wrote its own entry. It is zero
	// if the list does not say.
	Info host.Info
}

// HostList is the platform's list of live and leaving machines. The list may be
// out of date.
type HostList interface {
	// List fetches the current list. It is safe for concurrent use.
	List(ctx context.Context) ([]Listing, error)
}
