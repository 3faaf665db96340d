// Package client calls the operators' interface of a host.
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

// Error is the class of every error this package returns, but for
// *problem.Problem, which is the host's own answer.
var Error = errs.Class("operator client")

// ErrUnreachable says that the host gave no answer. Whether it acted on the
// call is open.
var ErrUnreachable = errs.New("host not reached")

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 256 << 20

// Config says which host to call and how.
type Config struct {
	// Base is the operators' address of a host, such as http://127.0.0.1:9090.
	Base string
	// Token is the operators' token; empty sends none.
	Token string
	// Key is the team's key, needed to change the document.
	Key     string
	Timeout time.Duration
}

// Client calls one host. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// New makes a Client.
func New(cfg Config) *Client {
	cfg.Base = strings.TrimRight(cfg.Base, "/")
	return &Client{cfg: cfg, http: &http.Client{Timeout: cfg.Timeout}}
}

// Get reads one view into out. The error is a *problem.Problem, ErrUnreachable
// or one of the class Error.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// Post sends in and reads the answer into out. Errors are those of Get.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return Error.Wrap(err)
	}
	return c.call(ctx, http.MethodPost, path, body, out)
}

// call makes one call.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.Base+path, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	c.header(req)
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
		return refusal(resp, answer)
	}
	return Error.Wrap(json.Unmarshal(answer, out))
}

// header sets who calls.
func (c *Client) header(req *http.Request) {
	req.Header.Set("Content-Type", "application/json")
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	if c.cfg.Key != "" {
		req.Header.Set(operator.HeaderOperatorKey, c.cfg.Key)
	}
}

// refusal turns an answer that is not a success into an error.
func refusal(resp *http.Response, answer []byte) error {
	p := &problem.Problem{}
	if err := json.Unmarshal(answer, p); err != nil || p.Cause == "" {
		return Error.New("status %d: %s", resp.StatusCode, answer)
	}
	return p
}

// Status reads the host's own state.
func (c *Client) Status(ctx context.Context) (out operator.Status, err error) {
	err = c.Get(ctx, "/v1/status", &out)
	return out, err
}

// Hosts reads the fleet as the host sees it.
func (c *Client) Hosts(ctx context.Context) (out []operator.HostRow, err error) {
	err = c.Get(ctx, "/v1/hosts", &out)
	return out, err
}

// Upstreams reads the upstreams as the host sees them.
func (c *Client) Upstreams(ctx context.Context) (out []operator.UpstreamRow, err error) {
	err = c.Get(ctx, "/v1/upstreams", &out)
	return out, err
}

// Pipelines reads the pipelines in force.
func (c *Client) Pipelines(ctx context.Context) (out []operator.PipelineRow, err error) {
	err = c.Get(ctx, "/v1/pipelines", &out)
	return out, err
}

// Workspaces reads the workspaces in force.
func (c *Client) Workspaces(ctx context.Context) (out []operator.WorkspaceRow, err error) {
	err = c.Get(ctx, "/v1/workspaces", &out)
	return out, err
}

// Config reads the document in force.
func (c *Client) Config(ctx context.Context) (out operator.ConfigText, err error) {
	err = c.Get(ctx, "/v1/config", &out)
	return out, err
}

// History reads the newest n accepted generations.
func (c *Client) History(ctx context.Context, n int) (out []operator.HistoryRow, err error) {
	query := url.Values{"n": {strconv.Itoa(n)}}
	err = c.Get(ctx, "/v1/config/history?"+query.Encode(), &out)
	return out, err
}

// Apply asks to accept a change. Repeating it with the same operation ID is
// safe.
func (c *Client) Apply(ctx context.Context, r operator.ApplyRequest) (out operator.ApplyAnswer, err error) {
	err = c.Post(ctx, "/v1/config", r, &out)
	return out, err
}

// Rollback asks to accept an earlier generation as a new one.
func (c *Client) Rollback(ctx context.Context, r operator.RollbackRequest) (out operator.ApplyAnswer, err error) {
	err = c.Post(ctx, "/v1/config/rollback", r, &out)
	return out, err
}

// Create asks to accept the first document of an empty store.
func (c *Client) Create(ctx context.Context, r operator.CreateRequest) (out operator.ApplyAnswer, err error) {
	err = c.Post(ctx, "/v1/config/create", r, &out)
	return out, err
}

// Restore asks to put what hosts serve back into a store that fell behind.
func (c *Client) Restore(ctx context.Context) (out operator.ApplyAnswer, err error) {
	err = c.Post(ctx, "/v1/config/restore", struct{}{}, &out)
	return out, err
}

// Drain starts the host's graceful shutdown.
func (c *Client) Drain(ctx context.Context) (out operator.Status, err error) {
	err = c.Post(ctx, "/v1/drain", struct{}{}, &out)
	return out, err
}
