package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// Request is an admitted request.
type Request struct {
	Arrival
	docIndex *documentIndex
	admitted time.Time
	// attempts counts the attempts by stage, unsent those of them that reached no upstream.
	attempts, unsent []int
	// committed is the expected upstream time by stage that still counts in the
	// pool's committed work.
	committed []time.Duration
	// charges are the costs of the successful attempts so far.
	charges []charge
	done    bool
}

// Call is one stage of a request in the queue of its pool.
type Call struct {
	Request *Request
	Stage   int
	// Expires is when it becomes useless to start the call.
	Expires time.Time
	// riskyAfter is when the call gets at risk of missing the deadline. From
	// then on it is dropped if other calls of its class wait.
	riskyAfter time.Time
	avoid      []upstream.ID
	pool       *pool
	// expectedTime is the expected time on an upstream.
	expectedTime time.Duration
	enqueued     time.Time
	sequence     uint64
	flow         *flow
	index        int
}

// Pool returns the name of the pool that the call waits for.
func (call *Call) Pool() string { return call.pool.name }

// StageName returns the name of the stage.
func (call *Call) StageName() string { return call.Request.Stages[call.Stage].Name }

// Tokens returns an upper estimate of the request's tokens: its input once, and
// the maximum output of each stage.
func (r *Request) Tokens() int {
	tokens := r.InputTokens
	for i := range r.Stages {
		tokens += r.Stages[i].MaxTokens
	}
	return tokens
}

// Attempt is one execution of a call on an upstream.
type Attempt struct {
	Call     *Call
	Upstream upstream.Upstream
	Started  time.Time
	// Deadline is when the attempt becomes useless.
	Deadline time.Time
	Hedge    bool
	Probe    bool
	state    *upstreamState
	expected time.Duration
	done     bool
}

// Waited returns the time that the call spent in the queue.
func (a *Attempt) Waited() time.Duration { return a.Started.Sub(a.Call.enqueued) }

// slowness returns the ratio of a duration to the expected one.
func (a *Attempt) slowness(elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(a.expected, time.Millisecond))
}
