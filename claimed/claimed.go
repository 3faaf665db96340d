// Package claimed joins service calls that may run only once to the claims
// that make them so.
package claimed

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/claim"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/request"
)

// Calls is the request.Claims over a claim.Service. It is safe for concurrent
// use.
type Calls struct {
	service *claim.Service
	logger  *slog.Logger
}

// New makes Calls.
func New(service *claim.Service, logger *slog.Logger) *Calls {
	return &Calls{service: service, logger: logger}
}

// Once runs a call at most once for its key. The error is a *problem.Problem.
func (c *Calls) Once(ctx context.Context, key request.OnceKey, requestID string, run request.OnceFunc) (request.ServiceAnswer, error) {
	decision, err := c.service.Begin(ctx, claim.Key{
		Workspace:      key.Workspace,
		Service:        key.Service,
		IdempotencyKey: key.IdempotencyKey,
	}, claim.Digest(key.Digest), requestID)
	if err != nil {
		c.logger.Warn("claim failed", "request_id", requestID, "error", err.Error())
		return request.ServiceAnswer{}, unavailable(0)
	}
	switch decision.Verdict {
	case claim.Run:
		return c.run(ctx, decision.Grant, requestID, run)
	case claim.Replay:
		return replay(decision.Outcome), nil
	default:
		return request.ServiceAnswer{}, refusal(decision)
	}
}

// run makes the call and records how it ended. A call that surely did not run
// is released, so that a repeat may run.
func (c *Calls) run(ctx context.Context, grant *claim.Grant, requestID string, run request.OnceFunc) (request.ServiceAnswer, error) {
	answer, ran, err := run(ctx)
	// The outcome is made durable in the background, so neither call waits.
	outcome := claim.Outcome{Ran: ranState(ran)}
	if err == nil {
		outcome = outcomeOf(answer)
	}
	if endErr := grant.Finish(context.WithoutCancel(ctx), outcome); endErr != nil {
		c.logger.Warn("outcome not taken", "request_id", requestID, "error", endErr.Error())
	}
	return answer, err
}

// ranState is the claim's word for what ran.
func ranState(ran problem.Ran) claim.RanState {
	switch ran {
	case problem.Yes:
		return claim.RanYes
	case problem.No:
		return claim.RanNo
	default:
		return claim.RanUnknown
	}
}

// outcomeOf is what is recorded of a whole answer.
func outcomeOf(answer request.ServiceAnswer) claim.Outcome {
	return claim.Outcome{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        answer.Body,
		Ran:         claim.RanYes,
	}
}

// replay is the recorded answer of an earlier run.
func replay(o claim.Outcome) request.ServiceAnswer {
	header := http.Header{}
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	return request.ServiceAnswer{Status: o.Status, Header: header, Body: o.Body, Replayed: true}
}

// refusal is what the caller of a call that is not run hears.
func refusal(d claim.Decision) *problem.Problem {
	switch d.Verdict {
	case claim.AlreadyRan:
		if d.Outcome.Ran == claim.RanUnknown {
			return unknown()
		}
		return problem.New(http.StatusConflict, "already_ran", "the call ran before and its answer is no longer held", problem.Yes)
	case claim.Unknown:
		return unknown()
	case claim.Mismatch:
		return problem.New(http.StatusConflict, "key_reused", "the Idempotency-Key was used with another request", problem.No)
	case claim.Expired:
		return problem.New(http.StatusConflict, "key_expired", "the Idempotency-Key is older than the retention and is not run again", problem.Unknown)
	default:
		return unavailable(d.RetryAfter)
	}
}

// unknown is the answer when the earlier run's outcome is lost.
func unknown() *problem.Problem {
	return problem.New(http.StatusConflict, "outcome_unknown", "the call may have run before; it is not run again", problem.Unknown)
}

// defaultRetryAfter is when a call that could not be claimed may come back.
const defaultRetryAfter = time.Second

// unavailable is the answer when a call could not be claimed.
func unavailable(retryAfter time.Duration) *problem.Problem {
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	return problem.New(http.StatusServiceUnavailable, "claims_unavailable",
		"the call could not be recorded as taken, so it was not run", problem.No).WithRetryAfter(retryAfter)
}
