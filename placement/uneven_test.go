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
	speed   float64
	cache   *cache
	reading []*simulatedRequest
	writing []*simulatedRequest
	work    float64 // time spent reading
}

type simulatedRequest struct {
	id           string
	placed       time.Time
	unread, left float64 // prompt and output tokens
}

// simulated is what a simulation of engines of uneven speed measured.
type simulated struct {
	first   []time.Duration // times to the first event
	reread  int             // tokens of shared parts that were read although some engine had them
	busiest float64         // busy time of the busiest engine relative to the mean
}

// simulate places requests with shared parts of 13,300 tokens on 60 engines of speed 0.6, 1.0 and
// 1.6, whose pace jumps every 600 ms between 1 and 2.5.
func simulate(perSecond float64, sharedParts int, reported bool) (s simulated) {
	const tick, rate, step = 5 * time.Millisecond, 47_500.0, 0.015
	random := rand.New(rand.NewPCG(1, 2))
	t, start := newTracker(), time.Unix(1000, 0)
	all := testEngines(60)
	limits := Limits{Concurrency: 64, CacheTokens: 556_827}
	engines := make(map[instance.ID]*simulatedEngine)
	paces := make([]float64, 60)
	for i, e := range all {
		engines[e.ID] = &simulatedEngine{speed: []float64{0.6, 1, 1.6}[i%3], cache: newCache(334_000)}
	}
	table := workload.NewTable(nil)
	report := func(i int, now time.Time) {
		if reported {
			table.Report(all[i].Entry, call.Load{Pace: paces[i]}, now)
		}
	}
	t.pace = table.Pace
	const seconds = 24
	placed := 0
	read := map[uint64]bool{}
	for at := time.Duration(0); at < seconds*time.Second; at += tick {
		now := start.Add(at)
		if at%(600*time.Millisecond) == 0 {
			for i := range paces {
				paces[i] = math.Pow(2.5, random.Float64())
			}
		}
		for float64(placed) < perSecond*at.Seconds() {
			id := fmt.Sprint("r", placed)
			placed++
			shared := int(float64(sharedParts) * math.Pow(random.Float64(), 2))
			need := summaryNeed(id, fmt.Sprint("c", shared))
			need.ExpectedOutputTokens = 20 + random.IntN(200)
			chosen, _, _ := t.place(now, all, limits, need)
			e := engines[chosen]
			chain := prefixChain(need.Parts)
			cached := e.cache.cachedTokens(chain, need.Parts)
			if cached == 0 && read[chain[0]] && at > 10*time.Second {
				s.reread += need.Parts[0].Tokens
			}
			read[chain[0]] = true
			e.cache.touch(chain, need.Parts)
			e.reading = append(e.reading, &simulatedRequest{id: id, placed: now, unread: float64(need.Tokens - cached), left: float64(need.ExpectedOutputTokens)})
		}
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
			budget := rate * speed * tick.Seconds() / (1 + 0.02*float64(len(e.writing)))
			for len(e.reading) > 0 && budget > 0 {
				if at > 10*time.Second {
					e.work += min(budget, e.reading[0].unread) / (rate * speed)
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
	total, most := 0.0, 0.0
	for _, e := range engines {
		total += e.work
		most = max(most, e.work)
	}
	s.busiest = most * 60 / total
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
