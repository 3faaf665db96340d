package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// maxHeaderBytes is over what configurations allow.
	maxHeaderBytes = 64 << 10
	// defaultHeaderTimeout and defaultIdleTimeout hold until a configuration
	// says otherwise.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = 500 * time.Millisecond
)

// callers serves the callers' connections. The idle timeout is the
// configuration's, which changes while connections are open, so idle ones are
// closed here.
type callers struct {
	server  *http.Server
	handler http.Handler
	routes  func() *routing.Table

	mu   sync.Mutex // guards idle
	idle map[net.Conn]time.Time
}

// connection says whether a caller's connection was closed as idle.
type connection struct {
	closed atomic.Bool
}

type connectionKey struct{}

func newCallers(handler http.Handler, routes func() *routing.Table, logger *slog.Logger) *callers {
	c := &callers{handler: handler, routes: routes, idle: make(map[net.Conn]time.Time)}
	c.server = &http.Server{
		Handler:           c,
		ReadHeaderTimeout: defaultHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         c.track,
		ConnContext:       markConnection,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return c
}

// trackedConns finds the mark of a connection.
var trackedConns sync.Map // net.Conn to *connection

func markConnection(ctx context.Context, n net.Conn) context.Context {
	mark := &connection{}
	trackedConns.Store(n, mark)
	return context.WithValue(ctx, connectionKey{}, mark)
}

// ServeHTTP serves a request, unless its connection was closed as idle in the
// same moment: such a request has not been taken.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if mark, ok := r.Context().Value(connectionKey{}).(*connection); ok && mark.closed.Load() {
		panic(http.ErrAbortHandler)
	}
	c.handler.ServeHTTP(w, r)
}

// track notes since when a connection is idle.
func (c *callers) track(n net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[n] = time.Now()
		return
	}
	delete(c.idle, n)
	if state == http.StateClosed || state == http.StateHijacked {
		trackedConns.Delete(n)
	}
}

// sweep closes the connections that were idle for too long, until ctx ends.
func (c *callers) sweep(ctx context.Context) error {
	return sleep.Every(ctx, sweepInterval, func(now time.Time) { c.closeIdle(now, c.idleTimeout()) })
}

func (c *callers) idleTimeout() time.Duration {
	if t := c.routes(); t != nil && t.Limits().IdleTimeout > 0 {
		return t.Limits().IdleTimeout
	}
	return defaultIdleTimeout
}

// closeIdle closes what has been idle for longer than the timeout.
func (c *callers) closeIdle(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	var over []net.Conn
	for n, since := range c.idle {
		if now.Sub(since) > timeout {
			over = append(over, n)
			delete(c.idle, n)
			if mark, ok := trackedConns.Load(n); ok {
				mark.(*connection).closed.Store(true)
			}
		}
	}
	c.mu.Unlock()
	for _, n := range over {
		_ = n.Close()
	}
}
