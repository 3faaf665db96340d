package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/workload"
)

// simulatedEngine reads prompts one after the other and generates output for all requests
// whose prompt it has read.
type simulatedEngine struct {
	speed    float64
	cache    *cache
	reading  []*simulatedRequest
	writing  []*simulatedRequest
	work     float64 // time spent reading
	requests int     // that the engine got
}

type simulatedRequest struct {
	id           string
	placed       time.Time
	unread, left float64 // prompt and output tokens
}

// simulated is what a simulation of engines of uneven speed measured.
type simulated struct {
	first    []time.Duration // times to the first event
	reread   int             // tokens of shared parts that were read although some engine had them
	busiest  float64         // busy time of the busiest engine relative to the mean
	requests float64         // requests of the engine that got most relative to the mean
	joined   []float64       // requests of the engines that joined by the mean, in each second since
}

// simulation is a load on engines.
type simulation struct {
	engines int
	speeds  []float64
	rate    float64 // tokens that an engine of speed 1 reads a second
	jumps   bool    // the pace jumps every 600 ms between 1 and 2.5
	// reported means that the scheduler knows the pace.
	reported  bool
	perSecond func(at time.Duration) float64
	need      func(id string, at time.Duration, random *rand.Rand) Need
	// lostAt is when the scheduler is replaced by one without its state; 0 if never.
	lostAt time.Duration
	// asks means that the new scheduler learns what 86 hosts remember.
	asks bool
	// joinAt is when the last third of the engines, which are empty, is listed; 0 if from the start.
	joinAt time.Duration
	seed   uint64
}

// simulate places requests with shared parts of 13,300 tokens on 60 engines of speed 0.6, 1.0 and
// 1.6, whose pace jumps every 600 ms between 1 and 2.5.
func simulate(perSecond float64, sharedParts int, reported bool) simulated {
	return unevenShared(perSecond, sharedParts, reported).run()
}

func unevenShared(perSecond float64, sharedParts int, reported bool) simulation {
	return simulation{
		engines: 60, speeds: []float64{0.6, 1, 1.6}, rate: 47_500, jumps: true, reported: reported, seed: 1,
		perSecond: func(time.Duration) float64 { return perSecond },
		need: func(id string, _ time.Duration, random *rand.Rand) Need {
			shared := int(float64(sharedParts) * math.Pow(random.Float64(), 2))
			need := summaryNeed(id, fmt.Sprint("c", shared))
			need.ExpectedOutputTokens = 20 + random.IntN(200)
			return need
		},
	}
}

// skewedNeed returns requests with one of 200 shared parts of 350 to 13,300 tokens, with skewed
// demand. From 12 s on, one part is in a quarter of the requests for 4 s of every 6 s.
func skewedNeed(id string, at time.Duration, random *rand.Rand) Need {
	part := int(math.Pow(200, random.Float64())) - 1
	if burst := int(at/time.Second) / 6; at > 12*time.Second && int(at/time.Second)%6 < 4 && random.IntN(4) == 0 {
		part = 100 + burst
	}
	tokens := int(350 * math.Pow(38, float64(part*37%200)/199))
	own := 500 + random.IntN(3000)
	return Need{
		RequestID: id, Service: "s", Tokens: tokens + own, ExpectedOutputTokens: 20 + random.IntN(200), UntilDue: time.Second,
		Parts: []call.PromptPart{{ID: fmt.Sprint("c", part), Tokens: tokens}, {ID: "own-" + id, Tokens: own}},
	}
}

// inBursts is a rate of 200 requests a second, and of 400 for 5 s of every 10 s.
func inBursts(at time.Duration) float64 {
	if at%(10*time.Second) < 5*time.Second {
		return 200
	}
	return 400
}

// unevenLoad is skewed demand in bursts on 60 engines of three speeds.
func unevenLoad() simulation {
	return simulation{engines: 60, speeds: []float64{0.6, 1, 1.6}, rate: 47_500, jumps: true, reported: true, perSecond: inBursts, need: skewedNeed, seed: 1}
}

// evenLoad is skewed demand in bursts on 140 engines of one speed.
func evenLoad() simulation {
	return simulation{engines: 140, speeds: []float64{1}, rate: 63_900, perSecond: func(at time.Duration) float64 { return 1.5 * inBursts(at) }, need: skewedNeed, seed: 1}
}

