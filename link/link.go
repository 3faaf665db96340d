// Package link carries calls between the system's own hosts over drpc. Every
// call is a typed request and a typed answer in CBOR; a package that serves
// calls registers them on a Mux, and one that makes calls uses a Caller.
package link

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("link")

// ErrNotSent says that the peer surely never saw the call. Any other failure
// of a call leaves open whether the peer acted on it.
var ErrNotSent = errs.New("call not sent")

// ErrBroken says that the connection broke under a call. The peer may live, and
// may have acted on it.
var ErrBroken = errs.New("connection broke")

// Method names a call, for example "claim.Claim".
type Method string

// Handler serves one method. It decodes its request with decode and returns
// the answer, which is encoded as CBOR.
type Handler func(ctx context.Context, decode func(into any) error) (any, error)

// Registrar is where a package registers the calls it serves.
type Registrar interface {
	// Handle registers a method. Registering one twice panics.
	Handle(method Method, handler Handler)
}

// Caller makes calls to other hosts. Implementations are safe for concurrent
// use and pool their connections.
type Caller interface {
	// Call sends in to the peer and decodes its answer into out. It returns
	// ErrNotSent when the peer surely never saw the call.
	Call(ctx context.Context, peer netip.AddrPort, method Method, in, out any) error
}

// HandleTyped registers a handler with typed request and answer.
func HandleTyped[Req, Resp any](r Registrar, method Method, handle func(context.Context, Req) (Resp, error)) {
	r.Handle(method, func(ctx context.Context, decode func(any) error) (any, error) {
		var req Req
		if err := decode(&req); err != nil {
			return nil, err
		}
		return handle(ctx, req)
	})
}

// CallTyped makes a call with typed request and answer.
func CallTyped[Req, Resp any](ctx context.Context, c Caller, peer netip.AddrPort, method Method, req Req) (Resp, error) {
	var resp Resp
	err := c.Call(ctx, peer, method, req, &resp)
	return resp, err
}

const (
	// breaksRepeated is how often a repeatable call outlives its connection: a
	// peer whose connections all break at once costs each pooled one a try.
	breaksRepeated = 2
	// answersWithin is how soon a peer that lives answers on a new connection,
	// many times the round trip inside a region.
	answersWithin = 100 * time.Millisecond
	// lifeMethod is one that no host serves: to be told so is a sign of life.
	lifeMethod Method = "link.Life"
)

// CallRepeatable makes a typed call that may run twice without harm: it is made
// again when its connection broke and the peer answers on a new one. A cut
// breaks connections too, and then a new one would hang.
func CallRepeatable[Req, Resp any](ctx context.Context, c Caller, peer netip.AddrPort, method Method, req Req) (Resp, error) {
	for broke := 0; ; broke++ {
		resp, err := CallTyped[Req, Resp](ctx, c, peer, method, req)
		if err == nil || broke == breaksRepeated || !errors.Is(err, ErrBroken) || !answers(ctx, c, peer) {
			return resp, err
		}
	}
}

// answers says whether a peer answers at once.
func answers(ctx context.Context, c Caller, peer netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, answersWithin)
	defer cancel()
	err := c.Call(ctx, peer, lifeMethod, struct{}{}, nil)
	return err == nil || errors.Is(err, ErrUnknownMethod) || errors.Is(err, ErrBroken)
}
