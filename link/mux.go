package link

import (
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/zeebo/errs"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
)

// Mux dispatches calls to the handlers of their methods. Handlers may be
// registered while it serves.
type Mux struct {
	handlersMu sync.RWMutex
	handlers   map[Method]Handler
}

var _ Registrar = (*Mux)(nil)

// NewMux returns a Mux that serves no method yet.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Method]Handler)}
}

// Handle registers a method. It panics if the method is already registered.
func (m *Mux) Handle(method Method, handler Handler) {
	m.handlersMu.Lock()
	defer m.handlersMu.Unlock()
	if _, taken := m.handlers[method]; taken {
		panic(fmt.Sprintf("link: method %q is registered twice", method))
	}
	m.handlers[method] = handler
}

func (m *Mux) lookup(method Method) (Handler, bool) {
	m.handlersMu.RLock()
	defer m.handlersMu.RUnlock()
	handler, ok := m.handlers[method]
	return handler, ok
}

// serve runs one call on its stream.
func (m *Mux) serve(stream drpc.Stream, method Method, encoding drpc.Encoding) error {
	handler, ok := m.lookup(method)
	if !ok {
		return drpcerr.WithCode(errs.New("unknown method %q", method), codeUnknownMethod)
	}
	out, err := runHandler(handler, stream, encoding)
	if err != nil {
		return drpcerr.WithCode(err, codeHandler)
	}
	if err := stream.MsgSend(out, encoding); err != nil {
		return drpcerr.WithCode(err, codeHandler)
	}
	return nil
}

// runHandler runs a handler and converts a panic into an error, so that one bad
// call does not end the process and, with it, all other calls.
func runHandler(handler Handler, stream drpc.Stream, encoding drpc.Encoding) (out any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = Error.New("handler panicked: %v\n%s", cause, debug.Stack())
		}
	}()
	decode := func(into any) error { return stream.MsgRecv(into, encoding) }
	return handler(stream.Context(), decode)
}
