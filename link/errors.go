package link

import (
	"fmt"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcerr"
)

// ErrUnknownMethod means that the peer does not serve the method, for example
// because it runs an older version. Nothing ran.
var ErrUnknownMethod = errs.New("peer does not serve the method")

// RemoteError is an error that the peer's handler returned, or the failure to
// encode or send its response.
type RemoteError struct {
	Method  Method
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return fmt.Sprintf("%s: peer: %s", e.Method, e.Message) }

// Error codes that are sent with an error.
const (
	codeUnknownMethod = 1
	codeDraining      = 2
	codeHandler       = 3
)

// classifyCallError converts the error of a call into an error of this package.
func classifyCallError(method Method, err error) error {
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

// wrapNotSent adds ErrNotSent to an error: the peer certainly did not run the
// call.
func wrapNotSent(err error) error {
	return Error.Wrap(errs.Combine(ErrNotSent, err))
}
