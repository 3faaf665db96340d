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
	handlersMu sync.RWMutex // guards the fields below
	handlers   map[Method]Handler
	streams    map[Method]StreamHandler
}

var _ Registrar = (*Mux)(nil)

// NewMux returns a Mux that serves no method yet.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Method]Handler), streams: make(map[Method]StreamHandler)}
}

// Handle registers a method. It panics if the method is already registered.
func (m *Mux) Handle(method Method, handler Handler) {
	m.handlersMu.Lock()
	defer m.handlersMu.Unlock()
	m.checkUnregistered(method)
	m.handlers[method] = handler
}

// HandleStream registers a method whose streams the handler serves. It panics if the
// method is already registered.
func (m *Mux) HandleStream(method Method, handler StreamHandler) {
	m.handlersMu.Lock()
	defer m.handlersMu.Unlock()
	m.checkUnregistered(method)
	m.streams[method] = handler
}

// checkUnregistered panics if a method is registered. handlersMu must be held.
func (m *Mux) checkUnregistered(method Method) {
	if m.handlers[method] != nil || m.streams[method] != nil {
		panic(fmt.Sprintf("link: method %q is registered twice", method))
	}
}

// lookup returns the handler of a method; both are nil if it is not registered.
func (m *Mux) lookup(method Method) (Handler, StreamHandler) {
	m.handlersMu.RLock()
	defer m.handlersMu.RUnlock()
	return m.handlers[method], m.streams[method]
}

// serve runs one call on its stream.
func (m *Mux) serve(stream drpc.Stream, method Method, encoding drpc.Encoding) error {
	handler, streamHandler := m.lookup(method)
	if streamHandler != nil {
		if err := runStreamHandler(streamHandler, stream, encoding); err != nil {
			return drpcerr.WithCode(err, codeHandler)
		}
		return nil
	}
	if handler == nil {
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
	defer recoverPanic(&err)
	decode := func(into any) error { return stream.MsgRecv(into, encoding) }
	return handler(stream.Context(), decode)
}

// runStreamHandler runs the handler of a stream like runHandler.
func runStreamHandler(handler StreamHandler, stream drpc.Stream, encoding drpc.Encoding) (err error) {
	defer recoverPanic(&err)
	return handler(stream.Context(), encodedStream{stream, encoding})
}

// recoverPanic sets err if the handler that defers it has panicked.
func recoverPanic(err *error) {
	if cause := recover(); cause != nil {
		*err = Error.New("handler panicked: %v\n%s", cause, debug.Stack())
	}
}
