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

// ServiceJob is one call of a plain service.
type ServiceJob struct {
	ID         string
	Workspace  string
	Service    document.Service
	Operation  document.Operation
	Document   *document.Document
	Generation uint64
	Method     string
	// Path is the path within the service and the query, already escaped.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey is required when the operation is not idempotent.
	IdempotencyKey string
	Deadline       time.Time
}

// ServiceAnswer is a plain service's whole answer.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed says that this is the recorded answer of an earlier run.
	Replayed bool
}

// Claims makes calls that may run only once run once.
type Claims interface {
	// Once calls run at most once for a key, over all hosts and for ever, and
	// returns its answer, or the recorded answer of the earlier run. The error
	// is a *problem.Problem. run tells whether anything ran.
	Once(ctx context.Context, key OnceKey, requestID string, run OnceFunc) (ServiceAnswer, error)
}

// OnceKey names a call that may run only once.
type OnceKey struct {
	Workspace      string
	Service        string
	IdempotencyKey string
	// Digest binds the key to what was asked.
	Digest Digest
}

// OnceFunc makes the call. ran says whether an upstream ran it.
type OnceFunc func(ctx context.Context) (answer ServiceAnswer, ran problem.Ran, err error)

// RunService calls a plain service and returns its answer, whatever its
// status, or a *problem.Problem.
func (r *Runner) RunService(ctx context.Context, job ServiceJob) (ServiceAnswer, error) {
	started := time.Now()
	run := &serviceRun{runner: r, job: job, callID: newCallID(job.ID), ran: problem.No}
	answer, err := run.do(ctx)
	now := time.Now()
	seen := Observation{
		Workspace: job.Workspace,
		Class:     job.Service.Class,
		Target:    job.Service.Name,
		Cause:     causeOf(err),
		InTime:    err == nil && !now.After(job.Deadline),
		Took:      now.Sub(started),
	}
	r.cfg.Observe(seen)
	r.cfg.Logger.Info("service call",
		"request_id", job.ID, "workspace", job.Workspace, "class", seen.Class, "service", seen.Target,
		"cause", seen.Cause, "replayed", answer.Replayed, "took_ms", seen.Took.Milliseconds(), "generation", job.Generation)
	return answer, err
}

// serviceRun is one service call on its way.
type serviceRun struct {
	runner *Runner
	job    ServiceJob
	callID string
	ran    problem.Ran
	// guarded is set once the call was screened.
	guarded *screened
}

// do screens the call and runs it.
func (s *serviceRun) do(ctx context.Context) (ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, s.job.Deadline)
	defer cancel()
	digest := s.bodyDigest()
	guarded, err := s.runner.screen(ctx, digest)
	if err != nil {
		return ServiceAnswer{}, err
	}
	s.guarded = guarded
	answer, err := s.screened(ctx, digest)
	guarded.end(err == nil)
	return answer, err
}

// screened runs the call, once or with retries.
func (s *serviceRun) screened(ctx context.Context, digest Digest) (ServiceAnswer, error) {
	if s.job.Operation.Idempotent {
		return s.call(ctx)
	}
	key := OnceKey{
		Workspace:      s.job.Workspace,
		Service:        s.job.Service.Name,
		IdempotencyKey: s.job.IdempotencyKey,
		Digest:         digest,
	}
	return s.runner.cfg.Claims.Once(ctx, key, s.job.ID, s.once)
}

// once is the part of the call that a claim protects. It goes on when the
// caller has gone, so that the outcome is known to a repeat.
func (s *serviceRun) once(ctx context.Context) (ServiceAnswer, problem.Ran, error) {
	answer, err := s.call(context.WithoutCancel(ctx))
	return answer, s.ran, err
}

// bodyDigest binds the call's method, path and body.
func (s *serviceRun) bodyDigest() Digest {
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

// call admits the call and tries it until it succeeds or may not go on.
func (s *serviceRun) call(ctx context.Context) (ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, s.job.Deadline)
	defer cancel()
	ticket, err := s.runner.cfg.Dispatcher.Admit(ctx, s.arrival())
	if err != nil {
		return ServiceAnswer{}, asProblem(ctx, err, s.ran)
	}
	answer, err := s.tries(ctx, ticket)
	whole := err == nil
	ticket.Finish(dispatch.Final{Complete: whole, InTime: whole && !time.Now().After(s.job.Deadline)})
	if err != nil {
		return ServiceAnswer{}, asProblem(ctx, err, s.ran)
	}
	return answer, nil
}

// tries repeats the call while that is safe and the policy allows it. A call
// that may run only once is repeated only after failures that prove that
// nothing ran.
func (s *serviceRun) tries(ctx context.Context, ticket dispatch.Ticket) (ServiceAnswer, error) {
	var avoid []upstream.ID
	for count := 1; ; count++ {
		slot, err := ticket.Acquire(ctx, 0, avoid, nil)
		if err != nil {
			return ServiceAnswer{}, err
		}
		answer, failed := s.attempt(ctx, slot, count)
		s.ran = markRan(s.ran, failed)
		if failed == nil {
			return answer, nil
		}
		if !s.mayRepeat(failed) {
			return ServiceAnswer{}, failed
		}
		if s.guarded.losses > 0 {
			goOn, err := s.guarded.mayGoOn(ctx, s.ran)
			if err != nil {
				return ServiceAnswer{}, err
			}
			if !goOn {
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

// mayRepeat says whether another attempt is safe.
func (s *serviceRun) mayRepeat(failed *attempt.Failed) bool {
	if s.guarded.alone {
		return false
	}
	return s.job.Operation.Idempotent || failed.NothingRan()
}

// attempt makes one call and teaches the policy what it saw.
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
		err = checkWhole(answer)
	}
	if err != nil {
		failed = attempt.AsFailed(err)
		outcome.Failure = failed.Failure
	}
	slot.Done(outcome)
	r.report(up.ID, failed)
	if r.lostUpstream(outcome.Failure, up) {
		s.guarded.lose(up.ID)
	}
	return ServiceAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body}, failed
}

// checkWhole refuses an answer that says it is JSON and is not whole JSON, as
// one that was cut short at its upstream is.
func checkWhole(answer attempt.Answer) error {
	media, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	isJSON := err == nil && (media == "application/json" || strings.HasSuffix(media, "+json"))
	if !isJSON || len(answer.Body) == 0 || json.Valid(answer.Body) {
		return nil
	}
	return wrongAnswer("the answer is not whole JSON")
}

// arrival describes the call to the dispatcher.
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
