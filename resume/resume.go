// Package resume remembers which software version of a service began each stream,
// so that a stream goes on only at upstreams of that version, whichever host its
// caller comes back to. Each record is held by the host that began the stream and
// by a few others that the attempt's ID selects. Nothing is stored on disk.
package resume

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("resume")

// Record says which software version began a stream.
type Record struct {
	// Attempt is the ID of the caller's attempt that received the stream's first
	// event.
	Attempt string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// TTL is how long the stream may still be resumed.
	TTL time.Duration `cbor:"4,keyasint"`
}
