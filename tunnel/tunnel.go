// Package tunnel opens connections to upstreams, directly or through another host. A host
// may lose its links to some or all upstreams while callers, the store and the other hosts
// still reach it. Another host that reaches the upstream then passes the bytes of a
// connection on in both directions; what is said on the connection, and what may be
// repeated, stays with the host that opened it.
package tunnel

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/link"
)

// Error is the class of every error this package returns.
var Error = errs.Class("tunnel")

// openMethod opens a tunnel. The client sends an openRequest, the server an openReply, and
// then each sends the frames of its direction.
const openMethod link.Method = "tunnel.Open"

const (
	// tunnelDelay is how long a direct connection may take to open before a tunnel is
	// tried as well. It is many round trips between data centres.
	tunnelDelay = 200 * time.Millisecond
	// tunnelTimeout bounds finding another host that reaches the upstream.
	tunnelTimeout = time.Second
	// peerTimeout bounds asking one of them.
	peerTimeout = 300 * time.Millisecond
	// serverDialTimeout bounds opening a connection on behalf of another host. It is
	// shorter than peerTimeout, so that the other host learns why it failed.
	serverDialTimeout = 250 * time.Millisecond
	// defaultLifetime is how long a tunnel may be needed if its call has no deadline.
	// lifetimeSlack is added to the time until the deadline.
	defaultLifetime = time.Minute
	lifetimeSlack   = time.Second
	// maxFrameBytes bounds the data of one frame.
	maxFrameBytes = 16 << 10
)

// result is the answer of a host that is asked for a tunnel.
type result uint8

const (
	// connected: the tunnel is open.
	connected result = iota
	// unreachable: the host could not connect to the upstream.
	unreachable
	// noPath: the host has itself lost its links to the upstream, or to all.
	noPath
	// unknown: no upstream that the host knows has the address.
	unknown
	// full: the host takes no further tunnels.
	full
)

// String returns the name of the result, which is a label of metrics.
func (r result) String() string {
	names := [...]string{"connected", "unreachable", "no_path", "unknown", "full"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// openRequest asks for a connection to an upstream.
type openRequest struct {
	Addr netip.AddrPort `cbor:"1,keyasint"`
	// Lifetime is how long the connection may be needed.
	Lifetime time.Duration `cbor:"2,keyasint"`
}

type openReply struct {
	Result result `cbor:"1,keyasint"`
	Error  string `cbor:"2,keyasint,omitempty"`
}

// frame is a part of what is sent on a connection. End follows the last data and is what
// tells an orderly end from a connection that broke.
type frame struct {
	Data []byte `cbor:"1,keyasint,omitempty"`
	End  bool   `cbor:"2,keyasint,omitempty"`
}
