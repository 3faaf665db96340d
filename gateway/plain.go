package gateway

import (
	"context"
	"net/http"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/routing"
)

// plain serves a request whose answer is returned whole.
func (x *exchange) plain() {
	x.sendUntilEnded(x.plainOnce)
}

// plainOnce sends the request to one upstream.
func (x *exchange) plainOnce(chosen instance.Status, ticket placement.Ticket) result {
	ctx, end := x.sendContext()
	defer end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := x.plainSilence(chosen)
	watch := x.watchSilence(ctx, cancel, chosen, x.movesOn(), silent, silent)
	defer watch.stop()
	s, outcome := x.send(ctx, chosen, ticket, call.NoEvent)
	if outcome != ended {
		return outcome
	}
	body, err := s.body()
	if err != nil {
		return s.lost("broke_in_body", err)
	}
	status := s.answer.Status
	if status >= http.StatusInternalServerError {
		s.over(instance.Failed, status, "failed")
		if x.mayTryAgain() {
			x.spare = &wholeAnswer{answer: s.answer, body: body}
			return unknown
		}
		x.pass(s.answer, body)
		return ended
	}
	s.over(instance.Answered, status, "answered")
	x.cleared = true
	x.pass(s.answer, body)
	return ended
}

// mayTryAgain says whether an upstream's own failure is worth another
// upstream. The first answer is passed on otherwise.
func (x *exchange) mayTryAgain() bool {
	return x.route.Kind == routing.Idempotent && len(x.tries) < x.route.MaxUpstreams && x.ctx.Err() == nil
}

// sendContext is the context of one sending. A call that may run only once is
// not broken off when its caller leaves: it may be running.
func (x *exchange) sendContext() (context.Context, context.CancelFunc) {
	if x.route.Kind == routing.AtMostOnce {
		return context.WithDeadline(context.WithoutCancel(x.ctx), x.deadline)
	}
	return context.WithCancel(x.ctx)
}
