// Package sockopt sets options of TCP sockets that package net does not offer.
package sockopt

import (
	"errors"
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

// SetBuffers bounds the kernel's buffers of the connections that a listener accepts from now
// on, in bytes for each direction. It does nothing if that is no TCP listener.
func SetBuffers(listener net.Listener, bytes int) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes))
	})
	return errors.Join(err, optErr)
}
