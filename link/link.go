// Package link provides calls between the hosts of the fleet over drpc. Every
// call has a typed request and a typed response in CBOR. A package that serves
// calls registers them on a Mux, and a package that makes calls uses a Caller.
package link

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error that this package returns.
var Error = errs.Class("link")

// ErrNotSent means that the peer certainly did not run the call. After any other
// error the peer may have run it.
var ErrNotSent = errs.New("call not sent")

// ErrBroken means that the connection broke during a call. The peer may still be
// alive, and may have run the call.
var ErrBroken = errs.New("connection broke")

// Method names a call, for example "claim.Claim".
type Method string

// Handler serves one method. It decodes its request with decode and returns the
// response, which is encoded as CBOR.
type Handler func(ctx context.Context, decode func(into any) error) (any, error)

// Registrar registers the handlers of the methods that a package serves.
type Registrar interface {
	// Handle registers a method. It panics if the method is already registered.
	Handle(method Method, handler Handler)
}

// Caller makes calls to other hosts. Implementations are safe for concurrent
// use and pool their connections.
type Caller interface {
	// Call sends in to the peer and decodes its response into out. It returns
	// ErrNotSent when the peer certainly did not run the call.
	Call(ctx context.Context, peer netip.AddrPort, method Method, in, out any) error
}

// HandleTyped registers a handler with a typed request and response.
func HandleTyped[Req, Resp any](r Registrar, method Method, handle func(context.Context, Req) (Resp, error)) {
	r.Handle(method, func(ctx context.Context, decode func(any) error) (any, error) {
		var req Req
		if err := decode(&req); err != nil {
			return nil, err
		}
		return handle(ctx, req)
	})
}

// CallTyped makes a call with a typed request and response.
func CallTyped[Req, Resp any](ctx context.Context, c Caller, peer netip.AddrPort, method Method, req Req) (Resp, error) {
	var resp Resp
	err := c.Call(ctx, peer, method, req, &resp)
	return resp, err
}

const (
	// maxRepeats is how often a call is repeated after its connection broke. One
	// is too few: when all connections of a peer break at once, each pooled one
	// that is tried uses up an attempt.
	maxRepeats = 2
	// livenessTimeout is how long a live peer may take to respond on a new
	// connection: many times the round trip inside a region.
	livenessTimeout = 100 * time.Millisecond
	// livenessMethod is served by no host: the error that says so shows that the
	// peer is alive.
	livenessMethod Method = "link.Life"
)

// CallIdempotent makes a typed call that is idempotent. It repeats the call when
// the connection broke, but checks first that the peer responds, because a network
// partition breaks connections too, and a repeated call would then hang.
func CallIdempotent[Req, Resp any](ctx context.Context, c Caller, peer netip.AddrPort, method Method, req Req) (Resp, error) {
	for repeats := 0; ; repeats++ {
		resp, err := CallTyped[Req, Resp](ctx, c, peer, method, req)
		if err == nil || repeats == maxRepeats || !errors.Is(err, ErrBroken) || !IsResponsive(ctx, c, peer) {
			return resp, err
		}
	}
}

// IsResponsive reports whether a peer responds within livenessTimeout. A connection
// that breaks, as pooled ones of a live peer may, counts as a response.
func IsResponsive(ctx context.Context, c Caller, peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	err := c.Call(ctx, peer, livenessMethod, struct{}{}, nil)
	return err == nil || errors.Is(err, ErrUnknownMethod) || errors.Is(err, ErrBroken)
}
