package gateway

import (
	"context"
	"net/http"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/routing"
)

// servePlain serves a request whose answer is not streamed.
func (x *exchange) servePlain() {
	x.runAttempts(x.attemptPlain)
}

// attemptPlain sends the request to one upstream.
func (x *exchange) attemptPlain(chosen instance.Status, ticket placement.Ticket) attemptResult {
	ctx, end := x.attemptContext()
	defer end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := x.plainSilenceLimit(chosen)
	monitor := x.monitorSilence(ctx, cancel, chosen, x.canSwitchUpstream(), limit, limit)
	defer monitor.stop()
	s, outcome := x.send(ctx, chosen, ticket, call.NoEvent)
	if outcome != callerAnswered {
		return outcome
	}
	body, err := s.readAnswerBody()
	if err != nil {
		return s.handleLostAnswer("broke_in_body", err)
	}
	status := s.answer.Status
	if status >= http.StatusInternalServerError {
		s.end(instance.Failed, status, "failed")
		if x.mayTryAnother() {
			x.fallbackAnswer = &wholeAnswer{answer: s.answer, body: body}
			return outcomeUnknown
		}
		x.writeAnswer(s.answer, body)
		return callerAnswered
	}
	s.end(instance.Answered, status, "answered")
	x.completed = true
	x.writeAnswer(s.answer, body)
	return callerAnswered
}

// mayTryAnother reports whether to try another upstream after an error answer.
// If not, the caller gets the error answer.
func (x *exchange) mayTryAnother() bool {
	return x.route.Kind == routing.Idempotent && len(x.attempts) < x.route.MaxUpstreams && x.ctx.Err() == nil
}

// attemptContext returns the context of one attempt. A call that may run only
// once is not cancelled when its caller leaves, since it may already be running.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	if x.route.Kind == routing.AtMostOnce {
		return context.WithDeadline(context.WithoutCancel(x.ctx), x.deadline)
	}
	return context.WithCancel(x.ctx)
}