func (l simulation) run() (s simulated) {
	const tick, step = 5 * time.Millisecond, 0.015
	random := rand.New(rand.NewPCG(l.seed, 2))
	t, start := newTracker(), time.Unix(1000, 0)
	all := testEngines(l.engines)
	limits := Limits{Concurrency: 64, CacheTokens: 556_827}
	engines := make(map[instance.ID]*simulatedEngine)
	paces := make([]float64, l.engines)
	for i, e := range all {
		paces[i] = 1
		engines[e.ID] = &simulatedEngine{speed: l.speeds[i%len(l.speeds)], cache: newCache(334_000)}
	}
	table := workload.NewTable(nil)
	report := func(i int, now time.Time) {
		if l.reported {
			table.Report(all[i].Entry, call.Load{Pace: paces[i]}, now)
		}
	}
	t.pace = table.Pace
	hosts := make([]*recentChoices, 86)
	for i := range hosts {
		hosts[i] = newRecentChoices()
	}
	const seconds = 24
	due := 0.0
	placed := 0
	read := map[uint64]bool{}
	for at := time.Duration(0); at < seconds*time.Second; at += tick {
		now := start.Add(at)
		if l.jumps && at%(600*time.Millisecond) == 0 {
			for i := range paces {
				paces[i] = math.Pow(2.5, random.Float64())
			}
		}
		if l.lostAt > 0 && at == l.lostAt {
			t = newTracker()
			t.pace = table.Pace
			for _, h := range hosts {
				if l.asks {
					t.learn(all, limits, h.newest(now, "s"))
				}
			}
		}
		for float64(placed) < due {
			id := fmt.Sprint("r", placed)
			placed++
			need := l.need(id, at, random)
			listed := all
			if at < l.joinAt {
				listed = all[:len(all)*2/3]
			}
			chosen, _, _ := t.place(now, listed, limits, need)
			if second := int((at - l.joinAt) / time.Second); l.joinAt > 0 && at >= l.joinAt {
				for len(s.joined) <= second {
					s.joined = append(s.joined, 0)
				}
				if slices.IndexFunc(all, func(s instance.Status) bool { return s.ID == chosen }) >= len(all)*2/3 {
					s.joined[second] += 3 / l.perSecond(at)
				}
			}
			e := engines[chosen]
			hosts[placed%len(hosts)].add(now, need, instance.Process{ID: chosen})
			chain := prefixChain(need.Parts)
			cached := e.cache.cachedTokens(chain, need.Parts)
			if cached == 0 && read[chain[0]] && at > 10*time.Second {
				s.reread += need.Parts[0].Tokens
			}
			if at > 10*time.Second {
				e.requests++
			}
			read[chain[0]] = true
			e.cache.touch(chain, need.Parts)
			e.reading = append(e.reading, &simulatedRequest{id: id, placed: now, unread: float64(need.Tokens - cached), left: float64(need.ExpectedOutputTokens)})
		}
		due += l.perSecond(at) * tick.Seconds()
		for i, status := range all {
			e := engines[status.ID]
			speed := e.speed / paces[i]
			e.writing = slices.DeleteFunc(e.writing, func(r *simulatedRequest) bool {
				r.left -= speed * tick.Seconds() / step
				if r.left <= 0 {
					report(i, now)
					t.end(r.id)
				}
				return r.left <= 0
			})
			budget := l.rate * speed * tick.Seconds() / (1 + 0.02*float64(len(e.writing)))
			for len(e.reading) > 0 && budget > 0 {
				if at > 10*time.Second {
					e.work += min(budget, e.reading[0].unread) / (l.rate * speed)
				}
				r := e.reading[0]
				used := min(budget, r.unread)
				budget -= used
				if r.unread -= used; r.unread <= 0 {
					report(i, now)
					t.firstEvent(now, r.id)
					if at > 10*time.Second {
						s.first = append(s.first, now.Sub(r.placed)+30*time.Millisecond)
					}
					e.reading, e.writing = e.reading[1:], append(e.writing, r)
				}
			}
		}
	}
	total, most, requests, mostRequests := 0.0, 0.0, 0, 0
	for _, e := range engines {
		total += e.work
		most = max(most, e.work)
		requests += e.requests
		mostRequests = max(mostRequests, e.requests)
	}
	s.busiest = most * float64(l.engines) / total
	s.requests = float64(mostRequests*l.engines) / float64(requests)
	return s
}

func mean(all []time.Duration) (m time.Duration) {
	for _, d := range all {
		m += d / time.Duration(len(all))
	}
	return m
}

// The load is 300 requests a second with 200 shared parts, about 0.7 of what the engines do
// without reading shared parts again. Guards against engines that read shared parts again
// until all are overloaded (the mean time to the first event was 6 s), against slow engines
// that get as much as fast ones, and against a pace that is not used.
func TestUnevenEnginesShareTheLoad(t *testing.T) {
	many := simulate(300, 200, true)
	require.Less(t, mean(many.first), 400*time.Millisecond)
	require.Less(t, many.reread, 2_000_000, "tokens of shared parts read again")
	require.Less(t, many.busiest, 1.4, "busy time of the busiest engine by the mean")
	known, unknown := simulate(240, 30, true), simulate(240, 30, false)
	require.Less(t, mean(known.first), mean(unknown.first), "of engines whose pace is known")
}

// Guards against a shared part that is read again while the engine that has it would still be in
// time, and against requests that are late there while another engine is idle. Load: a part of
// 13,300 tokens whose engine has a queue of 0.4 and of 2 s.
func TestSharedPartIsReadAgainOnlyForRequestsThatWouldBeLate(t *testing.T) {
	for queue, stays := range map[time.Duration]bool{400 * time.Millisecond: true, 2 * time.Second: false} {
		tr, now := newTracker(), time.Unix(1000, 0)
		all := testEngines(2)
		holder, _, _ := tr.place(now, all, testLimits, summaryNeed("first", "contract"))
		tr.firstEvent(now.Add(300*time.Millisecond), "first")
		tr.end("first")
		tr.engines[holder].unreadTokens = int(queue.Seconds() * tr.engines[holder].readRate)
		need := summaryNeed("second", "contract")
		need.UntilDue = time.Second
		chosen, _, found := tr.place(now, all, testLimits, need)
		require.True(t, found)
		require.Equal(t, stays, chosen == holder, "queue %v", queue)
	}
}
