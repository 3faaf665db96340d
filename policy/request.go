package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// Request is an admitted request.
type Request struct {
	Arrival
	terms    *terms
	admitted time.Time
	// attempts counts the attempts of each stage.
	attempts []int
	// committed is the work in each stage's pool that is still ahead.
	committed []time.Duration
	// spent is the cost of the attempts that helped so far.
	spent []charge
	done  bool
}

// Call is a stage of a request that waits for a slot.
type Call struct {
	Request *Request
	Stage   int
	// Expires is when starting the call is no longer of use.
	Expires time.Time
	// doubtful is when the call would rather miss than not; from then on it
	// gives way while others wait.
	doubtful time.Time
	avoid    []upstream.ID
	pool     *pool
	// cost is the expected time on an upstream.
	cost     time.Duration
	enqueued time.Time
	sequence uint64
	flow     *flow
	index    int
}

// Pool names the pool that the call waits for.
func (call *Call) Pool() string { return call.pool.name }

// StageName names the stage.
func (call *Call) StageName() string { return call.Request.Stages[call.Stage].Name }

// Tokens estimates what the request takes: its input once, and the most that
// its stages may produce.
func (r *Request) Tokens() int {
	tokens := r.InputTokens
	for i := range r.Stages {
		tokens += r.Stages[i].MaxTokens
	}
	return tokens
}

// Attempt is one call that was given to an upstream.
type Attempt struct {
	Call     *Call
	Upstream upstream.Upstream
	Started  time.Time
	// Deadline is when the attempt is no longer of use.
	Deadline time.Time
	Hedge    bool
	Probe    bool
	server   *server
	expected time.Duration
	done     bool
}

// Waited is the time from the call's queueing to its start.
func (a *Attempt) Waited() time.Duration { return a.Started.Sub(a.Call.enqueued) }

// ratio compares a time with the expected one.
func (a *Attempt) ratio(elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(a.expected, time.Millisecond))
}
