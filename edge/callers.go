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

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/memory"
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

	// limitTo sets these before the first connection.
	memory   *memory.Account
	maxConns int // 0 for no limit
	closed   *prometheus.CounterVec

	mu       sync.Mutex // guards the fields below; taken before that of a callerConn
	listener net.Listener
	stopped  bool // no further connections are accepted
	open     map[*callerConn]struct{}
	loggedAt map[string]time.Time // of each reason
	fullAt   time.Time            // when no connection could be closed for another
}

func newCallerServer(handler http.Handler, routes func() *routing.Table, logger *slog.Logger) *callerServer {
	c := &callerServer{handler: handler, routes: routes, logger: logger, open: make(map[*callerConn]struct{}), loggedAt: make(map[string]time.Time)}
	c.limitTo(memory.New(0, 0, logger, nil), 0, nil)
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

// limitTo bounds the memory of heads and the number of connections, 0 for no limit. It must be
// called before the first connection is accepted. registerer may be nil.
func (c *callerServer) limitTo(held *memory.Account, maxConns int, registerer prometheus.Registerer) {
	c.memory, c.maxConns = held, maxConns
	c.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "seam_caller_connections_closed_total", Help: "Callers' connections that a limit closed, by reason.",
	}, []string{"reason"})
	if registerer == nil {
		return
	}
	registerer.MustRegister(c.closed, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "seam_caller_connections", Help: "Open connections of callers.",
	}, func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(len(c.open))
	}))
}

// isTooLong reports whether the start of a head, with what was read beyond it, is over the
// limit.
func (c *callerServer) isTooLong(received int64) bool {
	limit := c.limits().MaxHeaderBytes
	return limit > 0 && received > int64(limit)+headReadAhead
}

// closedLogInterval bounds the log to one line of each reason in this time.
const closedLogInterval = 10 * time.Second

// closedBy counts a connection that a limit closed.
func (c *callerServer) closedBy(reason string) {
	c.closed.WithLabelValues(reason).Inc()
	now := time.Now()
	c.mu.Lock()
	quiet := now.Sub(c.loggedAt[reason]) < closedLogInterval
	if !quiet {
		c.loggedAt[reason] = now
	}
	open := len(c.open)
	c.mu.Unlock()
	if !quiet {
		c.logger.Warn("caller's connection closed by a limit", "reason", reason, "connections", open, "max_connections", c.maxConns)
	}
}

// fullInterval is how long connections are refused without looking for others to close, after
// there were none.
const fullInterval = 50 * time.Millisecond

// makeRoom closes waiting connections if there are as many as allowed. It returns false if no
// further one may be accepted now.
func (c *callerServer) makeRoom(now time.Time) bool {
	c.mu.Lock()
	full := c.maxConns > 0 && len(c.open) >= c.maxConns
	inVain := now.Sub(c.fullAt) < fullInterval
	var all []waitingConn
	if full && !inVain {
		for conn := range c.open {
			state, since := conn.state()
			all = append(all, waitingConn{conn: conn, state: state, since: since})
		}
	}
	c.mu.Unlock()
	if !full {
		return true
	}
	n, closed := max(c.maxConns/closeDivisor, 1), 0
	for _, w := range chooseToClose(all, n, now) {
		if w.conn.closeWaiting() {
			closed++
			c.mu.Lock()
			delete(c.open, w.conn)
			c.mu.Unlock()
			c.closedBy("too_many")
		}
	}
	if closed == 0 {
		c.closedBy("refused")
	}
	if closed == 0 && !inVain {
		c.memory.EndStalled(n, now) // their connections are closed soon
		c.mu.Lock()
		c.fullAt = now
		c.mu.Unlock()
	}
	return closed > 0
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
		// net/http reads a part of the body before it answers. This fails only if the
		// connection is closed.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(resetDelay))
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
		conn.head.Free()
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
