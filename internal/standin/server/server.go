// Package server contains what the stand-ins share: Listener, an HTTP server on
// a loopback address that can go down and come up again on the same port, and
// Upstream, which adds fault injection, queueing and load reports for
// upstreams.
package server

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/internal/ports"
)

// Error is the class of every error this package returns.
var Error = errs.Class("standin server")

// readHeaderTimeout bounds how long a caller may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// Listener is an HTTP server on one fixed address.
type Listener struct {
	addr    netip.AddrPort
	handler http.Handler

	mu          sync.Mutex
	server      *http.Server    // nil while down
	socket      net.Listener    // the socket of server
	reservation portReservation // holds the port while down
	// port keeps a port that Listen chose until Stop; nil if the caller chose it.
	port    *ports.Reservation
	stopped bool
	serving sync.WaitGroup
}

// Listen starts serving on addr, or on a free loopback port if addr is empty.
func Listen(addr string, handler http.Handler) (*Listener, error) {
	l := &Listener{handler: handler, reservation: noReservation}
	if addr == "" {
		var err error
		if l.port, err = ports.Reserve(); err != nil {
			return nil, Error.Wrap(err)
		}
		addr = l.port.Addr().String()
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, Error.Wrap(errors.Join(err, l.releasePort()))
	}
	l.addr = ln.Addr().(*net.TCPAddr).AddrPort()
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

// releasePort ends the reservation of a port that Listen chose.
func (l *Listener) releasePort() error {
	if l.port == nil {
		return nil
	}
	return l.port.Release()
}

// Addr returns the address that it serves on, also while it is down.
func (l *Listener) Addr() netip.AddrPort { return l.addr }

// URL returns the base URL without a trailing slash.
func (l *Listener) URL() string { return "http://" + l.addr.String() }

// Down stops listening and closes every connection. When it returns, new
// connections are refused and the kernel gives the port to no socket that asks for
// any port.
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
	ln, err := l.reservation.listen(l.addr)
	l.reservation = noReservation
	if err != nil {
		return Error.Wrap(err)
	}
	l.serve(ln)
	return nil
}

// Stop stops the server permanently and closes every connection.
func (l *Listener) Stop() {
	l.Down()
	l.mu.Lock()
	if !l.stopped {
		l.stopped = true
		l.reservation.release()
		l.reservation = noReservation
		_ = l.releasePort() // the reservation ends with the process at the latest
	}
	l.mu.Unlock()
	l.serving.Wait()
}
