package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/transport"
)

const (
	// slowConnectTime is how long connecting must have taken for the upstream to
	// count as unreachable when this host ends the attempt before the connection
	// is made. It is far above the round trip between data centres.
	slowConnectTime = 200 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer that is not streamed.
	maxAnswerBytes = 16 << 20
)

// attemptPlan is what an attempt needs to know before it chooses an upstream.
type attemptPlan struct {
	// tried are the upstreams that must not be chosen again.
	tried []instance.ID
	// version is the software version that the upstream must have; "" means any.
	version string
	// retry is true if the request was sent to an upstream before. Such an attempt
	// needs an allowance of the retry budget.
	retry bool
	// lastEvent is the ID of the last event that the caller has, or call.NoEvent.
	lastEvent int64
	// after, if not nil, is closed when it is known whether the upstream of an earlier
	// attempt has crashed. The attempt waits for it.
	after <-chan struct{}
	// firstEventBy is when the upstream must have sent its first event. It bounds the
	// stages if they have to run again.
	firstEventBy time.Time
	random       *rand.Rand
}

// upstreamAttempt is one attempt to have one upstream run the request. Its own
// goroutine talks to the upstream and reports to the race, which decides and ends it.
type upstreamAttempt struct {
	*race
	plan    attemptPlan
	ctx     context.Context // of this attempt only
	cancel  context.CancelCauseFunc
	monitor *silenceMonitor
	// silences counts the silences that the monitor reported since the caller last got an event
	// of the attempt. Only the race's goroutine uses it.
	silences int
	// resumed means that since its latest silence the upstream has sent comments, or events that
	// the caller did not get from it. Only the race's goroutine uses it.
	resumed bool
	// failedProbes is how many probes in a row failed. Only the race's goroutine uses it.
	failedProbes int
	// events is how many events the race has received. Only the race's goroutine uses it.
	events int
	// The next four are of a standby; only the race's goroutine uses them. passedOver means
	// that another attempt was preferred, lastID is the highest ID of an event, buffered what the
	// caller has not got, and completed the answer if all of it has arrived.
	passedOver bool
	lastID     int64
	buffered   []bufferedEvent
	completed  *call.Answer
	// unconsumed holds one item for each event that is being read or was not consumed.
	unconsumed chan struct{}
	inputsSent *staging.Results // results of the stages that the upstream is sent
	// partsRefusedUntil is when a condemned part of the prompt may be tried again; zero
	// unless one kept the attempt from beginning.
	partsRefusedUntil time.Time

	mu             sync.Mutex // guards the fields below
	ended          bool       // the race no longer needs this attempt
	begun          bool       // an upstream was chosen
	chosen         instance.Status
	ticket         placement.Ticket
	use            *instance.Use // nil if the upstream left before the attempt began
	sentAt         time.Time
	headTime       time.Duration // time to the status and headers of the answer
	firstEventTime time.Duration // time to the first event; 0 before it
	lastHeardAt    time.Time     // when the upstream last sent something; the zero value if it never did
	sentDirectly   bool          // the request was sent on a direct connection
	peer           string        // host through which the request was sent; "" for none
}

