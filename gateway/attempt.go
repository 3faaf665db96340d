package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/transport"
)

const (
	// maxExtraAttempts is how many attempts beyond the route's limit are
	// allowed after upstreams that certainly did not run the request.
	maxExtraAttempts = 2
	// slowConnectTime is how long connecting must have taken for the upstream to
	// count as unreachable when this host ends the attempt before the connection
	// is made. It is far above the round trip between data centres.
	slowConnectTime = 200 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer that is not streamed.
	maxAnswerBytes = 16 << 20
)

// attemptRecord describes one attempt in the request's log line.
type attemptRecord struct {
	Upstream        string `json:"upstream"`
	Addr            string `json:"addr"`
	InFlight        int    `json:"in_flight"`
	Owner           string `json:"keeper,omitempty"`
	EstimatedWaitMS int64  `json:"foreseen_ms,omitempty"`
	SentMS          int64  `json:"sent_ms"`
	HeadMS          int64  `json:"head_ms,omitempty"`
	FirstEventMS    int64  `json:"first_event_ms,omitempty"`
	TookMS          int64  `json:"took_ms"`
	Status          int    `json:"status,omitempty"`
	Outcome         string `json:"outcome"`
	Error           string `json:"error,omitempty"`
}

// attemptResult is how one attempt ended.
type attemptResult uint8

const (
	// callerAnswered: the caller has its final answer, or has left. From send
	// it only means that the answer can be read.
	callerAnswered attemptResult = iota
	// notRun: the upstream certainly did not run the request.
	notRun
	// outcomeUnknown: the upstream may have run the request.
	outcomeUnknown
	// inputGone: the upstream certainly did not run the request, because a
	// stage's result no longer exists.
	inputGone
)

// runAttempts makes attempts on one upstream after another until the caller is
// answered or no further attempt is allowed.
func (x *exchange) runAttempts(attempt func(chosen instance.Status, ticket placement.Ticket) attemptResult) {
	var tried []instance.ID
	possibleRuns := 0
	for {
		if x.ctx.Err() != nil {
			x.giveUp("deadline_before_upstream")
			return
		}
		chosen, ticket, found := x.chooseUpstream(tried)
		if !found {
			x.giveUp("no_upstream")
			return
		}
		if len(tried) > x.withheld && !x.config.Retries.AllowRetry(x.service, time.Now()) {
			x.giveUp("retry_budget")
			return
		}
		tried = append(tried, chosen.ID)
		switch attempt(chosen, ticket) {
		case callerAnswered:
			return
		case notRun:
		case inputGone:
			if !x.redoStages() {
				x.giveUp("inputs_gone")
				return
			}
			tried, x.withheld = nil, 0
		case outcomeUnknown:
			x.mayHaveRun = true
			possibleRuns++
			if !x.route.Repeatable() || possibleRuns >= x.route.MaxUpstreams {
				x.giveUp("upstream_failed")
				return
			}
		}
		if len(tried)-x.withheld >= x.route.MaxUpstreams+maxExtraAttempts {
			x.giveUp("tries_used_up")
			return
		}
	}
}

// chooseUpstream chooses the next upstream. The ticket is empty unless the
// upstream is an engine.
func (x *exchange) chooseUpstream(tried []instance.ID) (instance.Status, placement.Ticket, bool) {
	if !x.needsEngine() {
		all := x.config.Instances.Service(x.service, time.Now())
		chosen, found := balance.ChooseUpstream(all, balance.Need{PreferredDataCentre: x.config.DataCentre, Tried: tried}, x.random)
		return chosen, placement.Ticket{}, found
	}
	need := placement.Need{
		RequestID: x.request.ID, Service: x.service, Parts: x.request.Prompt.Parts,
		Tokens: x.request.Prompt.Tokens, ExpectedOutputTokens: x.expectedOutputTokens(), Tried: tried,
	}
	if x.inputs != nil {
		need.Inputs = x.inputs.Bytes
	}
	ticket, found := x.config.Placer.Place(x.ctx, need, x.random)
	return ticket.Engine, ticket, found
}

