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

// outcome is what a caller heard from one host about one request.
type outcome uint8

const (
	// whole: the whole answer came.
	whole outcome = iota
	// notRun: the host said that nothing ran.
	notRun
	// ranFailed: the host said that something ran, and gave no answer.
	ranFailed
	// unknown: the host said that it does not know, or broke off.
	unknown
	// unreached: no connection, so that nothing was asked of the host.
	unreached
)

// form is how an answer is asked for.
type form uint8

const (
	asJSON form = iota
	asEvents
	asChat
	asChatStream
	asService
)

// request is one request that a caller sends, maybe several times.
type request struct {
	mark      string
	workspace string
	path      string
	method    string
	body      string
	key       string
	id        string
	form      form
	poison    bool
	// patience is the longest time that the caller waits.
	patience time.Duration
}

// reply is what came back from one host.
type reply struct {
	outcome outcome
	host    *entryHost
	cause   string
	// wrong says what is wrong with an answer that claims to be whole, and
	// foreign that it is somebody else's.
	wrong   string
	foreign bool
	// cutByDrain says that a host that was ending broke the answer off.
	cutByDrain bool
}

// newCallersClient returns a client with a connection for each call, so that
// net/http does not repeat calls by itself.
func newCallersClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// send sends a request to one host and judges the answer.
func (f *fleet) send(ctx context.Context, h *entryHost, q *request) reply {
	ctx, cancel := context.WithTimeout(ctx, q.patience)
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
		return brokenReply(ctx, h)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return brokenReply(ctx, h)
	}
	return judge(h, q, resp, body)
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
	if q.form == asEvents {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

// brokenReply is the reply when a connection broke or took too long.
func brokenReply(ctx context.Context, h *entryHost) reply {
	if ctx.Err() != nil {
		return reply{outcome: unknown, host: h, cause: "caller gave up"}
	}
	drained := h.draining.Load() && !h.killed.Load()
	return reply{outcome: unknown, host: h, cause: "connection broke", cutByDrain: drained}
}

// judge sorts an answer that came whole as far as HTTP goes.
func judge(h *entryHost, q *request, resp *http.Response, body []byte) reply {
	if resp.Header.Get("Content-Type") == problem.MediaType {
		return judgeProblem(h, body)
	}
	if resp.StatusCode != http.StatusOK {
		return reply{outcome: ranFailed, host: h, cause: resp.Status}
	}
	check := checkers[q.form]
	return check(h, q, body)
}

// judgeProblem sorts a problem by what it says about running.
func judgeProblem(h *entryHost, body []byte) reply {
	var p problem.Problem
	if err := json.Unmarshal(bytes.TrimSpace(body), &p); err != nil {
		return reply{outcome: unknown, host: h, cause: "problem without JSON", wrong: string(body)}
	}
	switch p.Ran {
	case problem.No:
		return reply{outcome: notRun, host: h, cause: p.Cause}
	case problem.Yes:
		return reply{outcome: ranFailed, host: h, cause: p.Cause}
	case problem.Unknown:
		return reply{outcome: unknown, host: h, cause: p.Cause}
	}
	return reply{outcome: unknown, host: h, cause: p.Cause, wrong: "problem that does not say whether it ran"}
}
