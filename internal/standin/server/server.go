// Package server contains what the stand-ins share: Listener, an HTTP server on
// a loopback address that can go down and come up again on the same port, and
// Upstream, which adds fault injection, queueing and load reports for
// upstreams.
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

// anyPort is the loopback address with any free port.
const anyPort = "127.0.0.1:0"

// readHeaderTimeout bounds how long a caller may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// Up tries to bind the port up to reopenAttempts times, reopenInterval apart.
const (
	reopenAttempts = 100
	reopenInterval = 20 * time.Millisecond
)

// Listener is an HTTP server on one fixed address.
type Listener struct {
	addr    netip.AddrPort
	handler http.Handler

	mu          sync.Mutex
	server      *http.Server    // nil while down
	socket      net.Listener    // the socket of server
	reservation portReservation // reserves the port while down
	stopped     bool
	serving     sync.WaitGroup
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
	l := &Listener{addr: ln.Addr().(*net.TCPAddr).AddrPort(), handler: handler, reservation: noReservation}
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

// URL returns the base URL without a trailing slash.
func (l *Listener) URL() string { return "http://" + l.addr.String() }

// Down stops listening and closes every connection. When it returns, new
// connections are refused and no other server can bind the port.
func (l *Listener) Down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return
	}
	_ = l.server.Close()
	// http.Server.Close misses the socket if Serve has not registered it yet.
	_ = l.socket.Close()
	l.server = nil
	l.reservation = reservePort(l.addr)
}

// Up serves again on the same port after Down.
func (l *Listener) Up() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || l.server != nil {
		return nil
	}
	l.reservation.release()
	l.reservation = noReservation
	var err error
	for range reopenAttempts {
		var ln net.Listener
		ln, err = net.Listen("tcp", l.addr.String())
		if err == nil {
			l.serve(ln)
			return nil
		}
		time.Sleep(reopenInterval)
	}
	return Error.Wrap(err)
}

// Stop stops the server permanently and closes every connection.
func (l *Listener) Stop() {
	l.Down()
	l.mu.Lock()
	l.stopped = true
	l.reservation.release()
	l.reservation = noReservation
	l.mu.Unlock()
	l.serving.Wait()
}
