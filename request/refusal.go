package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/problem"
)

// statusClientClosedRequest is the status of a problem whose caller has
// disconnected. The caller never sees it.
const statusClientClosedRequest = 499

// toProblem converts an error of a pipeline run into the caller's problem.
func (p *pipelineRun) toProblem(ctx context.Context, err error) error {
	return asProblem(ctx, err, p.ran)
}

// asProblem converts an error into a problem. ran is what is known about whether
// an upstream ran the request.
func asProblem(ctx context.Context, err error, ran problem.Ran) *problem.Problem {
	var known *problem.Problem
	if errors.As(err, &known) {
		return known
	}
	var refusal *dispatch.Refusal
	if errors.As(err, &refusal) {
		return refusalProblem(refusal, ran)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return problem.New(statusClientClosedRequest, "caller_gone", "the caller went away", ran)
	}
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return problem.New(http.StatusGatewayTimeout, "deadline", "the deadline passed", ran)
	}
	return failureProblem(attempt.AsFailed(err), ran)
}

// failureProblem returns the problem for the failure of the last attempt.
func failureProblem(failed *attempt.Failed, ran problem.Ran) *problem.Problem {
	switch failed.Failure {
	case dispatch.TimedOut:
		return problem.New(http.StatusGatewayTimeout, "upstream_timeout", "an upstream did not answer in time", ran)
	case dispatch.NotSent, dispatch.RefusedByUpstream:
		return problem.New(http.StatusServiceUnavailable, "upstream_unavailable", "no upstream took the call", ran).
			WithRetryAfter(time.Second)
	case dispatch.InvalidRequest:
		return problem.New(http.StatusUnprocessableEntity, "upstream_rejected", "an upstream rejected the request", ran)
	case dispatch.WrongAnswer:
		return problem.New(http.StatusBadGateway, "wrong_answer", "an upstream's answer was not whole or not its own", ran)
	default:
		return problem.New(http.StatusBadGateway, "upstream_failed", "an upstream failed", ran)
	}
}

// refusalProblem returns the problem for a refusal by the policy.
func refusalProblem(r *dispatch.Refusal, ran problem.Ran) *problem.Problem {
	status := http.StatusServiceUnavailable
	detail := "the request was refused"
	switch r.Cause {
	case dispatch.CauseLimit:
		status, detail = http.StatusTooManyRequests, "the workspace's limit is used up"
	case dispatch.CauseInfeasible:
		detail = "the deadline can't be met now"
	case dispatch.CauseOverload:
		detail = "the queue is full"
	case dispatch.CauseNoUpstream:
		detail = "no live upstream in a pool"
	case dispatch.CauseDeadline:
		status, detail = http.StatusGatewayTimeout, "the deadline passed while the request waited"
	case dispatch.CauseRetryBudget:
		detail = "no budget for another attempt"
	case dispatch.CauseDraining:
		detail = "the host is shutting down"
	}
	return problem.New(status, string(r.Cause), detail, ran).WithRetryAfter(r.RetryAfter)
}

// causeOf returns the value of the metrics label "cause" for a request's result.
func causeOf(err error) string {
	if err == nil {
		return "ok"
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return p.Cause
	}
	return "error"
}
