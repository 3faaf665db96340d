// Package client is an HTTP client of a host's operators' interface.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/operator"
	"github.com/galenaseam/galenaseam/problem"
)

// Error is the class of every error this package returns, except
// *problem.Problem, which is an error answer of the host.
var Error = errs.Class("operator client")

// ErrUnreachable means that no answer, or no complete one, came from the host.
// The host may or may not have executed the call.
var ErrUnreachable = errs.New("host not reached")

// maxAnswerBytes is the maximum size of an answer. A longer one is truncated.
const maxAnswerBytes = 256 << 20

// Config selects the host to call and the credentials to send.
type Config struct {
	// BaseURL is the base URL of the host's operators' interface, for example
	// http://127.0.0.1:9090.
	BaseURL string
	// Token is the operators' token; none is sent if it is empty.
	Token string
	// OperatorKey is the team's operator key, which changes of the document need.
	OperatorKey string
	// Timeout bounds one call; zero means no limit.
	Timeout time.Duration
}

// Client calls one host. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a Client for the host at cfg.BaseURL.
func New(cfg Config) *Client {
	cfg.BaseURL = strings.TrimRight(cfg.BaseURL, "/")
	return &Client{cfg: cfg, http: &http.Client{Timeout: cfg.Timeout}}
}

// Get requests a view and decodes the answer into out. The error is a
// *problem.Problem or one of the class Error, which wraps ErrUnreachable if no
// answer came.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Post sends in as JSON and decodes the answer into out. It returns the same
// errors as Get.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.call(ctx, http.MethodPost, path, body, out)
}

// call sends one request and decodes a successful answer into out.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	c.setHeaders(req)
	resp, err := c.http.Do(req)
	if err != nil {
		return Error.Wrap(errs.Combine(ErrUnreachable, err))
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Error.Wrap(errs.Combine(ErrUnreachable, err))
	}
	if resp.StatusCode != http.StatusOK {
		return errorFromResponse(resp, answer)
	}
	return Error.Wrap(json.Unmarshal(answer, out))
}

// setHeaders sets the content type and the credentials.
func (c *Client) setHeaders(req *http.Request) {
	req.Header.Set("Content-Type", "application/json")
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	if c.cfg.OperatorKey != "" {
		req.Header.Set(operator.HeaderOperatorKey, c.cfg.OperatorKey)
	}
}

// errorFromResponse returns the error for an answer with a status other than
// 200: the *problem.Problem in its body, or else an error with the status and
// the body.
func errorFromResponse(resp *http.Response, answer []byte) error {
	p := &problem.Problem{}
	if err := json.Unmarshal(answer, p); err != nil || p.Cause == "" {
		return Error.New("status %d: %s", resp.StatusCode, answer)
	}
	return p
}

// Status returns the state of the called host.
func (c *Client) Status(ctx context.Context) (out operator.Status, err error) {
	err = c.Get(ctx, "/v1/status", &out)
	return out, err
}

// Hosts returns the hosts of the fleet as the called host sees them.
func (c *Client) Hosts(ctx context.Context) (out []operator.HostRow, err error) {
	err = c.Get(ctx, "/v1/hosts", &out)
	return out, err
}

// Upstreams returns the upstreams as the called host sees them.
func (c *Client) Upstreams(ctx context.Context) (out []operator.UpstreamRow, err error) {
	err = c.Get(ctx, "/v1/upstreams", &out)
	return out, err
}

// Pipelines returns the pipelines of the document in force.
func (c *Client) Pipelines(ctx context.Context) (out []operator.PipelineRow, err error) {
	err = c.Get(ctx, "/v1/pipelines", &out)
	return out, err
}

// Workspaces returns the workspaces of the document in force.
func (c *Client) Workspaces(ctx context.Context) (out []operator.WorkspaceRow, err error) {
	err = c.Get(ctx, "/v1/workspaces", &out)
	return out, err
}

// Config returns the document in force.
func (c *Client) Config(ctx context.Context) (out operator.ConfigText, err error) {
	err = c.Get(ctx, "/v1/config", &out)
	return out, err
}

// History returns the newest n accepted generations, newest first.
func (c *Client) History(ctx context.Context, n int) (out []operator.HistoryRow, err error) {
	query := url.Values{"n": {strconv.Itoa(n)}}
	err = c.Get(ctx, "/v1/config/history?"+query.Encode(), &out)
	return out, err
}

// Apply requests a change of sections. It can be repeated safely with the same
// operation ID.
func (c *Client) Apply(ctx context.Context, r operator.ApplyRequest) (out operator.ApplyResponse, err error) {
	err = c.Post(ctx, "/v1/config", r, &out)
	return out, err
}

// Rollback requests that an earlier generation's sections be accepted as a new
// generation.
func (c *Client) Rollback(ctx context.Context, r operator.RollbackRequest) (out operator.ApplyResponse, err error) {
	err = c.Post(ctx, "/v1/config/rollback", r, &out)
	return out, err
}

// Create sends the first document to an empty store.
func (c *Client) Create(ctx context.Context, r operator.CreateRequest) (out operator.ApplyResponse, err error) {
	err = c.Post(ctx, "/v1/config/create", r, &out)
	return out, err
}

// Restore requests that the generation in force on the host be written back into
// a store that has fallen behind.
func (c *Client) Restore(ctx context.Context) (out operator.ApplyResponse, err error) {
	err = c.Post(ctx, "/v1/config/restore", struct{}{}, &out)
	return out, err
}

// Drain starts the host's graceful shutdown.
func (c *Client) Drain(ctx context.Context) (out operator.Status, err error) {
	err = c.Post(ctx, "/v1/drain", struct{}{}, &out)
	return out, err
}