// newAttempt returns an attempt that has not begun.
func (r *race) newAttempt(plan attemptPlan) *upstreamAttempt {
	s := &upstreamAttempt{race: r, plan: plan, lastID: call.NoEvent, unconsumed: make(chan struct{}, maxBufferedEvents)}
	ctx := r.ctx
	// A call that may run only once is not cancelled when its caller leaves, since it
	// may already be running.
	if r.route.Kind == routing.AtMostOnce {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := context.WithDeadline(ctx, r.deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	unwatch := context.AfterFunc(r.stopped, stop)
	s.ctx, s.cancel = ctx, func(cause error) { unwatch(); cancel(cause); stop() }
	return s
}

// run makes the attempt and reports its progress and its end.
func (s *upstreamAttempt) run() {
	defer s.recoverPanic()
	if problem := s.choose(); problem != "" {
		s.report(report{kind: notStarted, problem: problem})
		return
	}
	if !s.isBegun() {
		s.report(report{kind: attemptEnded, result: notRun, outcome: instance.Abandoned, label: "left", withheld: true})
		return
	}
	answer, err := s.send()
	if err != nil {
		s.report(s.sendFailure(err))
		return
	}
	defer answer.Close()
	decoded := s.config.Codec.DecodeAnswer(answer.Response)
	decoded.Body = answer.Body
	if failed, unusable := s.checkHead(decoded); unusable {
		s.report(failed)
		return
	}
	if s.route.Kind == routing.Stream && decoded.Status == http.StatusOK {
		s.readEvents(decoded, answer)
		return
	}
	body, err := s.readAnswer(decoded, answer.ContentLength)
	if errors.Is(err, memory.ErrFull) {
		s.report(report{kind: attemptEnded, result: outcomeUnknown, outcome: instance.Abandoned, status: decoded.Status, label: "no_memory_for_answer", err: err})
		return
	}
	if err != nil {
		s.report(s.lostAnswer("broke_in_body", err))
		return
	}
	answer.Close()
	s.report(report{kind: answerArrived, answer: decoded, body: body})
}

// recoverPanic ends the attempt after a panic, as net/http does for a request's own
// goroutine.
func (s *upstreamAttempt) recoverPanic() {
	if cause := recover(); cause != nil {
		s.config.Logger.Error("attempt panicked", "request", s.request.ID, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		s.report(report{kind: attemptEnded, result: outcomeUnknown, outcome: instance.Abandoned, label: "panicked"})
	}
}

// choose chooses an upstream and counts the request there, after running the stages
// again if their results are gone. It returns why there is none, or "".
func (s *upstreamAttempt) choose() (problem string) {
	inputs := s.stageResults()
	if inputs == nil && s.stagePlan != nil {
		var err error
		if inputs, err = s.runStagesUntil(s.ctx, s.plan.firstEventBy, s.plan.version); err != nil {
			return "inputs_gone"
		}
		if !s.keep(inputs) {
			return "superseded"
		}
	}
	s.inputsSent = inputs
	if s.plan.after != nil {
		select {
		case <-s.plan.after:
		case <-s.ctx.Done():
		}
	}
	if until, refused := s.partsRefused(s.ctx); refused {
		s.partsRefusedUntil = until
		return "part_quarantined"
	}
	chosen, ticket, found := s.chooseUpstream(s.ctx, s.plan, inputs)
	switch {
	case !found:
		return "no_upstream"
	case s.plan.retry && !s.config.Retries.AllowRetry(s.service, time.Now()):
		ticket.ReportEnd()
		return "retry_budget"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		ticket.ReportEnd()
		return "superseded"
	}
	s.begun, s.chosen, s.ticket, s.sentAt = true, chosen, ticket, time.Now()
	s.use, _ = s.config.Instances.Begin(chosen.ID, s.tokenCost())
	s.monitor = s.newSilenceMonitor(chosen)
	s.monitor.start()
	return ""
}

// keep stores the results of the stages for the request. It returns false, and frees
// them, if the attempt has already ended.
func (s *upstreamAttempt) keep(inputs *staging.Results) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		inputs.Free()
		return false
	}
	s.replaceInputs(inputs)
	return true
}

// isBegun reports whether the request counts as running on the chosen upstream. If
// not, the upstream has left since it was chosen.
func (s *upstreamAttempt) isBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.use != nil
}

