package drill

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/internal/standin/fault"
)

// Action is what is done to a part of a deployment.
type Action string

// The actions on hosts, beside the stand-ins' faults.
const (
	KillHost  Action = "kill_host"  // SIGKILL, and a new host in its place
	PauseHost Action = "pause_host" // SIGSTOP for a while
	DrainHost Action = "drain_host" // SIGTERM, and a new host in its place
	FailStore Action = "fail_store"
	// FailUpstream shows a fault on one upstream and clears it afterwards.
	FailUpstream Action = "fail_upstream"
	// LeaveUpstream takes an upstream away and brings it back afterwards.
	LeaveUpstream Action = "leave_upstream"
)

// Event is one planned action.
type Event struct {
	At         time.Duration
	Deployment int
	Action     Action
	// Target picks a host or an upstream among those there are at the time.
	Target uint64
	// Length is how long the action lasts.
	Length time.Duration
	Fault  fault.Fault
}

// eventEvery is the mean time between two events of one deployment.
const eventEvery = 900 * time.Millisecond

// storeFaults are the failures of the key-value service.
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

// upstreamFaults are the failures of upstreams.
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

// overrun is how long after the drill's length failures may go on.
const overrun = time.Second

// Plan draws the events of a drill. The same seed gives the same plan.
func Plan(seed uint64, deployments int, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []Event
	for d := range deployments {
		for at := drawTime(random, eventEvery); at < length; at += drawTime(random, eventEvery) {
			e := drawEvent(random, d, at)
			e.Length = min(e.Length, length-at+overrun)
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// drawTime draws a time around a mean, from half of it up to one and a half.
func drawTime(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// The shares of the actions, in percent; upstreams have the rest.
const (
	percentKill  = 8
	percentPause = 10
	percentDrain = 8
	percentStore = 24
	percentLeave = 12
)

func drawEvent(random *rand.Rand, deployment int, at time.Duration) Event {
	e := Event{At: at, Deployment: deployment, Target: random.Uint64()}
	draw := random.IntN(100)
	switch {
	case draw < percentKill:
		e.Action = KillHost
		e.Length = drawTime(random, time.Second)
	case draw < percentKill+percentPause:
		e.Action = PauseHost
		e.Length = drawTime(random, 4*time.Second)
	case draw < percentKill+percentPause+percentDrain:
		e.Action = DrainHost
		e.Length = drawTime(random, time.Second)
	case draw < percentKill+percentPause+percentDrain+percentStore:
		e.Action = FailStore
		e.Fault = storeFaults[random.IntN(len(storeFaults))]
		e.Length = drawTime(random, 2*time.Second)
	case draw < percentKill+percentPause+percentDrain+percentStore+percentLeave:
		e.Action = LeaveUpstream
		e.Length = drawTime(random, 8*time.Second)
	default:
		e.Action = FailUpstream
		e.Fault = upstreamFaults[random.IntN(len(upstreamFaults))]
		e.Length = drawTime(random, 3*time.Second)
	}
	return e
}
