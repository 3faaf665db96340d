package request

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/upstream"
)

// ServiceJob is one call to a plain service.
type ServiceJob struct {
	ID         string
	Workspace  string
	Service    document.Service
	Operation  document.Operation
	Document   *document.Document
	Generation uint64
	Method     string
	// Path is the path within the service with the query, already escaped.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey is required when the operation is not idempotent.
	IdempotencyKey string
	Deadline       time.Time
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is true when this is the recorded answer of an earlier run.
	Replayed bool
}

// Claims keeps non-idempotent calls from running twice.
type Claims interface {
	// Once calls run at most once for a key, across all hosts and without a
	// time limit, and returns its answer, or the recorded answer of an earlier
	// run. The error is a *problem.Problem. run reports whether an upstream ran
	// the call.
	Once(ctx context.Context, key OnceKey, requestID string, run OnceFunc) (ServiceAnswer, error)
}

// OnceKey identifies a call that may run only once.
type OnceKey struct {
	Workspace      string
	Service        string
	IdempotencyKey string
	// Digest ties the key to the content of the call, so that the same key
	// with another request is detected.
	Digest Digest
}

// OnceFunc makes the call. ran reports whether an upstream ran it.
type OnceFunc func(ctx context.Context) (answer ServiceAnswer, ran problem.Ran, err error)

// RunService calls a plain service. It returns the service's answer, whatever
// its status, or a *problem.Problem.
func (r *Runner) RunService(ctx context.Context, job ServiceJob) (ServiceAnswer, error) {
	started := time.Now()
	run := &serviceRun{runner: r, job: job, callID: newCallID(job.ID), ran: problem.No}
	answer, err := run.run(ctx)
	now := time.Now()
	observation := Observation{
		Workspace: job.Workspace,
		Class:     job.Service.Class,
		Target:    job.Service.Name,
		Cause:     causeOf(err),
		InTime:    err == nil && !now.After(job.Deadline),
		Took:      now.Sub(started),
	}
	r.cfg.Observe(observation)
	r.cfg.Logger.Info("service call",
		"request_id", job.ID, "workspace", job.Workspace, "class", observation.Class, "service", observation.Target,
		"cause", observation.Cause, "replayed", answer.Replayed, "took_ms", observation.Took.Milliseconds(), "generation", job.Generation)
	return answer, err
}

// serviceRun is the state of one running service call.
type serviceRun struct {
	runner *Runner
	job    ServiceJob
	callID string
	ran    problem.Ran
	// guarded is set once the guard has allowed the call.
	guarded *guardedRequest
}

// run asks the guard about the call and runs it.
func (s *serviceRun) run(ctx context.Context) (ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, s.job.Deadline)
	defer cancel()
	digest := s.callDigest()
	guarded, err := s.runner.screen(ctx, digest)
	if err != nil {
		return ServiceAnswer{}, err
	}
	s.guarded = guarded
	answer, err := s.runScreened(ctx, digest)
	guarded.finish(err == nil)
	return answer, err
}

// runScreened runs a call that the guard allowed: directly when the operation is
// idempotent, otherwise under a claim.
func (s *serviceRun) runScreened(ctx context.Context, digest Digest) (ServiceAnswer, error) {
	if s.job.Operation.Idempotent {
		return s.admitAndRun(ctx)
	}
	key := OnceKey{
		Workspace:      s.job.Workspace,
		Service:        s.job.Service.Name,
		IdempotencyKey: s.job.IdempotencyKey,
		Digest:         digest,
	}
	return s.runner.cfg.Claims.Once(ctx, key, s.job.ID, s.runOnce)
}

// runOnce is the part of the call that a claim protects. It continues after the
// caller disconnects, so that a repeat of the call can be told the outcome.
func (s *serviceRun) runOnce(ctx context.Context) (ServiceAnswer, problem.Ran, error) {
	answer, err := s.admitAndRun(context.WithoutCancel(ctx))
	return answer, s.ran, err
}

// callDigest hashes the call: workspace, service, method, path, content type and
// body.
func (s *serviceRun) callDigest() Digest {
	h := sha256.New()
	writeField(h, s.job.Workspace)
	writeField(h, s.job.Service.Name)
	writeField(h, s.job.Method)
	writeField(h, s.job.Path)
	writeField(h, s.job.Header.Get("Content-Type"))
	_, _ = h.Write(s.job.Body)
	var d Digest
	h.Sum(d[:0])
	return d
}

