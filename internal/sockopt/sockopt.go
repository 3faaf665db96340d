// Package sockopt sets options of TCP sockets that package net does not offer.
package sockopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for a net.Dialer or net.ListenConfig that makes the
// kernel close a connection whose peer does not acknowledge sent data, or keep-alive probes,
// within a time. It overrides the count of keep-alive probes.
func UserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, timeout) }
}

// SetUserTimeout does the same for an open connection. It does nothing if that is no TCP
// connection.
func SetUserTimeout(conn net.Conn, timeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, timeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
