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
	// extraTries is how many upstreams beyond the route's bound may be tried
	// after ones that surely did not run the request.
	extraTries = 2
	// slowConnect is how long connecting may take before the upstream is doubted:
	// far above a round trip between data centres.
	slowConnect = 200 * time.Millisecond
	// maxAnswerBytes bounds an answer that is read whole.
	maxAnswerBytes = 16 << 20
)

// try is one sending of a request, as the log shows it.
type try struct {
	Upstream string `json:"upstream"`
	Addr     string `json:"addr"`
	InFlight int    `json:"in_flight"`
	Keeper   string `json:"keeper,omitempty"`
	WaitMS   int64  `json:"foreseen_ms,omitempty"`
	SentMS   int64  `json:"sent_ms"`
	HeadMS   int64  `json:"head_ms,omitempty"`
	FirstMS  int64  `json:"first_event_ms,omitempty"`
	TookMS   int64  `json:"took_ms"`
	Status   int    `json:"status,omitempty"`
	Outcome  string `json:"outcome"`
	Error    string `json:"error,omitempty"`
}

// result is how one sending ended.
type result uint8

const (
	// ended: the caller has its final answer.
	ended result = iota
	// notRun: the upstream surely did not run the request.
	notRun
	// unknown: the upstream may have run the request.
	unknown
	// inputGone: the upstream surely did not run the request, since a stage's
	// result no longer exists.
	inputGone
)

// sendUntilEnded sends the request to one upstream after another until once
// has ended it, or no other may be tried.
func (x *exchange) sendUntilEnded(once func(chosen instance.Status, ticket placement.Ticket) result) {
	var tried []instance.ID
	runs := 0
	for {
		if x.ctx.Err() != nil {
			x.giveUp("deadline_before_upstream")
			return
		}
		chosen, ticket, found := x.choose(tried)
		if !found {
			x.giveUp("no_upstream")
			return
		}
		if len(tried) > 0 && !x.config.Retries.AllowRetry(x.service, time.Now()) {
			x.giveUp("retry_budget")
			return
		}
		tried = append(tried, chosen.ID)
		switch once(chosen, ticket) {
		case ended:
			return
		case notRun:
		case inputGone:
			if !x.redoStages() {
				x.giveUp("inputs_gone")
				return
			}
			tried = nil
		case unknown:
			x.mayRun = true
			runs++
			if !x.route.Repeatable() || runs >= x.route.MaxUpstreams {
				x.giveUp("upstream_failed")
				return
			}
		}
		if len(tried) >= x.route.MaxUpstreams+extraTries {
			x.giveUp("tries_used_up")
			return
		}
	}
}

