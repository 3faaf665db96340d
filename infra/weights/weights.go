// Package weights reads from the platform's weight store over HTTP. The store
// refuses requests beyond its load limit with status 429.
package weights

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("weights")

// BusyError means that the store refused the request because it has reached
// its limit.
type BusyError struct {
	// RetryAfter is how long to wait before the next attempt. It is zero if the
	// store sent no Retry-After header with a number of seconds.
	RetryAfter time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("weight store busy, retry after %s", e.RetryAfter)
}

// Config contains the settings of a Client.
type Config struct {
	// URL is the base URL of the store.
	URL string
	// HTTPClient makes the calls; if nil, the Client creates its own.
	HTTPClient *http.Client
}

// Client reads weights. It is safe for concurrent use.
type Client struct{ cfg Config }

// New returns a client. It makes no calls.
func New(cfg Config) (*Client, error) {
	if cfg.URL == "" {
		return nil, Error.New("no URL")
	}
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = &http.Client{Transport: &http.Transport{}}
	}
	return &Client{cfg: cfg}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.cfg.HTTPClient.CloseIdleConnections() }

// Size returns the size of a model's weights in bytes without downloading them.
func (c *Client) Size(ctx context.Context, model, version string) (int64, error) {
	resp, err := c.do(ctx, http.MethodHead, model, version)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.ContentLength, nil
}

// Fetch starts the download of a model's weights. If the store has reached its
// limit, the error wraps a *BusyError. The caller must close the reader.
func (c *Client) Fetch(ctx context.Context, model, version string) (io.ReadCloser, error) {
	resp, err := c.do(ctx, http.MethodGet, model, version)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

func (c *Client) do(ctx context.Context, method, model, version string) (*http.Response, error) {
	address, err := url.JoinPath(c.cfg.URL, "weights", url.PathEscape(model), url.PathEscape(version))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := c.cfg.HTTPClient.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if the header is absent or not a number
		return nil, Error.Wrap(&BusyError{RetryAfter: time.Duration(seconds) * time.Second})
	}
	return nil, Error.New("weight store answered %s", resp.Status)
}
