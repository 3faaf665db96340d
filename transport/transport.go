// Package transport makes calls to upstreams over its own pool of HTTP/1.1
// connections. Unlike net/http's client, it can tell whether a call certainly did
// not reach the upstream, and whether an answer on a reused connection belongs to
// an earlier call.
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
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/sockopt"
)

// Error is the class of every error this package returns.
var Error = errs.Class("transport")

// ErrNotSent means that the call certainly did not reach the upstream.
var ErrNotSent = errs.New("call not sent")

// ErrWithheld means that the call was not sent because the upstream must get none
// now. Such an error also wraps ErrNotSent.
var ErrWithheld = errs.New("upstream must get no call now")

// Defaults and bounds of a Client.
const (
	// dialTimeout is well above the round-trip time between data centres.
	dialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not announce a timeout. It is shorter than the usual timeouts of
	// servers.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream
	// announces, to allow for inexact clocks and the network delay of the next
	// call.
	idleTimeoutMargin = 900 * time.Millisecond
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 16
	// maxInlineBodyBytes is the largest body that is written before reading the
	// answer begins. It fits into a socket's buffers, so the write can't block.
	maxInlineBodyBytes = 16 << 10
	// maxStaleAnswers is how many answers to earlier calls are discarded before the
	// connection is given up.
	maxStaleAnswers = 3
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel
	// closes the connection.
	tcpUserTimeout  = 5 * time.Second
	readBufferBytes = 4 << 10
)

// Call is one call to an upstream.
type Call struct {
	Addr netip.AddrPort
	// Upstream is the process that the call is meant for; its ID is empty if only
	// the address is known.
	Upstream instance.Process
	Method   string
	// Target is the escaped path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked sends the body with chunked transfer encoding, without its length.
	Chunked bool
	// Matches reports whether an answer belongs to this call. Answers to other
	// calls are discarded. If it is nil, the first answer is used.
	Matches func(*http.Response) bool
	// IdleTimeout returns the idle timeout that the upstream announces in an answer's
	// headers, or 0 if there is none.
	IdleTimeout func(http.Header) time.Duration
	// NewConnection opens a new connection for a call that must not be sent twice: the
	// upstream may close an idle connection just as the call is sent, and the
	// client can't tell whether the call has run.
	NewConnection bool
	// Admit, if not nil, decides before the call is connected, and again before it is
	// sent, whether it may be sent.
	Admit func() bool
	// TakesNoSlot means that the upstream serves the call beside its slots.
	TakesNoSlot bool
	// Connected, if not nil, is called before the call is sent. peer is the host that the
	// connection goes through, "" if it is direct.
	Connected func(peer string)
	// SentAt is set by the client to when it began to send the call.
	SentAt time.Time
}

// Client makes calls and pools connections. It is safe for concurrent use.
type Client struct {
	mu      sync.Mutex // guards idle and maxIdle
	idle    map[netip.AddrPort][]*conn
	maxIdle int
	dials   prometheus.Counter
	reuses  prometheus.Counter
	// dialFailures counts by cause, see dialFailureCause.
	dialFailures *prometheus.CounterVec
	// dial, onAnswer, admit and acquire are set before the first call.
	dial     Dial
	probe    Dial
	onAnswer func(*Call, *http.Response)
	admit    func(*Call) bool
	acquire  func(context.Context, *Call) (Grant, bool)
}

// Grant is the right to send one call.
type Grant interface {
	// Answered is called with the status and headers of the answer to the call.
	Answered(*http.Response)
	// End is called once the call has ended, whether it was sent or not.
	End()
}

// expiringGrant is a Grant that must be used within a time.
type expiringGrant interface{ HasExpired() bool }

// hasExpired reports whether a grant may no longer be used.
func hasExpired(g Grant) bool {
	expiring, expires := g.(expiringGrant)
	return expires && expiring.HasExpired()
}

// noGrant is the grant of a call that needs none.
type noGrant struct{}

func (noGrant) Answered(*http.Response) {}
func (noGrant) End()                    {}

// New returns a client. registerer may be nil.
func New(registerer prometheus.Registerer) *Client {
	c := &Client{
		idle:     make(map[netip.AddrPort][]*conn),
		maxIdle:  maxIdlePerUpstream,
		dial:     DialTCP,
		probe:    DialTCP,
		onAnswer: func(*Call, *http.Response) {},
		admit:    func(*Call) bool { return true },
		acquire:  func(context.Context, *Call) (Grant, bool) { return nil, true },
		dials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "seam_upstream_dials_total", Help: "Connections opened to upstreams.",
		}),
		reuses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "seam_upstream_reuses_total", Help: "Calls sent on a connection that was used before.",
		}),
		dialFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_upstream_dial_failures_total", Help: "Connections to upstreams that could not be opened, by cause.",
		}, []string{"cause"}),
	}
	if registerer != nil {
		registerer.MustRegister(c.dials, c.reuses, c.dialFailures)
	}
	return c
}

