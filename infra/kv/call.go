package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/galenaseam/galenaseam/infra"
)

// maxAnswerBytes bounds an answer: the largest value in base64 and some room.
const maxAnswerBytes = 4 << 20

// effect says what a failed call may have done.
type effect bool

const (
	noEffect  effect = false // a read
	mayEffect effect = true  // a write
)

// failure returns the error for a call whose answer was lost.
func (e effect) failure(cause error) error {
	if e == mayEffect {
		return wrap(infra.ErrUncertain, cause)
	}
	return wrap(infra.ErrUnavailable, cause)
}

// wrap returns an error that is of a kind and tells its cause.
func wrap(kind, cause error) error { return Error.Wrap(fmt.Errorf("%w: %w", kind, cause)) }

// call makes one call and decodes its answer. It goes on to the next endpoint
// while the call surely had no effect.
func (c *Client) call(ctx context.Context, path string, eff effect, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	for range c.cfg.Endpoints {
		endpoint := c.endpoint()
		err = c.try(ctx, endpoint, path, eff, body, out)
		if !errors.Is(err, infra.ErrUnavailable) {
			return err
		}
		c.avoid(endpoint)
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

// try makes one call to one endpoint.
func (c *Client) try(ctx context.Context, endpoint, path string, eff effect, body []byte, out any) error {
	resp, err := c.post(ctx, endpoint, path, eff, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return eff.failure(err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.Status, data, eff)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eff.failure(err)
	}
	return nil
}

// post sends a call and returns the head of its answer. A call that never had
// a connection surely had no effect.
func (c *Client) post(ctx context.Context, endpoint, path string, eff effect, body []byte) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	traced := httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(traced, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, wrap(infra.ErrUnavailable, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	if !connected {
		return nil, wrap(infra.ErrUnavailable, err)
	}
	return nil, eff.failure(err)
}

// The messages of the service that settle what a call did.
const (
	textLeaseNotFound   = "requested lease not found"
	textTooLarge        = "request is too large"
	textNoLeader        = "no leader"
	textTooManyRequests = "too many requests"
)

// codeInvalidArgument is the gRPC code of a call that was malformed.
const codeInvalidArgument = 3

// statusError turns an answer that is not 200 into an error.
func statusError(status string, data []byte, eff effect) error {
	var body gatewayError
	_ = json.Unmarshal(data, &body) // a proxy in between may answer without JSON
	cause := Error.New("%s: %s", status, body.text())
	switch text := body.text(); {
	case strings.Contains(text, textLeaseNotFound):
		return wrap(infra.ErrLeaseGone, cause)
	case strings.Contains(text, textTooLarge):
		return wrap(infra.ErrTooLarge, cause)
	case strings.Contains(text, textNoLeader), strings.Contains(text, textTooManyRequests):
		return wrap(infra.ErrUnavailable, cause)
	case body.Code == codeInvalidArgument:
		return wrap(infra.ErrUnavailable, cause)
	}
	return eff.failure(cause)
}