// choose picks the next upstream. The ticket is that of an engine.
func (x *exchange) choose(tried []instance.ID) (instance.Status, placement.Ticket, bool) {
	if !x.needsEngine() {
		all := x.config.Instances.Service(x.service, time.Now())
		chosen, found := balance.ChooseUpstream(all, balance.Need{PreferredDataCentre: x.config.DataCentre, Tried: tried}, x.random)
		return chosen, placement.Ticket{}, found
	}
	need := placement.Need{
		RequestID: x.request.ID, Service: x.service, Parts: x.request.Prompt.Parts,
		Tokens: x.request.Prompt.Tokens, ExpectedOutputTokens: x.output(), Tried: tried,
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

// home is the data centre of the engine that is likely to run the request.
func (x *exchange) home() host.DataCentre {
	if !x.needsEngine() {
		return ""
	}
	return placement.HomeDataCentre(x.config.Instances.Service(x.service, time.Now()), x.request.Prompt.Parts)
}

// output is how many tokens are expected to be made.
func (x *exchange) output() int {
	if x.request.Prompt.OutputHint > 0 {
		return x.request.Prompt.OutputHint
	}
	return x.request.Prompt.MaxOutputTokens
}

// cost is the memory in tokens that a request takes of an engine.
func (x *exchange) cost() int { return x.request.Prompt.Tokens + x.output() }

// sending is one request under way to one upstream.
type sending struct {
	*exchange
	ctx     context.Context // of this sending alone
	chosen  instance.Status
	ticket  placement.Ticket
	begun   time.Time
	head    time.Duration // to the head of the answer
	first   time.Duration // to the first event
	answer  *call.Answer
	closing func()
	use     *instance.Use // nil if the upstream left before the sending began
}

// send sends the request and reads the head of the answer. A nil sending was
// not answered; the result says what that means.
func (x *exchange) send(ctx context.Context, chosen instance.Status, ticket placement.Ticket, lastEvent int64) (*sending, result) {
	s := &sending{exchange: x, ctx: ctx, chosen: chosen, ticket: ticket, begun: time.Now()}
	var begun bool
	if s.use, begun = x.config.Instances.Begin(chosen.ID, x.cost()); !begun {
		s.over(instance.Abandoned, 0, "left")
		return nil, notRun
	}
	attempt := call.Attempt{
		Upstream:  call.Upstream{ID: string(chosen.ID), Addr: chosen.Addr},
		Remaining: x.deadline.Sub(s.begun),
		Workspace: x.workspace,
		LastEvent: lastEvent,
		Priority:  x.enginePriority(),
	}
	if x.inputs != nil {
		attempt.Inputs = x.inputs.Inputs
	}
	got, err := x.config.Transport.Do(ctx, &transport.Call{
		Addr: chosen.Addr, Method: x.request.Method, Target: x.request.Target, Host: x.request.Host,
		Header: x.config.Codec.EncodeRequest(x.request, attempt),
		Body:   x.request.Body, Chunked: x.request.Chunked,
		Mine:  x.isMine,
		Idle:  x.config.Codec.IdleTimeout,
		Fresh: !x.route.Repeatable(),
	})
	if err != nil {
		return nil, s.broken(err)
	}
	s.answer = x.config.Codec.DecodeAnswer(got.Response)
	s.answer.Body = got.Body
	s.closing = got.Close
	s.head = time.Since(s.begun)
	return s, s.judgeHead()
}

// enginePriority is the rank at an engine.
func (x *exchange) enginePriority() int {
	return min(max(x.priority+enginePriorityBase, 0), 9)
}

// enginePriorityBase puts the three usual priorities around the rank that
// requests without one have.
const enginePriorityBase = 4

// isMine says whether an answer is to this request. Refusals may name none.
func (x *exchange) isMine(r *http.Response) bool {
	a := x.config.Codec.DecodeAnswer(r)
	if a.RequestID == "" {
		return !a.Signed
	}
	return a.RequestID == x.request.ID
}

// judgeHead takes an answer apart by what its head says.
func (s *sending) judgeHead() result {
	a := s.answer
	switch {
	case a.NotRun:
		return s.refused()
	case !a.Signed || a.Encoded:
		s.over(instance.Broke, a.Status, "unsigned")
		return unknown
	default:
		return ended
	}
}

// refused judges an answer that says that the request did not run.
func (s *sending) refused() result {
	switch {
	case s.answer.InputGone:
		s.over(instance.Abandoned, s.answer.Status, "input_gone")
		return inputGone
	case s.answer.WrongUpstream:
		s.over(instance.Unreachable, s.answer.Status, "wrong_upstream")
		s.config.Transport.Forget(s.chosen.Addr)
	default:
		s.over(instance.Failed, s.answer.Status, "not_run")
	}
	return notRun
}

// broken judges a sending that had no answer.
func (s *sending) broken(err error) result {
	switch {
	case errors.Is(err, transport.ErrNotSent) && s.ctx.Err() != nil && time.Since(s.begun) < slowConnect:
		// The end of the request cut the connecting short.
		s.overWith(instance.Abandoned, "given_up", err)
		return notRun
	case errors.Is(err, transport.ErrNotSent):
		s.overWith(instance.Unreachable, "not_sent", err)
		return notRun
	default:
		return s.lost("broke", err)
	}
}

// lost judges a sending whose answer did not come, or not whole.
func (s *sending) lost(what string, err error) result {
	switch {
	case s.exchange.ctx.Err() != nil:
		s.overWith(instance.Abandoned, "given_up", err)
	case errors.Is(context.Cause(s.ctx), errDead):
		s.overWith(instance.Unreachable, "dark", errDead)
		go s.confirmLoss(s.digest, s.chosen)
	case s.ctx.Err() != nil:
		s.overWith(instance.Broke, "stalled", errStalled)
	default:
		s.overWith(instance.Broke, what, err)
		go s.confirmLoss(s.digest, s.chosen)
	}
	return unknown
}

// body reads the whole answer.
func (s *sending) body() ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(s.answer.Body, maxAnswerBytes+1))
	if err == nil && len(raw) > maxAnswerBytes {
		err = Error.New("answer is over %d bytes", maxAnswerBytes)
	}
	return raw, err
}

// over closes a sending and takes in what it tells of the upstream.
func (s *sending) over(outcome instance.Outcome, status int, what string) {
	s.record(outcome, status, what, nil)
}

func (s *sending) overWith(outcome instance.Outcome, what string, err error) {
	s.record(outcome, 0, what, err)
}

func (s *sending) record(outcome instance.Outcome, status int, what string, err error) {
	now := time.Now()
	if s.closing != nil {
		s.closing()
	}
	s.ticket.End()
	s.use.End(outcome, now.Sub(s.begun), now)
	s.config.Metrics.try(s.service, what)
	t := try{
		Upstream: string(s.chosen.ID), Addr: s.chosen.Addr.String(), InFlight: s.chosen.InFlight,
		Keeper: s.ticket.Owner, WaitMS: s.ticket.Wait.Milliseconds(),
		SentMS: s.begun.Sub(s.request.Arrived).Milliseconds(), TookMS: now.Sub(s.begun).Milliseconds(),
		HeadMS: s.head.Milliseconds(), FirstMS: s.first.Milliseconds(), Status: status, Outcome: what,
	}
	if err != nil {
		t.Error = err.Error()
	}
	s.tries = append(s.tries, t)
}