// Dial opens a connection to an upstream. It must return within the time that a sound
// upstream takes to accept a connection, or when ctx ends.
type Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// DialWith sets how connections for calls and for probes are opened, in place of DialTCP. It
// must be set before the first call.
func (c *Client) DialWith(dial, probe Dial) { c.dial, c.probe = dial, probe }

// OnAnswer sets the function that is called with the status and headers of each
// answer that arrives, also of those that are discarded, before Do returns. It
// must be set before the first call.
func (c *Client) OnAnswer(f func(*Call, *http.Response)) { c.onAnswer = f }

// Admit sets the function that decides before a call is connected, and again
// before it is sent, whether it may be sent. It must be set before the first call.
func (c *Client) Admit(f func(*Call) bool) { c.admit = f }

func (c *Client) admits(call *Call) bool { return c.admit(call) && (call.Admit == nil || call.Admit()) }

// Acquire sets the function that takes the right to send a call, before it is
// connected. It may wait for other hosts, and may return a nil Grant. It must be set before
// the first call.
func (c *Client) Acquire(f func(context.Context, *Call) (Grant, bool)) { c.acquire = f }

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	bounded   *boundedReader // under reader
	reader    *bufio.Reader
	expiresAt time.Time
	peer      string // host that the connection goes through, "" if it is direct
}

// throughPeer is a connection through another host.
type throughPeer interface{ Peer() string }

// peerOf returns the host that a connection goes through, "" if it is direct.
func peerOf(c net.Conn) string {
	if through, ok := c.(throughPeer); ok {
		return through.Peer()
	}
	return ""
}

// Answer is an answer whose body is read from the connection. The caller must
// close it.
type Answer struct {
	*http.Response
	client    *Client
	conn      *conn
	call      *Call
	grant     Grant
	stopWatch func() bool
	upload    *upload // of the request's body; nil if it was written before
	// bodyRead is true once the body has been read to its end.
	bodyRead  bool
	closeOnce sync.Once
}

// Do sends a call and returns its answer once the headers have arrived. The end of
// ctx closes the connection, also while the body is being read. An error that
// wraps ErrNotSent means that the call did not reach the upstream; after any other
// error it may have run.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	if !c.admits(call) {
		return nil, errs.Combine(ErrNotSent, ErrWithheld)
	}
	grant, granted := c.acquire(ctx, call)
	if !granted {
		return nil, errs.Combine(ErrNotSent, ErrWithheld)
	}
	if grant == nil {
		grant = noGrant{}
	}
	answer, err := c.doGranted(ctx, call, grant)
	if err != nil {
		grant.End()
		return nil, err
	}
	answer.grant = grant
	grant.Answered(answer.Response)
	return answer, nil
}

// doGranted makes a call that may be sent.
func (c *Client) doGranted(ctx context.Context, call *Call, grant Grant) (*Answer, error) {
	connection, err := c.connect(ctx, call)
	if err != nil {
		return nil, errs.Combine(ErrNotSent, Error.Wrap(err))
	}
	if !c.admits(call) || hasExpired(grant) {
		_ = connection.Close()
		return nil, errs.Combine(ErrNotSent, ErrWithheld)
	}
	if call.Connected != nil {
		call.Connected(connection.peer)
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	call.SentAt = time.Now()
	sent, err := connection.send(call)
	if err == nil {
		var response *http.Response
		if response, err = c.receive(connection, call); err == nil { //nolint:bodyclose // the caller closes the Answer
			a := &Answer{Response: response, client: c, conn: connection, call: call, stopWatch: stop, upload: sent}
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

// connect returns an idle connection or opens a new one.
func (c *Client) connect(ctx context.Context, call *Call) (*conn, error) {
	if !call.NewConnection {
		if idle := c.takeIdle(call.Addr); idle != nil {
			c.reuses.Inc()
			return idle, nil
		}
	}
	raw, err := c.open(ctx, call.Addr, c.dial)
	if err != nil {
		return nil, err
	}
	bounded := &boundedReader{reader: raw, left: -1}
	return &conn{Conn: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes), peer: peerOf(raw)}, nil
}

// open opens a connection to an upstream.
func (c *Client) open(ctx context.Context, addr netip.AddrPort, dial Dial) (net.Conn, error) {
	c.dials.Inc()
	raw, err := dial(ctx, addr)
	if err != nil {
		c.dialFailures.WithLabelValues(dialFailureCause(err)).Inc()
	}
	return raw, err
}

// DialTCP opens a TCP connection to an upstream.
func DialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: sockopt.UserTimeout(tcpUserTimeout)}
	return dialer.DialContext(ctx, "tcp4", addr.String())
}

// dialFailureCause returns why a connection could not be opened, as a metric's label.
func dialFailureCause(err error) string {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, context.Canceled):
		return "canceled"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "timeout"
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return "refused"
	}
	return "other"
}

