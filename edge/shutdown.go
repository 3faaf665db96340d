package edge

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/transport"
)

const (
	// shutdownPollInterval is how often connections are checked for whether they can be closed.
	shutdownPollInterval = 10 * time.Millisecond
	// maxUnusedWait is how long a stopping host keeps a connection on which nothing has arrived.
	// Callers send their requests as soon as a connection is open.
	maxUnusedWait = time.Second
)

// shutdown accepts no further connections and closes the open ones, each when nothing has
// arrived on it that is not answered. It returns nil once all are closed, or the error of ctx.
// http.Server.Shutdown is not used, since it drops each request whose head is complete only
// after the call.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.stopAccepting()
	begun := time.Now()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		open := slices.Collect(maps.Keys(c.open))
		c.mu.Unlock()
		if len(open) == 0 {
			return nil
		}
		for _, conn := range open {
			conn.closeForShutdown(begun, time.Now())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// stopAccepting closes the listener.
func (c *callerServer) stopAccepting() {
	c.mu.Lock()
	listener := c.listener
	c.stopped = true
	c.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // it was open, and nothing else closes it before
	}
}

// serveOn serves callers' connections from a listener until ctx ends or shutdown is called.
func (c *callerServer) serveOn(ctx context.Context, listener net.Listener) error {
	c.mu.Lock()
	c.listener = listener
	c.mu.Unlock()
	return serve(ctx, c.server, callerListener{Listener: listener, server: c})
}

// acceptError returns the error of a listener as http.Server expects it.
func (c *callerServer) acceptError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return http.ErrServerClosed
	}
	return err
}

// closeForShutdown closes the connection if it waits for a request, of which nothing has
// arrived. One that has not been used yet is kept for maxUnusedWait after the shutdown has begun.
func (c *callerConn) closeForShutdown(begun, now time.Time) {
	c.mu.Lock()
	waits := !c.serving && !c.closed && c.readingSince.IsZero() && (c.used || now.Sub(begun) >= maxUnusedWait)
	c.closed = c.closed || waits && transport.NothingReceived(c.Conn)
	closed := c.closed
	c.mu.Unlock()
	if closed {
		_ = c.Conn.Close() // it may be closed already
	}
}
