// Package weights reads from the platform's weight store, which is HTTP and
// limits its rate.
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

// BusyError says that the store is at its limit and when to come back.
type BusyError struct {
	// RetryAfter is zero when the store did not say.
	RetryAfter time.Duration
}

// Error makes a BusyError an error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("weight store busy, retry after %s", e.RetryAfter)
}

// Config is the settings of a client.
type Config struct {
	// URL is the base address of the store.
	URL string
	// HTTPClient makes the calls; nil means one of the client's own.
	HTTPClient *http.Client
}

// Client reads weights. It is safe for concurrent use.
type Client struct{ cfg Config }

// New returns a client. It makes no call.
func New(cfg Config) (*Client, error) {
	if cfg.URL == "" {
		return nil, Error.New("no URL")
	}
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = &http.Client{Transport: &http.Transport{}}
	}
	return &Client{cfg: cfg}, nil
}

// Close drops the idle connections.
func (c *Client) Close() { c.cfg.HTTPClient.CloseIdleConnections() }

// Size returns the bytes of a model's weights without reading them.
func (c *Client) Size(ctx context.Context, model, version string) (int64, error) {
	resp, err := c.do(ctx, http.MethodHead, model, version)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.ContentLength, nil
}

// Fetch opens a model's weights. The error is a *BusyError when the store is at
// its limit. The caller closes the reader.
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
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // absent: zero
		return nil, Error.Wrap(&BusyError{RetryAfter: time.Duration(seconds) * time.Second})
	}
	return nil, Error.New("weight store answered %s", resp.Status)
}
