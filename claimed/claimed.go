// Package claimed runs non-idempotent service calls under the claims of package
// claim, so that each runs at most once.
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

// Adapter implements request.Claims with a claim.Service. It is safe for concurrent
// use.
type Adapter struct {
	service *claim.Service
	logger  *slog.Logger
}

// New creates an Adapter.
func New(service *claim.Service, logger *slog.Logger) *Adapter {
	return &Adapter{service: service, logger: logger}
}

// Once runs a call at most once for its key. If the call ran before, it returns the
// recorded answer. The error is a *problem.Problem.
func (a *Adapter) Once(ctx context.Context, key request.OnceKey, requestID string, run request.OnceFunc) (request.ServiceAnswer, error) {
	decision, err := a.service.Begin(ctx, claim.Key{
		Workspace:      key.Workspace,
		Service:        key.Service,
		IdempotencyKey: key.IdempotencyKey,
	}, claim.Digest(key.Digest), requestID)
	if err != nil {
		a.logger.Warn("claim failed", "request_id", requestID, "error", err.Error())
		return request.ServiceAnswer{}, claimUnavailable(0)
	}
	switch decision.Verdict {
	case claim.Run:
		return a.run(ctx, decision.Grant, requestID, run)
	case claim.Replay:
		return replayedAnswer(decision.Outcome), nil
	default:
		return request.ServiceAnswer{}, refusalProblem(decision)
	}
}

// run makes the call and records how it ended. If the call certainly did not run,
// the claim is released, so that a repeat may run.
func (a *Adapter) run(ctx context.Context, grant *claim.Grant, requestID string, run request.OnceFunc) (request.ServiceAnswer, error) {
	answer, ran, err := run(ctx)
	outcome := claim.Outcome{Ran: ranState(ran)}
	if err == nil {
		outcome = outcomeOf(answer)
	}
	// Finish makes the outcome durable in the background and does not block.
	if finishErr := grant.Finish(context.WithoutCancel(ctx), outcome); finishErr != nil {
		a.logger.Warn("recording outcome failed", "request_id", requestID, "error", finishErr.Error())
	}
	return answer, err
}

// ranState converts a problem.Ran to a claim.RanState.
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

// outcomeOf returns the outcome to record for an answer.
func outcomeOf(answer request.ServiceAnswer) claim.Outcome {
	return claim.Outcome{
		Status:      answer.Status,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        answer.Body,
		Ran:         claim.RanYes,
	}
}

// replayedAnswer returns the recorded answer of an earlier run.
func replayedAnswer(o claim.Outcome) request.ServiceAnswer {
	header := http.Header{}
	if o.ContentType != "" {
		header.Set("Content-Type", o.ContentType)
	}
	return request.ServiceAnswer{Status: o.Status, Header: header, Body: o.Body, Replayed: true}
}

// refusalProblem returns the problem for a call that is not run.
func refusalProblem(d claim.Decision) *problem.Problem {
	switch d.Verdict {
	case claim.AlreadyRan:
		if d.Outcome.Ran == claim.RanUnknown {
			return unknownOutcome()
		}
		return problem.New(http.StatusConflict, "already_ran", "the call ran before and its answer is no longer held", problem.Yes)
	case claim.Unknown:
		return unknownOutcome()
	case claim.Mismatch:
		return problem.New(http.StatusConflict, "key_reused", "the Idempotency-Key was used with another request", problem.No)
	case claim.Expired:
		return problem.New(http.StatusConflict, "key_expired", "the Idempotency-Key is older than the retention and is not run again", problem.Unknown)
	default:
		return claimUnavailable(d.RetryAfter)
	}
}

// unknownOutcome returns the problem for a call that may have run before.
func unknownOutcome() *problem.Problem {
	return problem.New(http.StatusConflict, "outcome_unknown", "the call may have run before; it is not run again", problem.Unknown)
}

// defaultRetryAfter is the retry delay suggested to callers when the decision has
// none.
const defaultRetryAfter = time.Second

// claimUnavailable returns the problem for a call that could not be claimed.
func claimUnavailable(retryAfter time.Duration) *problem.Problem {
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	return problem.New(http.StatusServiceUnavailable, "claims_unavailable",
		"the call could not be recorded as taken, so it was not run", problem.No).WithRetryAfter(retryAfter)
}