func (x *exchange) needsEngine() bool {
	s, known := x.table.Service(x.service)
	return known && s.Engine != nil
}

// engineDataCentre returns the data centre of the engine that is likely to run
// the request; "" if the service has no engines.
func (x *exchange) engineDataCentre() host.DataCentre {
	if !x.needsEngine() {
		return ""
	}
	return placement.HomeDataCentre(x.config.Instances.Service(x.service, time.Now()), x.request.Prompt.Parts)
}

// expectedOutputTokens estimates the number of generated tokens.
func (x *exchange) expectedOutputTokens() int {
	if x.request.Prompt.OutputHint > 0 {
		return x.request.Prompt.OutputHint
	}
	return x.request.Prompt.MaxOutputTokens
}

// tokenCost is the engine memory that the request needs, in tokens.
func (x *exchange) tokenCost() int { return x.request.Prompt.Tokens + x.expectedOutputTokens() }

// upstreamAttempt is one attempt to have one upstream run the request.
type upstreamAttempt struct {
	*exchange
	ctx            context.Context // of this attempt only
	chosen         instance.Status
	ticket         placement.Ticket
	sentAt         time.Time
	headTime       time.Duration // time to the status and headers of the answer
	firstEventTime time.Duration // time to the first event
	answer         *call.Answer
	closeBody      func()
	use            *instance.Use // nil if the upstream left before the attempt began
}

// send sends the request and reads the status and headers of the answer. If the
// result is callerAnswered, the answer can be read; otherwise the attempt has
// ended, and the returned attempt is nil if no answer arrived.
func (x *exchange) send(ctx context.Context, chosen instance.Status, ticket placement.Ticket, lastEvent int64) (*upstreamAttempt, attemptResult) {
	s := &upstreamAttempt{exchange: x, ctx: ctx, chosen: chosen, ticket: ticket, sentAt: time.Now()}
	var begun bool
	if s.use, begun = x.config.Instances.Begin(chosen.ID, x.tokenCost()); !begun {
		x.withheld++
		s.end(instance.Abandoned, 0, "left")
		return nil, notRun
	}
	attempt := call.Attempt{
		Upstream:  call.Upstream{ID: string(chosen.ID), Addr: chosen.Addr},
		Remaining: x.deadline.Sub(s.sentAt),
		Workspace: x.workspace,
		LastEvent: lastEvent,
		Priority:  x.enginePriority(),
	}
	if x.inputs != nil {
		attempt.Inputs = x.inputs.Inputs
	}
	got, err := x.config.Transport.Do(ctx, &transport.Call{
		Addr: chosen.Addr, Upstream: chosen.Process(), Method: x.request.Method, Target: x.request.Target, Host: x.request.Host,
		Header: x.config.Codec.EncodeRequest(x.request, attempt),
		Body:   x.request.Body, Chunked: x.request.Chunked,
		Matches:       x.isMine,
		IdleTimeout:   x.config.Codec.IdleTimeout,
		NewConnection: !x.route.Repeatable(),
	})
	if err != nil {
		return nil, s.handleSendError(err)
	}
	s.answer = x.config.Codec.DecodeAnswer(got.Response)
	s.answer.Body = got.Body
	s.closeBody = got.Close
	s.headTime = time.Since(s.sentAt)
	return s, s.checkHead()
}

// enginePriority converts the request's priority to an engine's scale of 0 to 9.
func (x *exchange) enginePriority() int {
	return min(max(x.priority+enginePriorityBase, 0), 9)
}

// enginePriorityBase is the priority that engines give to requests without one;
// the three usual priorities lie around it.
const enginePriorityBase = 4

// isMine reports whether an answer belongs to this request. An unsigned answer,
// such as a refusal, may name no request.
func (x *exchange) isMine(r *http.Response) bool {
	a := x.config.Codec.DecodeAnswer(r)
	if a.RequestID == "" {
		return !a.Signed
	}
	return a.RequestID == x.request.ID
}

