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

// maxResponseBytes limits the size of a response. It has room for the largest
// value in base64.
const maxResponseBytes = 4 << 20

// callKind says whether a failed call may have changed the store.
type callKind bool

const (
	readCall  callKind = false // a failed call has no effect
	writeCall callKind = true  // a failed call may have taken effect
)

// lostResponse returns the error for a call that was sent and whose outcome is
// unknown, because its response was lost or is unusable.
func (k callKind) lostResponse(cause error) error {
	if k == writeCall {
		return wrap(infra.ErrUncertain, cause)
	}
	return wrap(infra.ErrUnavailable, cause)
}

// wrap returns an error that matches both sentinel and cause.
func wrap(sentinel, cause error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", sentinel, cause))
}

// call makes one call and decodes its response. It tries each endpoint at most
// once, and goes on to the next one only if the call certainly had no effect.
func (c *Client) call(ctx context.Context, path string, kind callKind, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	for range c.cfg.Endpoints {
		endpoint := c.currentEndpoint()
		err = c.callEndpoint(ctx, endpoint, path, kind, body, out)
		if !errors.Is(err, infra.ErrUnavailable) {
			return err
		}
		c.skipEndpoint(endpoint)
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

// callEndpoint makes one call to one endpoint.
func (c *Client) callEndpoint(ctx context.Context, endpoint, path string, kind callKind, body []byte, out any) error {
	resp, err := c.post(ctx, endpoint, path, kind, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return kind.lostResponse(err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.Status, data, kind)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return kind.lostResponse(err)
	}
	return nil
}

// post sends a call and returns the response with its body unread. A call that
// never got a connection certainly had no effect.
func (c *Client) post(ctx context.Context, endpoint, path string, kind callKind, body []byte) (*http.Response, error) {
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
	return nil, kind.lostResponse(err)
}

// Parts of the service's error messages that show whether a call had an effect.
const (
	textLeaseNotFound   = "requested lease not found"
	textTooLarge        = "request is too large"
	textNoLeader        = "no leader"
	textTooManyRequests = "too many requests"
)

// codeInvalidArgument is the gRPC status code for a malformed call.
const codeInvalidArgument = 3

// statusError returns the error for a response whose status is not 200.
func statusError(status string, data []byte, kind callKind) error {
	var body gatewayError
	_ = json.Unmarshal(data, &body) // a proxy may have sent the response, without JSON
	cause := Error.New("%s: %s", status, body.message())
	switch text := body.message(); {
	case strings.Contains(text, textLeaseNotFound):
		return wrap(infra.ErrLeaseGone, cause)
	case strings.Contains(text, textTooLarge):
		return wrap(infra.ErrTooLarge, cause)
	case strings.Contains(text, textNoLeader), strings.Contains(text, textTooManyRequests):
		return wrap(infra.ErrUnavailable, cause)
	case body.Code == codeInvalidArgument:
		return wrap(infra.ErrUnavailable, cause)
	}
	return kind.lostResponse(cause)
}
