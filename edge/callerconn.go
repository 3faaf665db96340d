package edge

import (
	"context"
	"net"
	"sync"
	"time"
)

// callerConn is one caller's connection, with what the timeouts need to know.
type callerConn struct {
	net.Conn

	mu sync.Mutex // guards all below
	// serving says that a request is being served.
	serving bool
	// idleSince is when the connection was accepted or last ended a request.
	idleSince time.Time
	// readingSince is when the first byte of the next request came, zero before.
	readingSince time.Time
	closed       bool
}

// callerListener accepts callers' connections.
type callerListener struct{ net.Listener }

// Accept returns the next connection as a *callerConn.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: accepted, idleSince: time.Now()}, nil
}

// Read notes when a request begins.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if !c.serving && c.readingSince.IsZero() {
			c.readingSince = time.Now()
		}
		c.mu.Unlock()
	}
	return n, err
}

// begin notes that a request's headers are in, and says whether it may be
// served: not on a connection that was just closed.
func (c *callerConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.readingSince = true, time.Time{}
	return !c.closed
}

// rest notes that the connection waits for its next request.
func (c *callerConn) rest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.idleSince = false, now
}

// end says whether the connection is to be closed, since it was idle or has
// been sending one request's headers for longer than allowed.
func (c *callerConn) end(now time.Time, idle, header time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.serving:
		return false
	case c.readingSince.IsZero():
		c.closed = now.Sub(c.idleSince) > idle
	default:
		c.closed = now.Sub(c.readingSince) > header
	}
	return c.closed
}

type callerConnKey struct{}

// withCallerConn lets a request's handler find its connection.
func withCallerConn(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, n)
}

// callerConnOf returns the connection of a request, or nil.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}
