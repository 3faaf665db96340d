// Package attempt makes one call to one upstream over HTTP and checks that the
// answer is complete and belongs to the call. It never repeats a call: its callers
// decide on retries and hedges.
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

// Failed is the error of a failed attempt, with what the caller needs to decide
// on a retry.
type Failed struct {
	Failure dispatch.Failure
	// Evidence is what the failure shows about whether the upstream is alive.
	Evidence upstream.Evidence
	// Status is the HTTP status of the answer, zero if there was none.
	Status int
	Cause  error
}

// Error returns the text of the cause with the package's prefix.
func (f *Failed) Error() string { return "attempt: " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failed) Unwrap() error { return f.Cause }

// NothingRan reports whether the failure proves that the upstream did not run
// the call.
func (f *Failed) NothingRan() bool {
	return f.Failure == dispatch.NotSent || f.Failure == dispatch.RefusedByUpstream
}

// Config sets the limits of a Client.
type Config struct {
	// DialTimeout bounds connecting to an upstream.
	DialTimeout time.Duration
	// MaxAnswerBytes bounds the body of an answer that is not streamed.
	MaxAnswerBytes int64
	// MaxIdlePerUpstream is the maximum number of idle connections per upstream.
	MaxIdlePerUpstream int
	// StallTimeout is the time between two lines of a stream, once its first text
	// has arrived, after which the stream counts as stalled.
	StallTimeout time.Duration
	// Reporter receives the state and load that answers report; may be nil.
	Reporter UpstreamReporter
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
	reporter       UpstreamReporter
	// pooled reuses connections; it is for idempotent calls.
	pooled *http.Transport
	// singleUse opens a new connection for each call, for calls that may run
	// only once. A reused connection can break during the call and leave the
	// outcome unknown, and net/http itself resends a call with an
	// Idempotency-Key when a reused connection breaks.
	singleUse *http.Transport
	// wrongAnswers counts answers that did not belong to their call.
	wrongAnswers atomic.Int64
}

// New returns a Client. Zero fields of cfg take their defaults.
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
		reporter:       cfg.Reporter,
		pooled:         newTransport(cfg, false),
		singleUse:      newTransport(cfg, true),
	}
}

// newTransport returns a transport that connects to upstreams directly and
// ignores proxies set in the environment.
func newTransport(cfg Config, singleUse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		DisableKeepAlives:     singleUse,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   cfg.MaxIdlePerUpstream,
		IdleConnTimeout:       idleTimeout,
		ExpectContinueTimeout: time.Second,
	}
}

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 60 * time.Second

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// WrongAnswers returns how many answers were discarded because they did not
// belong to their call.
func (c *Client) WrongAnswers() int64 { return c.wrongAnswers.Load() }

// Call is one call to one upstream.
type Call struct {
	Identity Identity
	Upstream upstream.Upstream
	Method   string
	// Path is the path with the query, already escaped.
	Path   string
	Header http.Header
	Body   []byte
	// Once marks a call that must not run twice.
	Once bool
	// NoEcho is set when the upstream does not repeat the identity headers in
	// its answers, so that they can't be checked.
	NoEcho bool
	// Deadline is when the answer stops being useful; the upstream is sent the
	// remaining time. Zero sends none.
	Deadline time.Time
	// ReserveReplacement is asked for a replacement of a stream that stalls. The
	// stream ends only if it returns true, and goes on otherwise. cancel gives the
	// replacement back, which happens when the stream went on meanwhile. If the
	// function is nil, a stream that stalls ends.
	ReserveReplacement func(ctx context.Context) (cancel func(), reserved bool)
}

