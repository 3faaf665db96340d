// Package attempt makes one call to one upstream over HTTP and checks that the
// answer is whole and belongs to the call. It never repeats a call: retries and
// hedges are decided above it.
package attempt

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/upstream"
)

// Error is the class of every error this package returns.
var Error = errs.Class("attempt")

// Failed tells how an attempt failed, for the decision on what comes next.
type Failed struct {
	Failure dispatch.Failure
	// Evidence is what the failure tells about the upstream's life.
	Evidence upstream.Evidence
	// Status is the upstream's HTTP status, zero when it gave none.
	Status int
	Cause  error
}

// Error makes Failed an error.
func (f *Failed) Error() string { return "attempt: " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failed) Unwrap() error { return f.Cause }

// NothingRan says whether the failure proves that the upstream did not run
// the call.
func (f *Failed) NothingRan() bool {
	return f.Failure == dispatch.NotSent || f.Failure == dispatch.RefusedByUpstream
}

// Config sets the limits of a Client.
type Config struct {
	// DialTimeout bounds connecting to an upstream.
	DialTimeout time.Duration
	// MaxAnswerBytes bounds an answer that is read whole.
	MaxAnswerBytes int64
	// MaxIdlePerUpstream bounds the idle connections kept to one upstream.
	MaxIdlePerUpstream int
	// StallTimeout bounds the silence within a stream once it has begun.
	StallTimeout time.Duration
	// Listener hears what answers say of their upstreams; nil for nobody.
	Listener Listener
}

// The defaults of Config.
const (
	DefaultDialTimeout        = 500 * time.Millisecond
	DefaultMaxAnswerBytes     = 16 << 20
	DefaultMaxIdlePerUpstream = 32
	DefaultStallTimeout       = time.Second
)

// Client makes calls to upstreams. It is safe for concurrent use.
type Client struct {
	maxAnswerBytes int64
	stallTimeout   time.Duration
	listener       Listener
	// pooled reuses connections, for idempotent calls.
	pooled *http.Transport
	// fresh opens a connection for each call and never repeats one. Calls that
	// may run only once use it: a reused connection can break under the call
	// with the outcome unknown, and net/http itself repeats a call that has an
	// Idempotency-Key when a reused connection breaks.
	fresh *http.Transport
	// stale counts answers that did not belong to their call.
	stale atomic.Int64
}

// New makes a Client. Zero fields of cfg take their defaults.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if cfg.MaxIdlePerUpstream == 0 {
		cfg.MaxIdlePerUpstream = DefaultMaxIdlePerUpstream
	}
	if cfg.StallTimeout == 0 {
		cfg.StallTimeout = DefaultStallTimeout
	}
	return &Client{
		maxAnswerBytes: cfg.MaxAnswerBytes,
		stallTimeout:   cfg.StallTimeout,
		listener:       cfg.Listener,
		pooled:         newTransport(cfg, false),
		fresh:          newTransport(cfg, true),
	}
}

// newTransport makes a transport that talks to upstreams directly, whatever
// proxy the environment names.
func newTransport(cfg Config, fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		DisableKeepAlives:     fresh,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   cfg.MaxIdlePerUpstream,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: time.Second,
	}
}

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 60 * time.Second

// Close drops the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// WrongAnswers returns how many answers were discarded because they did not
// belong to their call.
func (c *Client) WrongAnswers() int64 { return c.stale.Load() }

// Call is one call to one upstream.
type Call struct {
	Identity Identity
	Upstream upstream.Upstream
	Method   string
	// Path is the path and query, already escaped.
	Path   string
	Header http.Header
	Body   []byte
	// Once says that the call must not run twice.
	Once bool
	// NoEcho says that the upstream does not repeat the identity headers.
	NoEcho bool
	// Deadline tells the upstream how long its answer is of use.
	Deadline time.Time
}

// Answer is a whole, checked answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes the call and reads the whole answer. The error is a *Failed.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	resp, err := c.send(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswerBytes+1))
	if err != nil {
		return Answer{}, broken(ctx, err)
	}
	if int64(len(body)) > c.maxAnswerBytes {
		return Answer{}, &Failed{Failure: dispatch.WrongAnswer, Cause: Error.New("answer over %d bytes", c.maxAnswerBytes)}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// send makes the call and returns the answer with its headers checked and its
// body unread. The error is a *Failed.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, &Failed{Failure: dispatch.CallerFault, Cause: Error.Wrap(err)}
	}
	transport := c.pooled
	if call.Once {
		transport = c.fresh
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, classify(ctx, err, connected.Load())
	}
	failed := c.check(call, resp)
	if failed == nil || failed.Failure != dispatch.WrongAnswer {
		c.hear(call.Upstream.ID, resp.Header, time.Now())
	}
	if failed != nil {
		_ = resp.Body.Close()
		return nil, failed
	}
	return resp, nil
}

// newRequest builds the HTTP form of a call.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Upstream.Addr.String() + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, strings.NewReader(string(call.Body)))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	call.Identity.setOn(req.Header)
	if !call.Deadline.IsZero() {
		left := time.Until(call.Deadline).Milliseconds()
		req.Header.Set(HeaderDeadline, strconv.FormatInt(max(left, 0), 10))
	}
	return req, nil
}

// check looks at an answer's headers. A refusal and a foreign answer are
// failures; any other status is left to the caller.
func (c *Client) check(call Call, resp *http.Response) *Failed {
	if !call.NoEcho && !call.Identity.matches(resp.Header) {
		c.stale.Add(1)
		return &Failed{Failure: dispatch.WrongAnswer, Status: resp.StatusCode, Cause: Error.New("answer belongs to another call")}
	}
	if resp.Header.Get(HeaderRan) != "no" {
		return nil
	}
	return &Failed{
		Failure:  dispatch.RefusedByUpstream,
		Evidence: upstream.EvidenceFromHeader(resp.Header),
		Status:   resp.StatusCode,
		Cause:    Error.New("upstream refused with status %d", resp.StatusCode),
	}
}

// classify turns an error of sending into a Failed. Only a call that never had
// a connection is sure not to have run.
func classify(ctx context.Context, err error, connected bool) *Failed {
	if !connected {
		evidence := upstream.EvidenceFromError(err)
		if ctx.Err() != nil {
			evidence = upstream.Answered
		}
		return &Failed{Failure: dispatch.NotSent, Evidence: evidence, Cause: Error.Wrap(err)}
	}
	return broken(ctx, err)
}

// broken turns an error after sending into a Failed.
func broken(ctx context.Context, err error) *Failed {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failed{Failure: dispatch.TimedOut, Evidence: upstream.ConnectionLost, Cause: Error.Wrap(err)}
	case ctx.Err() != nil:
		return &Failed{Failure: dispatch.Cancelled, Evidence: upstream.Answered, Cause: Error.Wrap(err)}
	default:
		return &Failed{Failure: dispatch.BrokenOff, Evidence: upstream.ConnectionLost, Cause: Error.Wrap(err)}
	}
}
