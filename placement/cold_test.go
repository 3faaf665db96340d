package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/throttle"
)

// warmupPerSecond is what an engine of a large deployment takes while it is cold.
const warmupPerSecond = 8.4

// coldFleet is the load of a large deployment on its engines, on a synthetic clock. The owner
// of the engines and the one that grants requests to cold ones decide as on a host.
type coldFleet struct {
	tokens, sharedParts int // of prompts
	now                 time.Time
	engines             []instance.Status
	tracker             *tracker
	owner               *throttle.Throttle
	random              *rand.Rand
	running             []string                    // requests, in the order in which they end
	got                 map[instance.ID][]time.Time // what each engine got, and when
	refused             int                         // by the owner of a cold engine
	unfit               int                         // requests for which there was no engine
	cold                map[instance.ID]float64
}

func newColdFleet(engines int, seed uint64) *coldFleet {
	f := &coldFleet{
		tokens: 9000, sharedParts: 300,
		now: time.Unix(1000, 0), tracker: newTracker(), random: rand.New(rand.NewPCG(seed, 1)), got: make(map[instance.ID][]time.Time),
	}
	f.engines = testEngines(engines)
	f.owner = throttle.New(throttle.Config{
		Owners: ownership.New(hosttest.Fleet{{Info: host.Info{ID: "h0", Capacity: 1}}}, f.now), Now: func() time.Time { return f.now },
	}, link.NewMux())
	return f
}

// setCold makes the first engines cold, which every host reads from their entries.
func (f *coldFleet) setCold(count int) {
	f.cold = make(map[instance.ID]float64)
	for i := range f.engines {
		if f.engines[i].Cold = i < count; i < count {
			f.cold[f.engines[i].ID] = warmupPerSecond
		}
	}
	f.owner.Expect(f.cold)
}

// serve places requests for a time, perSecond of them, which run for about two seconds. Three
// quarters of a prompt are one of some shared parts.
func (f *coldFleet) serve(t *testing.T, length time.Duration, perSecond float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		if f.random.Float64() >= perSecond/1000 {
			continue
		}
		own := fmt.Sprint(f.random.Uint64())
		f.place(t, Need{RequestID: own, Tokens: f.tokens, ExpectedOutputTokens: 150, Parts: []call.PromptPart{
			{ID: fmt.Sprint("c", f.random.IntN(f.sharedParts)), Tokens: f.tokens * 3 / 4}, {ID: own, Tokens: f.tokens / 4},
		}})
		if f.running = append(f.running, own); len(f.running) > int(2*perSecond) {
			f.tracker.firstEvent(f.now, f.running[0])
			f.tracker.end(f.running[0])
			f.running = f.running[1:]
		}
	}
}

// place places a request, at the next engine if the owner of the chosen one refuses it.
func (f *coldFleet) place(t *testing.T, need Need) {
	limits := Limits{Concurrency: 64, CacheTokens: 556_827, WarmupPerSecond: warmupPerSecond}
	for {
		id, wait, found := f.tracker.place(f.now, f.engines, limits, need)
		if !found {
			require.True(t, wait > 0 || len(need.Tried) > 0, "when to come back")
			f.unfit++
			return
		}
		granted := true
		if f.cold[id] > 0 {
			_, granted = f.owner.Acquire(t.Context(), throttle.Limit{Process: instance.Process{ID: id}, Unlimited: true, WarmupPerSecond: f.cold[id]})
		}
		if granted {
			f.got[id] = append(f.got[id], f.now)
			return
		}
		f.refused++
		f.tracker.end(need.RequestID)
		need.Tried = append(need.Tried, id)
	}
}

// most returns the most requests that one engine got within a time, from a time on.
func (f *coldFleet) most(window time.Duration, from time.Time) (most int) {
	for _, got := range f.got {
		first := 0
		for i, at := range got {
			for got[first].Before(from) && first < i || at.Sub(got[first]) >= window {
				first++
			}
			if !at.Before(from) {
				most = max(most, i-first+1)
			}
		}
	}
	return most
}

// total returns how many requests the first engines got.
func (f *coldFleet) total(count int) (n int) {
	for _, s := range f.engines[:count] {
		n += len(f.got[s.ID])
	}
	return n
}

// Load: 140 engines, 270 requests a second, long prompts with many shared parts or short ones
// with few, which crowd at the engines that have those cached; a third of the engines is cold at once, first
// unknown to the owner for a heartbeat, and warm 10 s later. Guards against callers that are
// all sent to engines that then refuse, against requests without an engine, against too many
// at an engine that is cold again and does not say so yet, and against a rush to those that
// have just become warm.
func TestOtherEnginesCarryTheLoadOfAColdDataCentre(t *testing.T) {
	const third = 47
	for seed := range uint64(4) {
		f := newColdFleet(140, seed)
		if seed%2 == 1 {
			f.tokens, f.sharedParts = 100, 3
		}
		begun := f.now
		f.serve(t, 6200*time.Millisecond, 270) // 1.2 s of it are the heartbeat
		before := f.total(third)
		f.setCold(third)
		f.serve(t, 10*time.Second, 270)
		cold := f.total(third) - before
		warmAt := f.now
		f.setCold(0)
		f.serve(t, 3*time.Second, 270)
		require.Zero(t, f.unfit, "seed %d", seed)
		require.LessOrEqual(t, f.refused, 13, "seed %d: half a percent of the requests while engines are cold", seed)
		require.Equal(t, seed%2 == 0, cold > 0, "cold engines help out where the others have to queue")
		require.LessOrEqual(t, float64(f.most(time.Second, begun)), 1.5*warmupPerSecond+5, "seed %d", seed)
		require.LessOrEqual(t, f.most(100*time.Millisecond, warmAt), 4, "seed %d: at once to one engine", seed)
	}
}

// Load: 6 engines, all cold, 100 requests a second. Guards against requests that go from one
// cold engine to the next, each of which refuses, in place of a refusal with a time to retry.
func TestRequestsThatNoColdEngineTakesAreRefusedAtOnce(t *testing.T) {
	f := newColdFleet(6, 1)
	f.setCold(6)
	f.serve(t, 10*time.Second, 100)
	served := f.total(6)
	takes := 6 * 10 * throttle.ColdRate(warmupPerSecond)
	require.Greater(t, float64(served), 0.75*takes)
	require.LessOrEqual(t, float64(served), takes+6*coldBurst)
	require.Less(t, float64(f.refused), 0.05*float64(f.unfit))
}
