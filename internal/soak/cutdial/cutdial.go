// Package cutdial opens connections to upstreams over links that a soak cuts. The soak
// writes the state of a host's links to a file that the host's process reads.
package cutdial

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/transport"
)

// FileVariable is the environment variable that names the file with the state of the links.
const FileVariable = "SOAK_LINKS"

// The states of a host's links.
const (
	Whole = ""
	// Silent: packets are lost in both directions.
	Silent = "silent"
	// Reset: connections are reset when they are used, and new ones are refused.
	Reset = "reset"
	// Refused: new connections are refused, those that are open live on.
	Refused = "refused"
)

// silentTimeout bounds opening a connection over a silent link.
const silentTimeout = time.Second

// state returns the state of the links.
func state() string {
	raw, err := os.ReadFile(os.Getenv(FileVariable))
	if err != nil {
		return Whole // the soak has not cut them yet
	}
	return strings.TrimSpace(string(raw))
}

// Dial opens a connection to an upstream as the state of the links allows.
func Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	switch state() {
	case Silent:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(silentTimeout):
			return nil, os.ErrDeadlineExceeded
		}
	case Reset, Refused:
		return nil, syscall.ECONNREFUSED
	}
	raw, err := transport.DialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, closed: make(chan struct{})}, nil
}

// conn is a connection over links that may be cut.
type conn struct {
	net.Conn
	close  sync.Once
	closed chan struct{}
}

// Read reads. What arrives while the links are cut is lost.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch state() {
	case Silent:
		<-c.closed
		return 0, net.ErrClosed
	case Reset:
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write writes. What is written while the links are cut is lost.
func (c *conn) Write(p []byte) (int, error) {
	switch state() {
	case Silent:
		return len(p), nil
	case Reset:
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