// checkHead ends the attempt if the answer's status and headers say that the
// request did not run, or if the answer can't be used.
func (s *upstreamAttempt) checkHead() attemptResult {
	a := s.answer
	switch {
	case a.NotRun:
		return s.handleNotRun()
	case !a.Signed || a.Encoded:
		s.end(instance.Broke, a.Status, "unsigned")
		return outcomeUnknown
	default:
		return callerAnswered
	}
}

// handleNotRun ends an attempt whose answer says that the request did not run.
func (s *upstreamAttempt) handleNotRun() attemptResult {
	switch {
	case s.answer.InputGone:
		s.end(instance.Abandoned, s.answer.Status, "input_gone")
		return inputGone
	case s.answer.WrongUpstream:
		s.end(instance.Unreachable, s.answer.Status, "wrong_upstream")
		s.config.Transport.CloseIdle(s.chosen.Addr)
	default:
		s.end(instance.Failed, s.answer.Status, "not_run")
	}
	return notRun
}

// handleSendError ends an attempt that got no answer.
func (s *upstreamAttempt) handleSendError(err error) attemptResult {
	switch {
	case errors.Is(err, transport.ErrWithheld):
		s.withheld++
		s.endWithError(instance.Abandoned, "paused", err)
		return notRun
	case errors.Is(err, transport.ErrNotSent) && s.ctx.Err() != nil && time.Since(s.sentAt) < slowConnectTime:
		// This host ended the attempt soon after it began to connect, which says
		// nothing about the upstream.
		s.endWithError(instance.Abandoned, "given_up", err)
		return notRun
	case errors.Is(err, transport.ErrNotSent):
		s.endWithError(instance.Unreachable, "not_sent", err)
		return notRun
	default:
		return s.handleLostAnswer("broke", err)
	}
}

// handleLostAnswer ends an attempt whose answer did not arrive, or not completely.
func (s *upstreamAttempt) handleLostAnswer(label string, err error) attemptResult {
	switch {
	case s.exchange.ctx.Err() != nil:
		s.endWithError(instance.Abandoned, "given_up", err)
	case errors.Is(context.Cause(s.ctx), errUnreachable):
		s.endWithError(instance.Unreachable, "dark", errUnreachable)
		go s.confirmCrash(s.digest, s.chosen)
	case s.ctx.Err() != nil:
		s.endWithError(instance.Broke, "stalled", errStalled)
	default:
		s.endWithError(instance.Broke, label, err)
		go s.confirmCrash(s.digest, s.chosen)
	}
	return outcomeUnknown
}

// readAnswerBody reads the complete body of the answer.
func (s *upstreamAttempt) readAnswerBody() ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(s.answer.Body, maxAnswerBytes+1))
	if err == nil && len(raw) > maxAnswerBytes {
		err = Error.New("answer body is over %d bytes", maxAnswerBytes)
	}
	return raw, err
}

// end closes the attempt and records its outcome for the upstream, the metrics
// and the log.
func (s *upstreamAttempt) end(outcome instance.Outcome, status int, label string) {
	s.recordEnd(outcome, status, label, nil)
}

func (s *upstreamAttempt) endWithError(outcome instance.Outcome, label string, err error) {
	s.recordEnd(outcome, 0, label, err)
}

func (s *upstreamAttempt) recordEnd(outcome instance.Outcome, status int, label string, err error) {
	now := time.Now()
	if s.closeBody != nil {
		s.closeBody()
	}
	s.ticket.ReportEnd()
	s.use.End(outcome, now.Sub(s.sentAt), now)
	s.config.Metrics.countAttempt(s.service, label)
	record := attemptRecord{
		Upstream: string(s.chosen.ID), Addr: s.chosen.Addr.String(), InFlight: s.chosen.InFlight,
		Owner: s.ticket.Owner, EstimatedWaitMS: s.ticket.Wait.Milliseconds(),
		SentMS: s.sentAt.Sub(s.request.Arrived).Milliseconds(), TookMS: now.Sub(s.sentAt).Milliseconds(),
		HeadMS: s.headTime.Milliseconds(), FirstEventMS: s.firstEventTime.Milliseconds(), Status: status, Outcome: label,
	}
	if err != nil {
		record.Error = err.Error()
	}
	s.attempts = append(s.attempts, record)
}
