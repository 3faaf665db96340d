package drill

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/internal/standin/fault"
)

// Action is the kind of a planned failure.
type Action string

// The actions. FailStore and FailUpstream inject a fault into a stand-in.
const (
	KillHost  Action = "kill_host"  // SIGKILL, then a replacement host
	PauseHost Action = "pause_host" // SIGSTOP for a while
	DrainHost Action = "drain_host" // SIGTERM, then a replacement host
	FailStore Action = "fail_store"
	// FailUpstream injects a fault into one upstream and clears it afterwards.
	FailUpstream Action = "fail_upstream"
	// LeaveUpstream makes an upstream leave and return afterwards.
	LeaveUpstream Action = "leave_upstream"
)

// Event is one planned action.
type Event struct {
	At         time.Duration
	Deployment int
	Action     Action
	// Target selects a host or an upstream, modulo the number that exist when the
	// event is executed.
	Target uint64
	// Length is how long the action lasts.
	Length time.Duration
	Fault  fault.Fault
}

// meanEventInterval is the mean time between two events of one deployment.
const meanEventInterval = 900 * time.Millisecond

// storeFaults are the faults that FailStore draws from.
var storeFaults = []fault.Fault{
	{Kind: fault.Down},
	{Kind: fault.Slow, DelayMS: 400},
	{Kind: fault.Slow, DelayMS: 1500},
	{Kind: fault.LostAnswer, Share: 0.3},
	{Kind: fault.Refuse, Share: 0.5},
	{Kind: fault.Stall, Share: 0.2, DelayMS: 3000},
	{Kind: fault.WatchBreak},
	{Kind: fault.WatchSkip, Count: 2},
	{Kind: fault.LeaseLapse},
}

// upstreamFaults are the faults that FailUpstream draws from.
var upstreamFaults = []fault.Fault{
	{Kind: fault.Slow, Factor: 8, DelayMS: 200},
	{Kind: fault.Down},
	{Kind: fault.Refuse, Share: 0.7},
	{Kind: fault.ErrorAfterRun, Share: 0.5},
	{Kind: fault.LostAnswer, Share: 0.5},
	{Kind: fault.DelayedAnswerOfOtherCall, DelayMS: 100, Share: 0.5},
	{Kind: fault.AnswerOfOtherCall, Share: 0.5},
	{Kind: fault.Truncate, Share: 0.5},
	{Kind: fault.Cut, Share: 0.5},
	{Kind: fault.Stall, Share: 0.5},
}

// maxOverrun is how long a failure may last beyond the drill's length.
const maxOverrun = time.Second

// Plan draws the events of a drill. The same seed gives the same plan.
func Plan(seed uint64, deployments int, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []Event
	for d := range deployments {
		for at := randomDuration(random, meanEventInterval); at < length; at += randomDuration(random, meanEventInterval) {
			e := randomEvent(random, d, at)
			e.Length = min(e.Length, length-at+maxOverrun)
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// randomDuration draws a duration between half and one and a half times the mean.
func randomDuration(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// The shares of the actions, in percent; FailUpstream has the remainder.
const (
	percentKill  = 8
	percentPause = 10
	percentDrain = 8
	percentStore = 24
	percentLeave = 12
)

func randomEvent(random *rand.Rand, deployment int, at time.Duration) Event {
	e := Event{At: at, Deployment: deployment, Target: random.Uint64()}
	draw := random.IntN(100)
	switch {
	case draw < percentKill:
		e.Action = KillHost
		e.Length = randomDuration(random, time.Second)
	case draw < percentKill+percentPause:
		e.Action = PauseHost
		e.Length = randomDuration(random, 4*time.Second)
	case draw < percentKill+percentPause+percentDrain:
		e.Action = DrainHost
		e.Length = randomDuration(random, time.Second)
	case draw < percentKill+percentPause+percentDrain+percentStore:
		e.Action = FailStore
		e.Fault = storeFaults[random.IntN(len(storeFaults))]
		e.Length = randomDuration(random, 2*time.Second)
	case draw < percentKill+percentPause+percentDrain+percentStore+percentLeave:
		e.Action = LeaveUpstream
		e.Length = randomDuration(random, 8*time.Second)
	default:
		e.Action = FailUpstream
		e.Fault = upstreamFaults[random.IntN(len(upstreamFaults))]
		e.Length = randomDuration(random, 3*time.Second)
	}
	return e
}
