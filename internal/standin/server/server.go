// Package server is the part that all stand-ins share: an HTTP server on a
// loopback address that can go down and come up again on the same port, and
// the failures of upstreams.
package server

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("standin server")

// anyPort listens on a free port of the loopback address.
const anyPort = "127.0.0.1:0"

// readHeaderTimeout bounds how long a caller may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// The retries with which a server takes its old port again.
const (
	reopenTries = 100
	reopenPause = 20 * time.Millisecond
)

// Listener is an HTTP server on one fixed address.
type Listener struct {
	addr    netip.AddrPort
	handler http.Handler

	mu      sync.Mutex
	server  *http.Server // nil while down
	socket  net.Listener // the server's own
	held    hold         // keeps the port while down
	stopped bool
	serving sync.WaitGroup
}

// Listen starts serving on addr, or on a free loopback port if addr is empty.
func Listen(addr string, handler http.Handler) (*Listener, error) {
	if addr == "" {
		addr = anyPort
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l := &Listener{addr: ln.Addr().(*net.TCPAddr).AddrPort(), handler: handler, held: noHold}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serve(ln)
	return l, nil
}

// serve starts an HTTP server on ln. The caller holds mu.
func (l *Listener) serve(ln net.Listener) {
	srv := &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout}
	l.server = srv
	l.socket = ln
	l.serving.Add(1)
	go func() {
		defer l.serving.Done()
		_ = srv.Serve(ln) // always ends with ErrServerClosed
	}()
}

// Addr returns the address that it serves on, also while it is down.
func (l *Listener) Addr() netip.AddrPort { return l.addr }

// URL returns the base URL without a slash at its end.
func (l *Listener) URL() string { return "http://" + l.addr.String() }

// Down closes the port and cuts every connection. When it returns, connections
// are refused, and no other server can take the port.
func (l *Listener) Down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return
	}
	_ = l.server.Close()
	// A server that has not begun to serve does not know its socket yet.
	_ = l.socket.Close()
	l.server = nil
	l.held = takeHold(l.addr)
}

// Up serves again on the same port after Down.
func (l *Listener) Up() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || l.server != nil {
		return nil
	}
	l.held.release()
	l.held = noHold
	var err error
	for range reopenTries {
		var ln net.Listener
		ln, err = net.Listen("tcp", l.addr.String())
		if err == nil {
			l.serve(ln)
			return nil
		}
		time.Sleep(reopenPause)
	}
	return Error.Wrap(err)
}

// Stop ends the server for good and cuts every connection.
func (l *Listener) Stop() {
	l.Down()
	l.mu.Lock()
	l.stopped = true
	l.held.release()
	l.held = noHold
	l.mu.Unlock()
	l.serving.Wait()
}
