package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/transport"
)

// callerConn is a caller's connection with the state that the idle and header
// timeouts need.
type callerConn struct {
	net.Conn

	mu sync.Mutex // guards the fields below
	// serving is true while a request is being served.
	serving bool
	// idleSince is when the connection was accepted or its last request ended.
	idleSince time.Time
	// readingSince is when the first byte of the next request arrived. It is
	// zero until then.
	readingSince time.Time
	closed       bool
}

// callerListener wraps accepted connections in a callerConn.
type callerListener struct{ net.Listener }

// Accept returns the next connection as a *callerConn.
func (l callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: accepted, idleSince: time.Now()}, nil
}

// Read reads from the connection and records when a request begins.
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

// Close closes the connection. If no request is being served, one that has just been
// read does not begin.
func (c *callerConn) Close() error {
	c.mu.Lock()
	c.closed = c.closed || !c.serving
	c.mu.Unlock()
	return c.Conn.Close()
}

// beginRequest records that the headers of a request have been read. It returns
// false if the connection has already been closed by a timeout or a shutdown.
func (c *callerConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.readingSince = true, time.Time{}
	return !c.closed
}

// markIdle records that the connection is waiting for its next request.
func (c *callerConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.idleSince = false, now
}

// expire reports whether the connection has exceeded a timeout: it was idle, or
// has been sending the headers of one request, for too long. It marks such a
// connection as closed, and closeExpired then closes it. A connection on which bytes
// wait to be read is not idle.
func (c *callerConn) expire(now time.Time, idle *idleLimit, header time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.serving:
		return false
	case c.readingSince.IsZero():
		c.closed = idle.exceeded(c.idleSince, now) && transport.NothingReceived(c.Conn)
	default:
		c.closed = now.Sub(c.readingSince) > header
	}
	return c.closed
}

type callerConnKey struct{}

// withCallerConn returns a context from which callerConnOf gets the connection.
func withCallerConn(ctx context.Context, n net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, n)
}

// callerConnOf returns the connection of a request's context, or nil.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}
