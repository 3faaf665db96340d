package gateway

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/staging"
)

// Pauses after which a refused caller may come back.
const (
	// configurationPause is about the time in which a host that starts learns
	// the configuration.
	configurationPause = 500 * time.Millisecond
	// quarantinePause is how long other hosts may run a suspect alone.
	quarantinePause = 2 * time.Second
	// overloadPause is about the time in which a queue of calls to stage
	// servers drains; it is spread to keep callers from coming back together.
	overloadPause = 600 * time.Millisecond
	// maxOverloadPause is a third of the deadline that most callers have: none
	// waits longer.
	maxOverloadPause = 3 * time.Second
	// noUpstreamPause is about the time in which a crashed upstream is back.
	noUpstreamPause = 700 * time.Millisecond
)

// refusal is a final answer of the gateway's own.
type refusal struct {
	// status is the answer's; 429 and 503 say that the request has not run and
	// never will.
	status int
	reason string
	detail string
	// pause tells the caller when to come back; 0 does not tell.
	pause time.Duration
	// hangUp closes the connection without an answer.
	hangUp bool
}

// pauseAfterOverload is about as long as the queue that the caller was refused
// for, spread for callers that were refused together.
func (x *exchange) pauseAfterOverload(err error) time.Duration {
	pause := overloadPause
	if f := staging.AsFailure(err); f != nil {
		pause = min(max(f.Wait, overloadPause), maxOverloadPause)
	}
	return pause + time.Duration(x.random.Int64N(int64(overloadPause)))
}

// finish sends a refusal and tells the log.
func (x *exchange) finish(f refusal) {
	x.log(f.reason, f.status, f.detail)
	if f.hangUp || x.started {
		panic(http.ErrAbortHandler)
	}
	x.config.Codec.EncodeRefusal(x.w.Header(), x.request.ID, f.pause)
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(f.status)
}

// wholeAnswer is an upstream's answer that was read whole.
type wholeAnswer struct {
	answer *call.Answer
	body   []byte
}

// giveUp ends a request for which no further upstream is tried.
func (x *exchange) giveUp(reason string) {
	if x.spare != nil && x.r.Context().Err() == nil {
		x.pass(x.spare.answer, x.spare.body)
		return
	}
	x.finish(x.failed(reason))
}

// failed is the final answer when no upstream gave one: an honest 503 if the
// request surely did not run, else one that promises nothing.
func (x *exchange) failed(reason string) refusal {
	f := refusal{reason: reason, status: http.StatusBadGateway}
	switch {
	case x.r.Context().Err() != nil:
		return refusal{reason: "caller_left", hangUp: true}
	case !x.mayRun:
		f.status = http.StatusServiceUnavailable
		f.pause = noUpstreamPause + time.Duration(x.random.Int64N(int64(noUpstreamPause)))
	case !time.Now().Before(x.deadline):
		f.status, f.reason = http.StatusGatewayTimeout, "deadline"
	}
	return f
}

// pass returns an upstream's whole answer.
func (x *exchange) pass(a *call.Answer, body []byte) {
	x.log("answered", a.Status, "")
	x.copyHeader(a)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(a.Status)
	// A caller that has left needs no answer; the log has it.
	_, _ = x.w.Write(body)
}

func (x *exchange) copyHeader(a *call.Answer) {
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
}

// log writes the one line of the request and counts it.
func (x *exchange) log(outcome string, status int, detail string) {
	now := time.Now()
	took := now.Sub(x.request.Arrived)
	attrs := []slog.Attr{
		slog.String("request", x.request.ID),
		slog.String("outcome", outcome),
		slog.Int("status", status),
		slog.Int64("took_ms", took.Milliseconds()),
	}
	route := ""
	if x.table != nil {
		attrs = append(attrs, slog.Uint64("config", uint64(x.table.Version())))
	}
	if x.route != nil {
		route = x.route.Name
		attrs = append(attrs, slog.String("route", route), slog.String("workspace", x.workspace),
			slog.String("service", x.service), slog.Bool("may_have_run", x.mayRun))
	}
	if x.stagesIn > 0 {
		attrs = append(attrs, slog.Int64("stages_ms", x.stagesIn.Milliseconds()))
	}
	if x.events > 0 {
		attrs = append(attrs, slog.Int("events", x.events))
	}
	if len(x.tries) > 0 {
		attrs = append(attrs, slog.Any("tries", x.tries))
	}
	if detail != "" {
		attrs = append(attrs, slog.String("detail", detail))
	}
	x.config.Metrics.request(route, x.workspace, outcome, took)
	x.config.Logger.LogAttrs(x.r.Context(), slog.LevelInfo, "request", attrs...)
}