// Probe opens a connection and closes it, to check whether the address accepts
// connections. It returns the host that the connection went through, "" if it was direct.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort) (peer string, err error) {
	raw, err := c.open(ctx, addr, c.probe)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return peerOf(raw), Error.Wrap(raw.Close())
}

// takeIdle removes and returns the most recently used idle connection that is
// still usable, or nil.
func (c *Client) takeIdle(addr netip.AddrPort) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		conns := c.idle[addr]
		if len(conns) == 0 {
			delete(c.idle, addr)
			c.mu.Unlock()
			return nil
		}
		last := conns[len(conns)-1]
		c.idle[addr] = conns[:len(conns)-1]
		c.mu.Unlock()
		if now.Before(last.expiresAt) && NothingReceived(last.Conn) {
			return last
		}
		_ = last.Close()
	}
}

// putIdle returns a connection to the pool, where it stays usable for idle.
func (c *Client) putIdle(addr netip.AddrPort, n *conn, idle time.Duration) {
	n.expiresAt = time.Now().Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.maxIdle {
		_ = n.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], n)
}

// LimitIdle sets how many idle connections are kept to one upstream. An upstream
// limits the connections of all hosts together, so each host gets a share.
func (c *Client) LimitIdle(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxIdle = min(max(n, 1), maxIdlePerUpstream)
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(addr netip.AddrPort) {
	c.mu.Lock()
	conns := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, k := range conns {
		_ = k.Close()
	}
}

// Sweep closes expired idle connections.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		valid := conns[:0]
		for _, k := range conns {
			if now.Before(k.expiresAt) {
				valid = append(valid, k)
			} else {
				_ = k.Close()
			}
		}
		if len(valid) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = valid
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.Sweep(time.Now().Add(24 * time.Hour)) }

// send writes the request. A long body is written in the background, since the
// answer may arrive before the whole body has been sent.
func (n *conn) send(call *Call) (*upload, error) {
	head := requestHead(call)
	if len(call.Body) <= maxInlineBodyBytes {
		_, err := n.Write(appendBody(head, call))
		return nil, err
	}
	if _, err := n.Write(head); err != nil {
		return nil, err
	}
	return startUpload(n, bodyParts(call)), nil
}

// receive reads answers until one belongs to the call. It skips informational
// (1xx) answers.
func (c *Client) receive(n *conn, call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	n.limitHead()
	for stale, informational := 0, 0; ; {
		response, err := n.readHead(request)
		if err != nil {
			return nil, err
		}
		c.onAnswer(call, response)
		if response.StatusCode < http.StatusOK {
			if informational++; informational > maxInformational {
				return nil, errs.New("over %d informational answers", maxInformational)
			}
			continue
		}
		n.unlimit()
		if call.Matches == nil || call.Matches(response) {
			return response, nil
		}
		if stale++; stale > maxStaleAnswers || response.Close {
			return nil, errs.New("the connection carries answers to other calls")
		}
		n.limitStaleBody()
		if err := discardBody(response); err != nil {
			return nil, err
		}
		n.limitHead()
	}
}

// readHead reads the status line and headers of one answer.
func (n *conn) readHead(request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(n.reader, request)
	switch {
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, shorten(err)
	case response.StatusCode < http.StatusContinue:
		return nil, errs.New("answer has status %q, below 100", response.Status)
	}
	return response, checkFields(response)
}

// body records when it has been read to its end.
type body struct {
	io.ReadCloser
	answer *Answer
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A reset is reported once, to whichever of reading and writing comes first. If the write
	// of the request fails, reading may end as after a whole answer.
	if b.answer.Unframed() && !b.answer.upload.finishedSoon() {
		return n, errUploadCut
	}
	b.answer.bodyRead = true
	return n, err
}

// Unframed reports whether the body has neither a length nor chunks, so that only the
// end of the connection ends it.
func (a *Answer) Unframed() bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0
}

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise. A connection through another host is not reused: what has arrived on it is not
// known before it is read.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		defer a.grant.End()
		ctxEnded := !a.stopWatch()
		if !ctxEnded && a.conn.peer == "" && a.bodyRead && !a.Response.Close && a.conn.reader.Buffered() == 0 && a.upload.finished() {
			a.client.putIdle(a.call.Addr, a.conn, a.idleTimeout())
			return
		}
		_ = a.conn.Close()
	})
}

// idleTimeout returns how long the connection may stay idle.
func (a *Answer) idleTimeout() time.Duration {
	if a.call.IdleTimeout != nil {
		if announced := a.call.IdleTimeout(a.Header); announced > 0 {
			return max(announced-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