// send sends the request and waits for the status and headers of the answer.
func (s *upstreamAttempt) send() (*transport.Answer, error) {
	attempt := call.Attempt{
		Upstream:  call.Upstream{ID: string(s.chosen.ID), Addr: s.chosen.Addr},
		Remaining: s.deadline.Sub(s.sentAt),
		Workspace: s.workspace,
		LastEvent: s.plan.lastEvent,
		Priority:  s.enginePriority(),
	}
	if s.inputsSent != nil {
		attempt.Inputs = s.inputsSent.Inputs
	}
	answer, err := s.config.Transport.Do(s.ctx, &transport.Call{
		Addr: s.chosen.Addr, Upstream: s.chosen.Process(), Method: s.request.Method, Target: s.request.Target, Host: s.request.Host,
		Header: s.config.Codec.EncodeRequest(s.request, attempt),
		Body:   s.request.Body, Chunked: s.request.Chunked,
		Matches:       s.isMine,
		IdleTimeout:   s.config.Codec.IdleTimeout,
		NewConnection: !s.route.Repeatable(),
		Admit:         func() bool { return !s.partsCondemned() },
		Connected:     s.recordPath,
	})
	if err == nil {
		s.mu.Lock()
		s.lastHeardAt = time.Now()
		s.headTime = s.lastHeardAt.Sub(s.sentAt)
		s.mu.Unlock()
	}
	return answer, err
}

// recordPath records how the request is sent: through a host, or directly if peer is "".
func (s *upstreamAttempt) recordPath(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentDirectly, s.peer = peer == "", peer
}

// hasLostPath reports whether the attempt's connection is direct, while a new one to its
// upstream could only be opened through a host, probePeer.
func (s *upstreamAttempt) hasLostPath(probePeer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sentDirectly && probePeer != ""
}

// checkHead returns the report that ends the attempt if the answer's status and
// headers say that the request did not run, or if the answer can't be used.
func (s *upstreamAttempt) checkHead(a *call.Answer) (failed report, unusable bool) {
	failed = report{kind: attemptEnded, result: notRun, status: a.Status, outcome: instance.Failed, label: "not_run"}
	switch {
	case a.NotRun && a.InputGone:
		failed.result, failed.outcome, failed.label = inputGone, instance.Abandoned, "input_gone"
	case a.NotRun && a.WrongUpstream:
		failed.outcome, failed.label = instance.Unreachable, "wrong_upstream"
		s.config.Transport.CloseIdle(s.chosen.Addr)
	case a.NotRun:
	case !a.Signed || a.Encoded:
		failed.result, failed.outcome, failed.label = outcomeUnknown, instance.Broke, "unsigned"
	default:
		return report{}, false
	}
	return failed, true
}

// sendFailure returns the report of an attempt that got no answer.
func (s *upstreamAttempt) sendFailure(err error) report {
	notSent := report{kind: attemptEnded, result: notRun, err: err}
	switch {
	case errors.Is(err, transport.ErrWithheld):
		notSent.outcome, notSent.label, notSent.withheld = instance.Abandoned, "paused", true
		if s.config.Instances.IsEvacuated(s.chosen.DataCentre) {
			notSent.label = "evacuated"
		}
		if s.partsCondemned() {
			notSent.label = "part_quarantined"
		}
		return notSent
	case errors.Is(err, transport.ErrNotSent) && s.ctx.Err() != nil && time.Since(s.sentAt) < slowConnectTime:
		// This host ended the attempt soon after it began to connect, which says
		// nothing about the upstream.
		notSent.outcome, notSent.label = instance.Abandoned, "given_up"
		return notSent
	case errors.Is(err, transport.ErrNotSent):
		notSent.outcome, notSent.label = instance.Unreachable, "not_sent"
		return notSent
	default:
		return s.lostAnswer("broke", err)
	}
}

// lostAnswer returns the report of an attempt whose answer did not arrive, or not
// completely.
func (s *upstreamAttempt) lostAnswer(label string, err error) report {
	lost := report{kind: attemptEnded, result: outcomeUnknown, outcome: instance.Broke, label: label, err: err}
	switch {
	case errors.Is(context.Cause(s.ctx), errUnreachable):
		lost.outcome, lost.label, lost.err = instance.Unreachable, "dark", errUnreachable
	case s.ctx.Err() != nil:
		lost.outcome, lost.label = instance.Abandoned, "given_up"
	default:
		lost.mayHaveCrashed = true
	}
	return lost
}
