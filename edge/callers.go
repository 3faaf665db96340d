package edge

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// maxHeaderBytes is an upper bound on the size of a request's headers,
	// whatever the configuration allows.
	maxHeaderBytes = 256 << 10
	// maxHeaderTimeout is an upper bound on the time to read a request's headers,
	// whatever the configuration allows.
	maxHeaderTimeout = 30 * time.Second
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration
	// sets others.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// connCheckInterval is how often connections are checked against their
	// timeouts.
	connCheckInterval = 500 * time.Millisecond
)

// callerServer serves callers' connections. The idle and header timeouts come from
// the configuration and may change while connections are open, so this type
// enforces them in place of http.Server.
type callerServer struct {
	server  *http.Server
	handler http.Handler
	routes  func() *routing.Table
	logger  *slog.Logger

	idle idleLimit // only closeExpired uses it

	inProgress atomic.Int64 // requests

	mu   sync.Mutex // guards open
	open map[*callerConn]struct{}
}

func newCallerServer(handler http.Handler, routes func() *routing.Table, logger *slog.Logger) *callerServer {
	c := &callerServer{handler: handler, routes: routes, logger: logger, open: make(map[*callerConn]struct{})}
	c.server = &http.Server{
		Handler:           c,
		ReadHeaderTimeout: maxHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         c.trackConn,
		ConnContext:       withCallerConn,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return c
}

// ServeHTTP serves a request. If a timeout or a shutdown closed the connection at
// the same moment, the request is dropped without being run.
func (c *callerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn := callerConnOf(r.Context()); conn != nil && !conn.beginRequest() {
		c.logger.Warn("request dropped: its connection was closed as it arrived", "caller", r.RemoteAddr, "target", r.RequestURI)
		panic(http.ErrAbortHandler)
	}
	if limit := c.limits().MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	c.inProgress.Add(1)
	defer c.inProgress.Add(-1)
	c.handler.ServeHTTP(w, r)
}

const (
	// maxAbortTime bounds each wait for requests that were ended, and abortCheckInterval is
	// how often they are counted.
	maxAbortTime       = 200 * time.Millisecond
	abortCheckInterval = 5 * time.Millisecond
)

// awaitRequests waits for requests that were ended to be answered.
func (c *callerServer) awaitRequests() {
	for until := time.Now().Add(maxAbortTime); c.inProgress.Load() > 0 && time.Now().Before(until); {
		time.Sleep(abortCheckInterval)
	}
}

// abort closes all connections and waits for the requests on them to end, so that each of
// them is logged.
func (c *callerServer) abort() {
	if err := c.server.Close(); err != nil {
		c.logger.Warn("failed to close callers' connections", "error", err.Error())
	}
	c.awaitRequests()
}

// headerBytes returns the size of the request line and headers as they were
// sent.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// trackConn records which connections are open and when they become idle.
func (c *callerServer) trackConn(n net.Conn, state http.ConnState) {
	conn, ok := n.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.mu.Lock()
		c.open[conn] = struct{}{}
		c.mu.Unlock()
	case http.StateIdle:
		conn.markIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.open, conn)
		c.mu.Unlock()
	}
}

// closeExpiredPeriodically closes connections that exceeded a timeout, at regular
// intervals until ctx ends.
func (c *callerServer) closeExpiredPeriodically(ctx context.Context) error {
	return sleep.Every(ctx, connCheckInterval, func(now time.Time) { c.closeExpired(now, c.limits()) })
}

// limits returns the limits of the configuration, with defaults for the timeouts
// that it does not set.
func (c *callerServer) limits() routing.Limits {
	l := routing.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if t := c.routes(); t != nil {
		l.MaxHeaderBytes = t.Limits().MaxHeaderBytes
		l.HeaderTimeout = cmp.Or(t.Limits().HeaderTimeout, l.HeaderTimeout)
		l.IdleTimeout = cmp.Or(t.Limits().IdleTimeout, l.IdleTimeout)
	}
	return l
}

// closeExpired closes connections that have been idle, or sending the headers of
// one request, for longer than the limits allow.
func (c *callerServer) closeExpired(now time.Time, limits routing.Limits) {
	c.mu.Lock()
	open := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	c.idle.set(limits.IdleTimeout, now)
	expired := 0
	for _, conn := range open {
		if conn.expire(now, &c.idle, limits.HeaderTimeout) {
			_ = conn.Close()
			expired++
		}
	}
	if expired > 0 {
		c.logger.Info("connections closed by a timeout", "connections", expired, "idle_ms", limits.IdleTimeout.Milliseconds(),
			"header_ms", limits.HeaderTimeout.Milliseconds())
	}
}
