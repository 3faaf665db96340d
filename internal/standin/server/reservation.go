package server

import (
	"net/netip"
	"syscall"
)

// portReservation is a bound socket that does not listen. Other servers cannot
// bind its port, and connections to the port are refused.
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

// release frees the port.
func (r portReservation) release() {
	if r.fd >= 0 {
		_ = syscall.Close(r.fd)
	}
}
