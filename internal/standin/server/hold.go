package server

import (
	"net/netip"
	"syscall"
)

// hold is a bound socket that does not listen. It keeps a port from other
// servers, while connections to it are refused.
type hold struct {
	fd int
}

// noHold holds nothing.
var noHold = hold{fd: -1}

// takeHold binds the port. It holds nothing when the port can't be bound.
func takeHold(addr netip.AddrPort) hold {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return noHold
	}
	// Connections of the closed server may still be ending on the port.
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		_ = syscall.Close(fd)
		return noHold
	}
	return hold{fd: fd}
}

// release gives the port back.
func (h hold) release() {
	if h.fd >= 0 {
		_ = syscall.Close(h.fd)
	}
}
