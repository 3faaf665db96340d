// Package transport carries calls to upstreams over HTTP/1.1 connections that
// it pools itself. It tells apart what net/http's own client does not: whether
// a call surely did not reach the upstream, and whether an answer on a reused
// connection belongs to an earlier call.
package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("transport")

// ErrNotSent says that the upstream surely never saw the call.
var ErrNotSent = errs.New("call not sent")

// Defaults and bounds of a Client.
const (
	// dialTimeout is far above the round trip between data centres.
	dialTimeout = time.Second
	// defaultIdle is how long a connection is kept when the upstream does not
	// say: shorter than the timeouts that servers commonly have.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off an upstream's own idle timeout, for clocks and
	// for the way of the next call.
	idleMargin = 900 * time.Millisecond
	// maxIdlePerUpstream bounds the connections kept to one upstream.
	maxIdlePerUpstream = 16
	// inlineBody is the largest body that is sent before the answer is read:
	// it fits into a socket's buffers.
	inlineBody = 16 << 10
	// maxStrayAnswers is how many answers to earlier calls are read away.
	maxStrayAnswers = 3
	// userTimeout is after what silence the kernel gives a connection up.
	userTimeout = 5 * time.Second
	readBuffer  = 4 << 10
)

// Call is one call to an upstream.
type Call struct {
	Addr   netip.AddrPort
	Method string
	// Target is the path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked sends the body without its length.
	Chunked bool
	// Mine says whether an answer belongs to this call. Others are read away.
	// A nil Mine takes the first answer.
	Mine func(*http.Response) bool
	// Idle reads how long the upstream keeps an unused connection.
	Idle func(http.Header) time.Duration
	// Fresh opens a new connection: one that waited may close under a call
	// that must not be sent twice.
	Fresh bool
}

// Client makes calls. It is safe for concurrent use.
type Client struct {
	mu      sync.Mutex // guards idle and maxIdle
	idle    map[netip.AddrPort][]*conn
	maxIdle int
	dials   prometheus.Counter
	reuse   prometheus.Counter
}

// New makes a client. registerer may be nil.
func New(registerer prometheus.Registerer) *Client {
	c := &Client{
		idle:    make(map[netip.AddrPort][]*conn),
		maxIdle: maxIdlePerUpstream,
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "seam_upstream_dials_total", Help: "Connections opened to upstreams.",
		}),
		reuse: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "seam_upstream_reuses_total", Help: "Calls sent on a connection that was used before.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(c.dials, c.reuse)
	}
	return c
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	expiry time.Time
}

// Answer is an answer whose body is read from the connection. Close it.
type Answer struct {
	*http.Response
	client *Client
	conn   *conn
	call   *Call
	stop   func() bool
	sent   <-chan error // ends when the request's body was written
	// whole says that the body was read to its end.
	whole bool
	once  sync.Once
}

// Do sends a call and returns the head of its answer. When ctx ends the
// connection is closed, also while the body is being read. An error that wraps
// ErrNotSent means that the upstream never saw the call; after any other it
// may have run.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	connection, err := c.connect(ctx, call)
	if err != nil {
		return nil, errs.Combine(ErrNotSent, Error.Wrap(err))
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	sent, err := connection.send(call)
	if err == nil {
		var response *http.Response
		if response, err = connection.receive(call); err == nil { //nolint:bodyclose // the caller closes the Answer
			a := &Answer{Response: response, client: c, conn: connection, call: call, stop: stop, sent: sent}
			a.Body = &body{ReadCloser: response.Body, answer: a}
			return a, nil
		}
	}
	stop()
	_ = connection.Close()
	if ctx.Err() != nil {
		return nil, Error.Wrap(ctx.Err())
	}
	return nil, Error.Wrap(err)
}

// connect takes an idle connection or opens one.
func (c *Client) connect(ctx context.Context, call *Call) (*conn, error) {
	if !call.Fresh {
		if kept := c.takeIdle(call.Addr); kept != nil {
			c.reuse.Inc()
			return kept, nil
		}
	}
	c.dials.Inc()
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp4", call.Addr.String())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Reach opens a connection and closes it, to see whether anything listens.
func (c *Client) Reach(ctx context.Context, addr netip.AddrPort) error {
	c.dials.Inc()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(raw.Close())
}

// takeIdle returns the connection used last that is still good, or nil.
func (c *Client) takeIdle(addr netip.AddrPort) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		kept := c.idle[addr]
		if len(kept) == 0 {
			delete(c.idle, addr)
			c.mu.Unlock()
			return nil
		}
		last := kept[len(kept)-1]
		c.idle[addr] = kept[:len(kept)-1]
		c.mu.Unlock()
		if now.Before(last.expiry) && quiet(last.Conn) {
			return last
		}
		_ = last.Close()
	}
}

// keep puts a connection back for the next call.
func (c *Client) keep(addr netip.AddrPort, kept *conn, idle time.Duration) {
	kept.expiry = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.maxIdle {
		_ = kept.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], kept)
}

// LimitIdle bounds the idle connections that are kept to one upstream, which
// takes a number of connections from all hosts together.
func (c *Client) LimitIdle(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = min(max(n, 1), maxIdlePerUpstream)
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(addr netip.AddrPort) {
	c.mu.Lock()
	kept := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, k := range kept {
		_ = k.Close()
	}
}

// Sweep closes the idle connections that have expired.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, kept := range c.idle {
		good := kept[:0]
		for _, k := range kept {
			if now.Before(k.expiry) {
				good = append(good, k)
			} else {
				_ = k.Close()
			}
		}
		if len(good) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = good
		}
	}
}

// Close closes every idle connection.
func (c *Client) Close() { c.Sweep(time.Now().Add(24 * time.Hour)) }

// send writes the request. A long body is written while the answer is read,
// which may come before the body is in.
func (n *conn) send(call *Call) (<-chan error, error) {
	head := requestHead(call)
	if len(call.Body) <= inlineBody {
		_, err := n.Write(appendBody(head, call))
		return nil, err
	}
	if _, err := n.Write(head); err != nil {
		return nil, err
	}
	sent := make(chan error, 1)
	go func() {
		_, err := n.Write(appendBody(nil, call))
		sent <- err
	}()
	return sent, nil
}

// receive reads answers until one belongs to the call.
func (n *conn) receive(call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	for stray := 0; ; {
		response, err := http.ReadResponse(n.reader, request)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.Mine == nil || call.Mine(response) {
			return response, nil
		}
		if stray++; stray > maxStrayAnswers || response.Close {
			return nil, errs.New("the connection carries answers to other calls")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
}

// body notes when it was read to its end.
type body struct {
	io.ReadCloser
	answer *Answer
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.answer.whole = true
	}
	return n, err
}

// Close gives the connection back if it can carry another call, and closes it
// otherwise.
func (a *Answer) Close() {
	a.once.Do(func() {
		ended := !a.stop()
		if !ended && a.whole && !a.Response.Close && a.conn.reader.Buffered() == 0 && a.bodySent() {
			a.client.keep(a.call.Addr, a.conn, a.idle())
			return
		}
		_ = a.conn.Close()
	})
}

// bodySent says whether the whole request has been written.
func (a *Answer) bodySent() bool {
	if a.sent == nil {
		return true
	}
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

// idle is how long the connection may wait for its next call.
func (a *Answer) idle() time.Duration {
	if a.call.Idle != nil {
		if told := a.call.Idle(a.Header); told > 0 {
			return max(told-idleMargin, 0)
		}
	}
	return defaultIdle
}
