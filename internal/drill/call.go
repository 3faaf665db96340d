package drill

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/problem"
)

// outcome is what one host's reply says about a request.
type outcome uint8

const (
	// complete: the caller got a complete answer.
	complete outcome = iota
	// notRun: the host reported that nothing ran.
	notRun
	// ranFailed: the host reported that something ran, and gave no answer.
	ranFailed
	// unknown: the host reported that it does not know, or the reply broke off.
	unknown
	// unreached: there was no connection, so that the host received nothing.
	unreached
)

// answerFormat is the API and format in which an answer is requested.
type answerFormat uint8

const (
	formatJSON answerFormat = iota
	formatEvents
	formatChat
	formatChatStream
	formatService
)

// request is a request that a caller sends one or more times. Its mark is a unique
// text in the request, by which answers and the stand-ins' records are assigned
// to it.
type request struct {
	mark           string
	workspace      string
	path           string
	method         string
	body           string
	key            string
	id             string
	format         answerFormat
	crashesEngines bool
	// timeout is how long the caller waits for one reply.
	timeout time.Duration
}

// reply is the result of sending a request to one host.
type reply struct {
	outcome outcome
	host    *entryHost
	cause   string
	// defect describes what is wrong with an answer that has status 200; foreign
	// reports that it belongs to another request.
	defect  string
	foreign bool
	// cutByDrain reports that the connection broke while the host was draining.
	cutByDrain bool
}

// newCallerClient returns a client that opens a connection for each call: on a
// reused connection net/http may repeat a call by itself.
func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// send sends a request to one host and classifies the response.
func (f *fleet) send(ctx context.Context, h *entryHost, q *request) reply {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), h, q)
	if err != nil {
		return reply{outcome: unreached, host: h, cause: err.Error()}
	}
	resp, err := f.callers.Do(req)
	if err != nil {
		if !connected.Load() {
			return reply{outcome: unreached, host: h, cause: "no connection"}
		}
		return connectionErrorReply(ctx, h)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return connectionErrorReply(ctx, h)
	}
	return classifyResponse(h, q, resp, body)
}

func newHTTPRequest(ctx context.Context, h *entryHost, q *request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+h.http+q.path, strings.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer demo-key-"+q.workspace)
	if q.key != "" {
		req.Header.Set("Idempotency-Key", q.key)
	}
	if q.id != "" {
		req.Header.Set("X-Request-Id", q.id)
	}
	if q.format == formatEvents {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

// connectionErrorReply returns the reply for a connection that broke or timed out.
func connectionErrorReply(ctx context.Context, h *entryHost) reply {
	if ctx.Err() != nil {
		return reply{outcome: unknown, host: h, cause: "caller gave up"}
	}
	drained := h.draining.Load() && !h.killed.Load()
	return reply{outcome: unknown, host: h, cause: "connection broke", cutByDrain: drained}
}

// classifyResponse classifies a response whose body arrived completely.
func classifyResponse(h *entryHost, q *request, resp *http.Response, body []byte) reply {
	if resp.Header.Get("Content-Type") == problem.MediaType {
		return classifyProblem(h, body)
	}
	if resp.StatusCode != http.StatusOK {
		return reply{outcome: ranFailed, host: h, cause: resp.Status}
	}
	check := checkers[q.format]
	return check(h, q, body)
}

// classifyProblem classifies a problem document by what it says about running.
func classifyProblem(h *entryHost, body []byte) reply {
	var p problem.Problem
	if err := json.Unmarshal(bytes.TrimSpace(body), &p); err != nil {
		return reply{outcome: unknown, host: h, cause: "problem without JSON", defect: string(body)}
	}
	switch p.Ran {
	case problem.No:
		return reply{outcome: notRun, host: h, cause: p.Cause}
	case problem.Yes:
		return reply{outcome: ranFailed, host: h, cause: p.Cause}
	case problem.Unknown:
		return reply{outcome: unknown, host: h, cause: p.Cause}
	}
	return reply{outcome: unknown, host: h, cause: p.Cause, defect: "problem that does not say whether it ran"}
}