// admitAndRun has the dispatcher admit the call and then runs its attempts.
func (s *serviceRun) admitAndRun(ctx context.Context) (ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, s.job.Deadline)
	defer cancel()
	ticket, err := s.runner.cfg.Dispatcher.Admit(ctx, s.arrival())
	if err != nil {
		return ServiceAnswer{}, asProblem(ctx, err, s.ran)
	}
	answer, err := s.runAttempts(ctx, ticket)
	succeeded := err == nil
	ticket.Finish(dispatch.Result{Complete: succeeded, InTime: succeeded && !time.Now().After(s.job.Deadline)})
	if err != nil {
		return ServiceAnswer{}, asProblem(ctx, err, s.ran)
	}
	return answer, nil
}

// runAttempts makes attempts until one succeeds, while a retry is safe and the
// policy allows it. A call that may run only once is retried only after failures
// that prove that no upstream ran it.
func (s *serviceRun) runAttempts(ctx context.Context, ticket dispatch.Ticket) (ServiceAnswer, error) {
	var avoid []upstream.ID
	for count := 1; ; count++ {
		slot, err := ticket.Acquire(ctx, 0, avoid, nil)
		if err != nil {
			return ServiceAnswer{}, err
		}
		answer, failed := s.attempt(ctx, slot, count)
		s.ran = updateRan(s.ran, failed)
		if failed == nil {
			return answer, nil
		}
		if !s.mayRetry(failed) {
			return ServiceAnswer{}, failed
		}
		if s.guarded.losses > 0 {
			mayContinue, err := s.guarded.mayContinue(ctx, s.ran)
			if err != nil {
				return ServiceAnswer{}, err
			}
			if !mayContinue {
				return ServiceAnswer{}, failed
			}
		}
		wait, ok := ticket.MayRetry(0, failed.Failure)
		if !ok || sleep.For(ctx, wait) != nil {
			return ServiceAnswer{}, failed
		}
		avoid = append(avoid, slot.Upstream().ID)
	}
}

// mayRetry reports whether another attempt is safe.
func (s *serviceRun) mayRetry(failed *attempt.Failed) bool {
	if s.guarded.singleAttempt {
		return false
	}
	return s.job.Operation.Idempotent || failed.NothingRan()
}

// attempt makes one call and reports its outcome to the policy, the guard and the
// upstream table.
func (s *serviceRun) attempt(ctx context.Context, slot dispatch.Slot, count int) (ServiceAnswer, *attempt.Failed) {
	ctx, cancel := context.WithDeadline(ctx, slot.Deadline())
	defer cancel()
	r := s.runner
	up := slot.Upstream()
	r.cfg.Guard.Started(s.guarded.digest, up.ID)
	answer, err := r.cfg.Client.Do(ctx, attempt.Call{
		Identity: attempt.Identity{RequestID: s.callID, Stage: s.job.Service.Name, Attempt: count},
		Upstream: up,
		Method:   s.job.Method,
		Path:     s.job.Path,
		Header:   s.job.Header,
		Body:     s.job.Body,
		Once:     !s.job.Operation.Idempotent,
		NoEcho:   poolNoEcho(s.job.Document, s.job.Service.Pool),
		Deadline: slot.Deadline(),
	})
	var failed *attempt.Failed
	outcome := dispatch.Outcome{}
	if err == nil {
		err = checkCompleteJSON(answer)
	}
	if err != nil {
		failed = attempt.AsFailed(err)
		outcome.Failure = failed.Failure
	}
	slot.Done(outcome)
	r.reportFailure(up.ID, failed)
	if r.upstreamDied(outcome.Failure, up) {
		s.guarded.recordLoss(up.ID)
	}
	return ServiceAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}, failed
}

// checkCompleteJSON rejects an answer whose content type is JSON and whose body
// is not valid JSON, such as one that was truncated at the upstream.
func checkCompleteJSON(answer attempt.Answer) error {
	media, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	isJSON := err == nil && (media == "application/json" || strings.HasSuffix(media, "+json"))
	if !isJSON || len(answer.Body) == 0 || json.Valid(answer.Body) {
		return nil
	}
	return wrongAnswer("answer is not valid JSON")
}

// arrival returns the call's description for the dispatcher.
func (s *serviceRun) arrival() dispatch.Arrival {
	class, _ := s.job.Document.Class(s.job.Service.Class)
	return dispatch.Arrival{
		RequestID:   s.job.ID,
		Workspace:   s.job.Workspace,
		Class:       class,
		Service:     s.job.Service.Name,
		Idempotent:  s.job.Operation.Idempotent,
		InputTokens: len(s.job.Body)/bytesPerToken + 1,
		Deadline:    s.job.Deadline,
		Document:    s.job.Document,
		Stages: []dispatch.StageNeed{{
			Name: s.job.Service.Name,
			Pool: s.job.Service.Pool,
			Kind: document.KindService,
		}},
	}
}
