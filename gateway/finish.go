package gateway

import (
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/staging"
)

// How long refused callers should wait before they retry.
const (
	// configurationRetryAfter is for a host that has no configuration although the request
	// has waited for the first read: the store is down. Callers have few retries, so they
	// come back late rather than twice in vain. A random time of the same length is added.
	configurationRetryAfter = 1500 * time.Millisecond
	// quarantineRetryAfter is how long another host may run a suspected request
	// alone.
	quarantineRetryAfter = 2 * time.Second
	// overloadRetryAfter is about the time in which a queue of calls to stage
	// servers drains. A random time, up to the same or half of a longer wait, is added so that
	// refused callers don't all retry at once.
	overloadRetryAfter = 600 * time.Millisecond
	// maxOverloadRetryAfter bounds the estimated wait, before the random time is
	// added. It is a third of the deadline that most callers have.
	maxOverloadRetryAfter = 3 * time.Second
	// noUpstreamRetryAfter is about the time in which a crashed upstream
	// restarts. A random time is added to it.
	noUpstreamRetryAfter = 700 * time.Millisecond
	// stopRetryAfter is the longest time after which callers of a stopping host come back
	// to others. A random part of it spreads them.
	stopRetryAfter = 300 * time.Millisecond
	// maxRefusedBodyTime bounds the reading of the rest of a refused request's body. 256 KiB
	// take 0.2 s at 10 Mbit/s.
	maxRefusedBodyTime = time.Second
)

// refusal is a final answer from the gateway itself.
type refusal struct {
	// status is the HTTP status; 429 and 503 guarantee that the request has not
	// run and will not run.
	status int
	reason string
	detail string
	// retryAfter is how long the caller should wait before it retries; 0 omits
	// it from the answer.
	retryAfter time.Duration
	// abort closes the connection without an answer.
	abort bool
}

// retryAfterOverload returns the estimated wait in the queue that refused the
// caller, plus a random time that spreads the retries of callers refused together.
// If all stage servers are paused, it returns the time until the first is back.
func (x *exchange) retryAfterOverload(err error) time.Duration {
	wait := overloadRetryAfter
	if f := staging.AsFailure(err); f != nil {
		if f.Evacuated {
			return x.spread(evacuationRetryAfter)
		}
		if f.Reason == call.PiecePaused && f.Wait > 0 {
			return f.Wait
		}
		wait = min(max(f.Wait, overloadRetryAfter), maxOverloadRetryAfter)
	}
	return wait + time.Duration(x.random.Int64N(int64(max(overloadRetryAfter, wait/2))))
}

// spread returns a random time from wait to twice that.
func (x *exchange) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(x.random.Int64N(int64(wait)))
}

// refuse logs a refusal and sends it. An answer with status 400 has the reason in its body.
func (x *exchange) refuse(f refusal) {
	if f.abort || x.started {
		x.aborted = true
		x.log(f.reason, 0, f.detail)
		panic(http.ErrAbortHandler)
	}
	x.log(f.reason, f.status, f.detail)
	if !x.bodyRead && x.r.ContentLength != 0 {
		// Before it answers, net/http reads up to 256 KiB of a body that was not read. This
		// fails only if the connection is closed.
		until := time.Now().Add(maxRefusedBodyTime)
		if x.hostStops() {
			until = longAgo
		}
		_ = http.NewResponseController(x.w).SetReadDeadline(until)
	}
	x.config.Codec.EncodeRefusal(x.w.Header(), x.request.ID, f.retryAfter)
	if f.status == http.StatusBadRequest {
		problem.New(f.status, f.reason, f.detail, problem.No).Write(x.w, x.request.ID)
		return
	}
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(f.status)
}

// wholeAnswer is an upstream's answer with its complete body.
type wholeAnswer struct {
	answer *call.Answer
	body   []byte
}

// giveUp ends a request for which no further upstream is tried, with the error
// answer of an upstream if there is one.
func (x *exchange) giveUp(reason string) {
	if x.fallbackAnswer != nil && !x.started && x.r.Context().Err() == nil {
		x.writeAnswer(x.fallbackAnswer.answer, x.fallbackAnswer.body)
		return
	}
	x.refuse(x.failureRefusal(reason))
}

// failureRefusal returns the refusal when no upstream answered: 503 if the
// request certainly did not run, otherwise a status that does not say whether it
// ran.
func (x *exchange) failureRefusal(reason string) refusal {
	f := refusal{reason: reason, status: http.StatusBadGateway}
	switch {
	case x.r.Context().Err() != nil:
		return refusal{reason: "caller_left", abort: true}
	case x.hostStops():
		return x.stopRefusal()
	case !x.mayHaveRun:
		f.status = http.StatusServiceUnavailable
		f.retryAfter = noUpstreamRetryAfter + time.Duration(x.random.Int64N(int64(noUpstreamRetryAfter)))
		if !x.partsRefusedUntil.IsZero() {
			return quarantinedPart(x.partsRefusedUntil)
		}
		if x.isEvacuated() {
			return x.evacuated()
		}
		if wait, paused := x.pausedFor(); paused {
			f.reason, f.retryAfter = "upstreams_paused", wait
		}
	case !time.Now().Before(x.deadline):
		f.status, f.reason = http.StatusGatewayTimeout, "deadline"
	}
	return f
}

// hostStops reports whether the host ends its requests.
func (x *exchange) hostStops() bool { return x.stopped.Err() != nil }

// stopRefusal returns the refusal of a request that the stopping host does not finish.
// Other hosts serve, so that its caller may come back soon if it has not run.
func (x *exchange) stopRefusal() refusal {
	if x.mayHaveRun {
		return refusal{status: http.StatusBadGateway, reason: "host_stops"}
	}
	return refusal{
		status: http.StatusServiceUnavailable, reason: "host_stops",
		retryAfter: time.Duration(x.random.Int64N(int64(stopRetryAfter))),
	}
}

// writeAnswer sends an upstream's complete answer to the caller.
func (x *exchange) writeAnswer(a *call.Answer, body []byte) {
	x.log("answered", a.Status, "")
	x.copyHeader(a)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(a.Status)
	// A write fails only when the caller has left or does not read, and the answer is logged.
	if errors.Is(x.writeHeld(body), memory.ErrFull) {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) copyHeader(a *call.Answer) {
	h := x.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
}

// log writes the request's log line and updates the metrics.
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
			slog.String("service", x.service), slog.Bool("may_have_run", x.mayHaveRun))
	}
	if x.request.Resumes != "" {
		attrs = append(attrs, slog.String("resumes", x.request.Resumes))
	}
	if x.resumption != nil {
		attrs = append(attrs, x.resumption.logAttrs()...)
	}
	if x.stagesTook > 0 {
		attrs = append(attrs, slog.Int64("stages_ms", x.stagesTook.Milliseconds()))
	}
	if x.events > 0 {
		attrs = append(attrs, slog.Int("events", x.events))
	}
	if x.aborted {
		attrs = append(attrs, slog.Bool("aborted", true))
		x.config.Metrics.countAborted(route, outcome)
	}
	if len(x.attempts) > 0 {
		attrs = append(attrs, slog.Any("tries", x.attempts))
	}
	if detail != "" {
		attrs = append(attrs, slog.String("detail", detail))
	}
	x.config.Metrics.observeRequest(route, x.workspace, outcome, took)
	x.config.Logger.LogAttrs(x.r.Context(), slog.LevelInfo, "request", attrs...)
}
