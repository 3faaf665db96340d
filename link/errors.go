package link

import (
	"fmt"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcerr"
)

// ErrUnknownMethod says that the peer serves no such method, as an older
// version of the program may not. Nothing ran.
var ErrUnknownMethod = errs.New("peer does not serve the method")

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Method  Method
	Message string
}

// Error makes a RemoteError an error.
func (e *RemoteError) Error() string { return fmt.Sprintf("%s: peer: %s", e.Method, e.Message) }

// The codes that travel with an error.
const (
	codeUnknownMethod = 1
	codeDraining      = 2
	codeHandler       = 3
)

// fromWire turns what a connection returned into the errors of this package.
func fromWire(method Method, err error) error {
	switch drpcerr.Code(err) {
	case codeUnknownMethod:
		return Error.Wrap(errs.Combine(ErrUnknownMethod, ErrNotSent))
	case codeDraining:
		return Error.Wrap(errs.Combine(ErrNotSent, errs.New("peer is draining")))
	case codeHandler:
		return Error.Wrap(&RemoteError{Method: method, Message: err.Error()})
	}
	return Error.Wrap(errs.Combine(ErrBroken, err))
}

// notSent marks an error as one after which the peer surely never saw the call.
func notSent(err error) error {
	return Error.Wrap(errs.Combine(ErrNotSent, err))
}
