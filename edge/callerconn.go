package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/transport"
)

// callerConn is a caller's connection with the state that the idle and header
// timeouts need.
type callerConn struct {
	net.Conn

	mu sync.Mutex // guards the fields up to server
	// serving is true while a request is being served.
	serving bool
	// idleSince is when the connection was accepted or its last request ended.
	idleSince time.Time
	// readingSince is when the first byte of the next request arrived. It is
	// zero until then.
	readingSince time.Time
	closed       bool
	used         bool  // a request has been served
	headBytes    int64 // received of the next request's head, at most a buffer more
	headCost     int64 // estimate of the memory that the head takes
	// deadline is the end of all writes if it is set. The deadline of net.Conn is for
	// noticing that a write does not go on.
	deadline time.Time

	server *callerServer
	// head is the memory of the head, also while the request is served.
	head memory.Holder
	// written shows how the caller reads.
	written memory.Meter
}

const (
	// freeHeadCost is the part of a head's memory that connBytes includes.
	freeHeadCost = 8 << 10
	// fieldCost is the memory that a header field takes beside its bytes.
	fieldCost = 192
	// writeCheckInterval is how often a write that does not go on is looked at.
	writeCheckInterval = 400 * time.Millisecond
	// maxWriteStall is how long a caller may read nothing of an answer that waits for it. It is
	// above a time-out of TCP with several lost packets.
	maxWriteStall = 8 * time.Second
	// resetDelay is the time that net/http gives a caller to read a refusal.
	resetDelay = 500 * time.Millisecond
	// headReadAhead is how much net/http reads beyond a head.
	headReadAhead = 4 << 10
)

// errCut ends the use of a connection that was closed for want of memory or by a limit.
var errCut = Error.New("connection was closed by a limit")

// callerListener wraps accepted connections in a callerConn.
type callerListener struct {
	net.Listener
	server *callerServer
}

// Accept returns the next connection as a *callerConn. Connections that arrive while too many
// are open, none of which may be closed, are closed at once.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, l.server.acceptError(err)
		}
		now := time.Now()
		if !l.server.makeRoom(now) {
			_ = accepted.Close()
			continue
		}
		c := &callerConn{Conn: accepted, idleSince: now, server: l.server}
		_ = accepted.SetWriteDeadline(now.Add(writeCheckInterval)) // fails only if it is closed
		c.head.Init(l.server.memory, memory.Head, func() { _ = c.Close() })
		return c, nil
	}
}

// Read reads from the connection and records when a request begins. A head takes memory while
// it arrives; the connection is closed if there is none, or if the head is far too long.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	c.mu.Lock()
	if c.serving {
		c.mu.Unlock()
		return n, err
	}
	if c.readingSince.IsZero() {
		c.readingSince = now
	}
	c.headBytes += int64(n)
	head, _, _ := bytes.Cut(p[:n], headEnd) // what follows is the start of a body
	c.headCost += int64(n) + fieldCost*int64(bytes.Count(head, newline))
	received, cost := c.headBytes, c.headCost
	c.mu.Unlock()
	switch {
	case c.server == nil:
	case c.server.isTooLong(received):
		c.refuseHead()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errCut}
	case cost > freeHeadCost && !c.holdHead(cost-freeHeadCost, now):
		c.server.closedBy("no_memory_for_head")
		_ = c.Close()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errCut}
	}
	return n, err
}

// refuseHead answers a request whose head is too long before it is complete. The connection
// stays open for a moment, as in net/http, so that the caller gets the answer and no reset.
func (c *callerConn) refuseHead() {
	c.server.closedBy("head_too_long")
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the caller may have left
		time.Sleep(resetDelay)
	}
	_ = c.Close()
}

var newline, headEnd = []byte("\n"), []byte("\r\n\r\n")

// holdHead makes the head's memory at least a number of bytes.
func (c *callerConn) holdHead(bytes int64, now time.Time) bool {
	held := c.head.Bytes()
	if bytes <= held {
		return true
	}
	if held == 0 {
		c.head.MayEvict(true, now)
	}
	return c.head.TryGrow(bytes-held, now)
}

// Write writes to the connection. It ends when the caller has read nothing for too long.
func (c *callerConn) Write(p []byte) (written int, err error) {
	var stalledSince time.Time
	for {
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now := time.Now()
		if n > 0 || stalledSince.IsZero() {
			stalledSince = now
		}
		c.written.Moved(n, now)
		if now.Sub(stalledSince) >= maxWriteStall && c.server != nil {
			c.server.closedBy("answer_not_read")
			return written, errCut
		}
		if !c.extendWrite(now) {
			return written, err
		}
	}
}

// extendWrite lets a write go on for a while. It returns false after the deadline that
// SetWriteDeadline set.
func (c *callerConn) extendWrite(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return false
	}
	return c.Conn.SetWriteDeadline(now.Add(writeCheckInterval)) == nil
}

// SetWriteDeadline sets the end of all writes.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if t.IsZero() {
		t = time.Now().Add(writeCheckInterval)
	}
	return c.Conn.SetWriteDeadline(t)
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
	c.serving, c.readingSince, c.used = true, time.Time{}, true
	held, closed := c.headCost > freeHeadCost, c.closed
	c.mu.Unlock()
	if held {
		c.head.MayEvict(false, time.Now())
		closed = closed || c.head.Evicted()
	}
	return !closed
}

// state returns what the connection waits for, and since when.
func (c *callerConn) state() (connState, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.serving || c.closed:
		return connServing, time.Time{}
	case !c.readingSince.IsZero():
		return connReading, c.readingSince
	case c.used:
		return connUsed, c.idleSince
	default:
		return connUnused, c.idleSince
	}
}

// closeWaiting closes the connection unless a request has begun or waits to be read.
func (c *callerConn) closeWaiting() bool {
	c.mu.Lock()
	idle := !c.serving && !c.closed && (!c.readingSince.IsZero() || transport.NothingReceived(c.Conn))
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Conn.Close()
	}
	return idle
}

// markIdle records that the connection is waiting for its next request.
func (c *callerConn) markIdle(now time.Time) {
	c.mu.Lock()
	held := c.headCost > freeHeadCost
	c.serving, c.idleSince, c.headBytes, c.headCost = false, now, 0, 0
	c.mu.Unlock()
	if held {
		c.head.Reset()
	}
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
	if c, ok := n.(*callerConn); ok {
		ctx = memory.WithWriteMeter(ctx, &c.written)
	}
	return context.WithValue(ctx, callerConnKey{}, n)
}

// callerConnOf returns the connection of a request's context, or nil.
func callerConnOf(ctx context.Context) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return conn
}
