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
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// maxHeaderBytes bounds the memory for a request's headers, whatever a
	// configuration allows.
	maxHeaderBytes = 256 << 10
	// maxHeaderTimeout bounds the reading of headers, whatever a configuration
	// allows.
	maxHeaderTimeout = 30 * time.Second
	// defaultHeaderTimeout and defaultIdleTimeout hold until a configuration
	// says otherwise.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// sweepInterval is how often connections are looked at.
	sweepInterval = 500 * time.Millisecond
)

// callers serves the callers' connections. The timeouts are the
// configuration's, which change while connections are open, so idle and slow
// ones are closed here.
type callers struct {
	server  *http.Server
	handler http.Handler
	routes  func() *routing.Table

	mu   sync.Mutex // guards open
	open map[*callerConn]struct{}
}

func newCallers(handler http.Handler, routes func() *routing.Table, logger *slog.Logger) *callers {
	c := &callers{handler: handler, routes: routes, open: make(map[*callerConn]struct{})}
	c.server = &http.Server{
		Handler:           c,
		ReadHeaderTimeout: maxHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         c.track,
		ConnContext:       withCallerConn,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return c
}

// ServeHTTP serves a request, unless its connection was closed in the same
// moment: such a request has not been taken.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn := callerConnOf(r.Context()); conn != nil && !conn.begin() {
		panic(http.ErrAbortHandler)
	}
	if limit := c.limits().MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	c.handler.ServeHTTP(w, r)
}

// headerBytes is the size of a request's line and headers as they were sent.
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

// track notes which connections are open and since when they are idle.
func (c *callers) track(n net.Conn, state http.ConnState) {
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
		conn.rest(time.Now())
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.open, conn)
		c.mu.Unlock()
	}
}

// sweep closes the connections that were idle or slow for too long, until ctx
// ends.
func (c *callers) sweep(ctx context.Context) error {
	return sleep.Every(ctx, sweepInterval, func(now time.Time) { c.closeOver(now, c.limits()) })
}

// limits are the configuration's, or the defaults where it has none.
func (c *callers) limits() routing.Limits {
	l := routing.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if t := c.routes(); t != nil {
		l.MaxHeaderBytes = t.Limits().MaxHeaderBytes
		l.HeaderTimeout = cmp.Or(t.Limits().HeaderTimeout, l.HeaderTimeout)
		l.IdleTimeout = cmp.Or(t.Limits().IdleTimeout, l.IdleTimeout)
	}
	return l
}

// closeOver closes what has been idle, or sending one request's headers, for
// longer than the limits allow.
func (c *callers) closeOver(now time.Time, limits routing.Limits) {
	c.mu.Lock()
	open := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	for _, conn := range open {
		if conn.end(now, limits.IdleTimeout, limits.HeaderTimeout) {
			_ = conn.Close()
		}
	}
}
