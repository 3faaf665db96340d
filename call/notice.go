package call

import "time"

// Notice is what an upstream says about itself in an answer, whichever call it
// answers.
type Notice struct {
	// Leaving means that the process must get no new work.
	Leaving bool
	// Pause is how long the process wants no request from this host; 0 if it has
	// not asked for a pause.
	Pause time.Duration
	// Limited means that the process names a limit of its own, Limit: how many requests
	// a second, possibly below one, it takes from all hosts together.
	Limited bool
	Limit   float64
	// Brittle means that the upstreams of the process's service fall over when one of them
	// must turn more than MaxRejections requests away within a second.
	Brittle       bool
	MaxRejections int
	// WarmupLeft is for how long the process is still cold; 0 if it does not say so.
	// InvalidWarmup means that it stated a time out of bounds, which was ignored or capped.
	WarmupLeft    time.Duration
	InvalidWarmup bool
	// Load is the process's load if HasLoad is set. MalformedLoad means that the answer
	// names one that is not valid.
	Load          Load
	HasLoad       bool
	MalformedLoad bool
	// WrongUpstream means that the notice is of another process than the one that
	// the call was meant for.
	WrongUpstream bool
}

// Load is what an upstream reports about its load.
type Load struct {
	Running int // requests that run
	Waiting int // requests that wait for a slot
	Slots   int // requests that can run at once
	// Pace is how long work takes relative to the usual; 0 if it is not reported.
	Pace float64
}
