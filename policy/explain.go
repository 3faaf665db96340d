package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// maxExplainedRequests bounds the requests whose decisions are kept.
	maxExplainedRequests = 2048
	// maxDecisionsPerRequest bounds the decisions kept for one request.
	maxDecisionsPerRequest = 32
)

// DecisionKind is the kind of a decision.
type DecisionKind string

// The kinds of decision.
const (
	DecisionAdmit    DecisionKind = "admit"
	DecisionRefuse   DecisionKind = "refuse"
	DecisionEstimate DecisionKind = "estimate"
	DecisionChoose   DecisionKind = "choose"
	DecisionOutcome  DecisionKind = "outcome"
	DecisionRetry    DecisionKind = "retry"
	DecisionFallback DecisionKind = "fallback"
	DecisionFinish   DecisionKind = "finish"
)

// Decision is one decision and its inputs. Fields that don't apply are zero.
type Decision struct {
	At       time.Time    `json:"at"`
	Kind     DecisionKind `json:"kind"`
	Stage    string       `json:"stage,omitempty"`
	Upstream upstream.ID  `json:"upstream,omitempty"`
	// Verdict is the result of the decision.
	Verdict string `json:"verdict,omitempty"`
	// Waited is the time in the queue; in an estimate, the expected wait.
	Waited time.Duration `json:"waited_ns,omitempty"`
	// Expected is the expected time of the attempt; in an estimate or a
	// fallback decision, the time that the rest of the request needs.
	Expected time.Duration `json:"expected_ns,omitempty"`
	// Budget is the stage's part of the time left.
	Budget time.Duration `json:"budget_ns,omitempty"`
	// Elapsed is how long an attempt took.
	Elapsed time.Duration `json:"elapsed_ns,omitempty"`
	// Left is the time to the deadline.
	Left time.Duration `json:"left_ns,omitempty"`
	// InFlight is this host's load on the upstream, Others the estimated load
	// from other hosts, and Queued the length of the pool's queue.
	InFlight int     `json:"in_flight,omitempty"`
	Others   float64 `json:"others,omitempty"`
	Queued   int     `json:"queued,omitempty"`
	// Limit is the number of calls that the host may run on the pool at once.
	Limit int  `json:"limit,omitempty"`
	Hedge bool `json:"hedge,omitempty"`
	Probe bool `json:"probe,omitempty"`
}

// Explanation lists the decisions made about one request, in order.
type Explanation struct {
	RequestID string     `json:"request_id"`
	Workspace string     `json:"workspace"`
	Class     string     `json:"class"`
	Pipeline  string     `json:"pipeline"`
	Deadline  time.Time  `json:"deadline"`
	Decisions []Decision `json:"decisions"`
	// Dropped counts the decisions left out beyond maxDecisionsPerRequest.
	Dropped int `json:"dropped,omitempty"`
}

// explanations keeps the explanations of the newest requests in a ring buffer.
type explanations struct {
	ring []*Explanation
	next int
	byID map[string]*Explanation
}

func newExplanations() *explanations {
	return &explanations{
		ring: make([]*Explanation, maxExplainedRequests),
		byID: make(map[string]*Explanation, maxExplainedRequests),
	}
}

func (e *explanations) begin(now time.Time, r *Request) {
	old := e.ring[e.next]
	if old != nil && e.byID[old.RequestID] == old {
		delete(e.byID, old.RequestID)
	}
	x := &Explanation{
		RequestID: r.RequestID, Workspace: r.Workspace, Class: r.Class.Name,
		Pipeline: r.pipelineOrService(), Deadline: r.Deadline,
		Decisions: make([]Decision, 0, 2+2*len(r.Stages)),
	}
	e.ring[e.next] = x
	e.next = (e.next + 1) % maxExplainedRequests
	e.byID[r.RequestID] = x
	e.add(r, Decision{At: now, Kind: DecisionAdmit, Left: r.Deadline.Sub(now)})
}

func (e *explanations) add(r *Request, d Decision) {
	x := e.byID[r.RequestID]
	if x == nil {
		return
	}
	if len(x.Decisions) >= maxDecisionsPerRequest {
		x.Dropped++
		return
	}
	x.Decisions = append(x.Decisions, d)
}

func (e *explanations) refusal(now time.Time, r *Request, refusal *Refusal) {
	e.add(r, Decision{
		At: now, Kind: DecisionRefuse, Stage: refusal.Stage,
		Verdict: string(refusal.Cause), Left: r.Deadline.Sub(now),
	})
}

func (e *explanations) estimate(now time.Time, r *Request, wait, need, left time.Duration) {
	e.add(r, Decision{At: now, Kind: DecisionEstimate, Waited: wait, Expected: need, Left: left})
}

func (e *explanations) choice(now time.Time, a *Attempt, budget time.Duration) {
	call := a.Call
	p := call.pool
	e.add(call.Request, Decision{
		At: now, Kind: DecisionChoose, Stage: call.Request.Stages[call.Stage].Name,
		Upstream: a.Upstream.ID, Waited: now.Sub(call.enqueued), Expected: a.expected,
		Budget: budget, Left: call.Request.Deadline.Sub(now), InFlight: a.state.inFlight(),
		Others: p.loadFromOthers(now, a.state), Queued: p.queue.size, Limit: p.limit.value(),
		Hedge: a.Hedge, Probe: a.Probe,
	})
}

func (e *explanations) outcome(now time.Time, a *Attempt, o Outcome, elapsed time.Duration) {
	call := a.Call
	e.add(call.Request, Decision{
		At: now, Kind: DecisionOutcome, Stage: call.Request.Stages[call.Stage].Name,
		Upstream: a.Upstream.ID, Verdict: o.Failure.String(), Expected: a.expected,
		Elapsed: elapsed, Left: call.Request.Deadline.Sub(now), Hedge: a.Hedge, Probe: a.Probe,
	})
}

func (e *explanations) retry(now time.Time, r *Request, stage int, f Failure, granted bool) {
	verdict := "no_budget after " + f.String()
	if granted {
		verdict = "again after " + f.String()
	}
	e.add(r, Decision{
		At: now, Kind: DecisionRetry, Stage: r.Stages[stage].Name, Verdict: verdict,
		Left: r.Deadline.Sub(now),
	})
}

func (e *explanations) fallback(now time.Time, r *Request, stage int, need, left time.Duration, take bool) {
	verdict := "keep"
	if take {
		verdict = "take"
	}
	e.add(r, Decision{
		At: now, Kind: DecisionFallback, Stage: r.Stages[stage].Name, Verdict: verdict,
		Expected: need, Left: left,
	})
}

func (e *explanations) finish(now time.Time, r *Request, f Result) {
	verdict := "failed"
	switch {
	case f.Complete && f.InTime:
		verdict = "whole, in time"
	case f.Complete:
		verdict = "whole, late"
	}
	e.add(r, Decision{
		At: now, Kind: DecisionFinish, Verdict: verdict,
		Elapsed: now.Sub(r.admitted), Left: r.Deadline.Sub(now),
	})
}

// Explain returns a copy of the decisions made about a request.
func (c *Core) Explain(requestID string) (Explanation, bool) {
	x := c.explanations.byID[requestID]
	if x == nil {
		return Explanation{}, false
	}
	copied := *x
	copied.Decisions = append([]Decision(nil), x.Decisions...)
	return copied, true
}
