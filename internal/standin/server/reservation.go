package server

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// portReservation is a bound socket that does not listen. The kernel gives its port
// to no socket that asks for any port, and connections to the port are refused.
type portReservation struct {
	fd int
}

// noReservation reserves no port.
var noReservation = portReservation{fd: -1}

// reservePort binds addr without listening. It returns noReservation if addr
// can't be bound.
func reservePort(addr netip.AddrPort) portReservation {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return noReservation
	}
	// Connections of the closed server may still be closing on the port and
	// would make bind fail.
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		_ = syscall.Close(fd)
		return noReservation
	}
	return portReservation{fd: fd}
}

// listen starts listening on the reserved port, without closing the socket in between.
// Without a reservation it opens a listener on addr.
func (r portReservation) listen(addr netip.AddrPort) (net.Listener, error) {
	if r.fd < 0 {
		return net.Listen("tcp", addr.String())
	}
	file := os.NewFile(uintptr(r.fd), addr.String())
	defer file.Close()
	if err := syscall.Listen(r.fd, syscall.SOMAXCONN); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return net.FileListener(file)
}

// release frees the port.
func (r portReservation) release() {
	if r.fd >= 0 {
		_ = syscall.Close(r.fd)
	}
}