// Answer is a complete answer that belongs to its call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes the call and reads the complete answer. The error is a *Failed.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	resp, sent, err := c.send(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswerBytes+1))
	if err == nil && isUnframed(resp) && !sent.wholeSoon() {
		err = errRequestCut
	}
	if err != nil {
		return Answer{}, failureAfterSend(ctx, err)
	}
	if int64(len(body)) > c.maxAnswerBytes {
		return Answer{}, &Failed{Failure: dispatch.WrongAnswer, Cause: Error.New("answer body is over %d bytes", c.maxAnswerBytes)}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// errRequestCut ends an answer without a length whose upstream closed the connection before
// the whole request was written. A reset is reported once, and if that is to the write, reading
// ends as after a whole answer.
var errRequestCut = errs.New("connection closed before the whole request was written")

// isUnframed reports whether only the end of the connection ends an answer's body.
func isUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// requestEndWait is how long the end of such an answer waits for the end of its request: what the
// upstream has read was written a moment before.
const requestEndWait = 100 * time.Millisecond

// progress is how far the sending of a call has come.
type progress struct {
	connected atomic.Bool
	written   chan bool // receives whether writing the request succeeded
}

func newProgress() *progress { return &progress{written: make(chan bool, 1)} }

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
		WroteRequest: func(w httptrace.WroteRequestInfo) {
			select {
			case <-p.written: // net/http sends the request again on another connection
			default:
			}
			p.written <- w.Err == nil
		},
	}
}

// wholeSoon reports whether the whole request has been written, or is about to be.
func (p *progress) wholeSoon() bool {
	select {
	case whole := <-p.written:
		return whole
	case <-time.After(requestEndWait):
		return false
	}
}

// send makes the call and returns the answer with its headers checked and its
// body unread. The error is a *Failed.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, *progress, error) {
	sent := newProgress()
	req, err := newRequest(httptrace.WithClientTrace(ctx, sent.trace()), call)
	if err != nil {
		return nil, nil, &Failed{Failure: dispatch.InvalidRequest, Cause: Error.Wrap(err)}
	}
	transport := c.pooled
	if call.Once {
		transport = c.singleUse
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, nil, classifySendError(ctx, err, sent.connected.Load())
	}
	failed := c.checkHeaders(call, resp)
	if failed == nil || failed.Failure != dispatch.WrongAnswer {
		c.reportState(call.Upstream.ID, resp.Header, time.Now())
	}
	if failed != nil {
		_ = resp.Body.Close()
		return nil, nil, failed
	}
	return resp, sent, nil
}

// newRequest builds the HTTP request for a call.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Upstream.Addr.String() + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, strings.NewReader(string(call.Body)))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	call.Identity.setHeaders(req.Header)
	if !call.Deadline.IsZero() {
		left := time.Until(call.Deadline).Milliseconds()
		req.Header.Set(HeaderDeadline, strconv.FormatInt(max(left, 0), 10))
	}
	return req, nil
}

// checkHeaders returns a failure if the answer belongs to another call or says
// that the upstream did not run this one. The status is left to the caller.
func (c *Client) checkHeaders(call Call, resp *http.Response) *Failed {
	if resp.StatusCode < http.StatusContinue {
		return &Failed{Failure: dispatch.WrongAnswer, Cause: Error.New("answer has status %q, below 100", resp.Status)}
	}
	if !call.NoEcho && !call.Identity.matches(resp.Header) {
		c.wrongAnswers.Add(1)
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

// classifySendError converts an error of RoundTrip into a Failed. Only a call
// that never got a connection is certain not to have run.
func classifySendError(ctx context.Context, err error, connected bool) *Failed {
	if !connected {
		evidence := upstream.EvidenceFromError(err)
		if ctx.Err() != nil {
			evidence = upstream.Answered
		}
		return &Failed{Failure: dispatch.NotSent, Evidence: evidence, Cause: Error.Wrap(err)}
	}
	return failureAfterSend(ctx, err)
}

// failureAfterSend converts an error after the call got a connection into a
// Failed.
func failureAfterSend(ctx context.Context, err error) *Failed {
	var failed *Failed
	switch {
	case errors.As(err, &failed):
		return failed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failed{Failure: dispatch.TimedOut, Evidence: upstream.ConnectionLost, Cause: Error.Wrap(err)}
	case ctx.Err() != nil:
		return &Failed{Failure: dispatch.Cancelled, Evidence: upstream.Answered, Cause: Error.Wrap(err)}
	default:
		return &Failed{Failure: dispatch.ConnectionLost, Evidence: upstream.ConnectionLost, Cause: Error.Wrap(err)}
	}
}
