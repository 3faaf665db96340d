// Package placement chooses the engine for each request of the whole fleet. For
// each service one host, its owner, tracks the load of the engines and the
// prompt parts that each engine probably has cached, and chooses for all hosts.
// The tracked state is only a hint: a host that cannot reach the owner chooses
// by itself.
package placement

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
)

// Error is the class of every error this package returns.
var Error = errs.Class("placement")

// Weights of the score of an engine, in prompt tokens to read, and constants
// for the estimates behind it.
const (
	// runningRequestPenalty is the penalty for each request that runs on the
	// engine. Each one slows the engine down and so delays the first event of a
	// new request.
	runningRequestPenalty = 60
	// nonHomePenalty is the penalty for an engine that is not the prompt's home
	// (see homeEngine). After a change of owner the new owner knows of no cached
	// prompts, but their homes still hold them.
	nonHomePenalty = 1500
	// rereadWeight is how much each token of a shared part counts on top of its reading, at
	// an engine that would read it although another one has it cached: all requests of the
	// engine wait while it reads. Without it, a third of what 60 engines read in bursts had
	// been read before.
	rereadWeight = 1.5
	// lateWeight is how much more the time counts by which the first event would be late than
	// the time until it is due.
	lateWeight = 4
	// dueShare is the part of the time until the first event is due that an engine's queue may
	// take. The queue is known when the request is placed; running requests slow it down later.
	dueShare = 0.5
	// remoteBytesPerToken is how many bytes of inputs from another data centre
	// weigh as much as reading one token.
	remoteBytesPerToken = 2048
	// fullEnginePenalty is the penalty for an engine without free concurrency
	// or memory.
	fullEnginePenalty = 200_000
	// errorRatePenalty is the penalty for an engine that fails every call. It
	// scales with the square of the error rate.
	errorRatePenalty = 400_000
	// cacheFraction is the fraction of an engine's memory that is assumed to
	// hold prompts of requests that no longer run.
	cacheFraction = 0.6
	// runningMemoryFraction is the fraction of an engine's memory that running
	// requests may take before the engine counts as full.
	runningMemoryFraction = 0.85
	// runningTTL is how long a request counts as running if its end is not
	// reported.
	runningTTL = 30 * time.Second
	// prefillTTL is how long a prompt counts as unread by its engine if the
	// first event is not reported.
	prefillTTL = 8 * time.Second
	// readRateSmoothing is the weight of the newest first event in an engine's
	// moving average of the read rate.
	readRateSmoothing = 0.15
	// defaultReadRate, in tokens per second, is used until an engine's rate is
	// measured.
	defaultReadRate = 30_000
	// firstEventOverhead is the part of the time to the first event that does
	// not depend on the prompt.
	firstEventOverhead = 30 * time.Millisecond
)

// Need describes a request that needs an engine.
type Need struct {
	RequestID string            `cbor:"1,keyasint"`
	Service   string            `cbor:"2,keyasint"`
	Parts     []call.PromptPart `cbor:"3,keyasint"`
	// Tokens is the length of the whole prompt. ExpectedOutputTokens is the
	// expected length of the output.
	Tokens               int `cbor:"4,keyasint"`
	ExpectedOutputTokens int `cbor:"5,keyasint"`
	// Inputs is how many bytes of stage results each data centre holds.
	Inputs map[host.DataCentre]int64 `cbor:"6,keyasint"`
	// Tried are engines that must not be chosen: the request was sent to them, or
	// the requesting host must not send them new work.
	Tried []instance.ID `cbor:"7,keyasint"`
	// Version is the software version that the engine must have; "" means any.
	Version string `cbor:"8,keyasint"`
	// UntilDue is the time until the first event is due; 0 if it is unknown or has passed.
	UntilDue time.Duration `cbor:"9,keyasint,omitempty"`
}

// latePenalty returns the penalty, in seconds of waiting, for a first event that arrives after a
// number of seconds. Before it is due, it is better to wait than to read a part again.
func (n Need) latePenalty(wait float64) float64 {
	if n.UntilDue <= 0 {
		return 0
	}
	return lateWeight * max(wait-dueShare*n.UntilDue.Seconds(), 0)
}

// Limits describe the capacity of one engine of a service.
type Limits struct {
	Concurrency int
	CacheTokens int
	// WarmupPerSecond is how many requests a second the engine takes while it is cold; 0 if it
	// is never cold.
	WarmupPerSecond float64
}

// tracker tracks the load and the caches of one service's engines. It does no
// I/O.
type tracker struct {
	engines map[instance.ID]*engine
	running map[string]*placedRequest // by request ID
	// requests is the rate of requests to services with a warm-up.
	requests meanRate
	// rereadWeight is rereadWeight, or 0 for comparison.
	rereadWeight float64
	// byDemand is false if the number of engines that hold a segment and the requests of an
	// engine are not decided by demand, for comparison.
	byDemand bool
	demand   decayingRate // requests
	reading  decayingRate // tokens that engines have to read
	segments *lru.LRU[uint64, *segment]
	current  engineShares // when engines were last scored
	// pace returns how long work takes at an engine now, 1 as usual.
	pace func(instance.Process, time.Time) float64
	// observe is called with each placed request: how many engines hold its shared parts (0 if it has none), and
	// how many of their tokens are read although another engine has them.
	observe func(holders, reread int)
	// recalledAt is when other hosts were last asked for their recent choices; ceded means that another owner
	// has chosen since.
	recalledAt time.Time
	ceded      bool
	// alone means that there was no host to ask.
	alone bool
}

// engine is the load of one engine and what it has cached.
type engine struct {
	unreadTokens int // prompt tokens yet to be read
	memoryTokens int // memory of running requests
	running      int
	process      instance.Process
	readRate     float64 // tokens read per second at pace 1, measured when first events arrive
	cache        *cache
	intake       intake
	demand       decayingRate // requests
	joined       bool         // see joinEngines
	shareWeight  float64      // see shareWeight
}

// placedRequest is a request that was placed on an engine and has not ended.
type placedRequest struct {
	engine       *engine
	unreadTokens int
	queuedTokens int // unread tokens of the engine when the request was placed, including the request's
	memoryTokens int
	placedAt     time.Time
	pace         float64 // of the engine when the request was placed
}

func newTracker() *tracker {
	return &tracker{
		engines: make(map[instance.ID]*engine), running: make(map[string]*placedRequest), pace: usualPace,
		observe: func(int, int) {}, rereadWeight: rereadWeight, byDemand: true, segments: newSegments(),
	}
}

func usualPace(instance.Process, time.Time) float64 { return 1 }

// place chooses the engine with the lowest score and counts the request as
// running there. wait estimates the time to its first event. If none is found because all
// are cold and have got what they take now, wait is when the first takes another request.
func (t *tracker) place(now time.Time, all []instance.Status, limits Limits, need Need) (chosen instance.ID, wait time.Duration, found bool) {
	best := math.Inf(1)
	bestUnread, reread := 0, 0
	wait = t.scoreAll(now, all, limits, need, func(s instance.Status, score engineScore) {
		if total := score.total(); total < best {
			best, chosen, bestUnread, reread, found = total, s.ID, score.unread, score.rereadTokens, true
		}
	}, nil)
	if !found {
		return "", wait, false
	}
	e, chain := t.engine(chosen, limits), prefixChain(need.Parts)
	if limits.WarmupPerSecond > 0 {
		t.requests.count(now)
		e.intake.take()
	}
	pace := t.pace(e.process, now)
	t.end(need.RequestID)
	e.unreadTokens += bestUnread
	e.running++
	e.memoryTokens += need.Tokens + need.ExpectedOutputTokens
	e.cache.touch(chain, need.Parts)
	t.observe(t.countDemand(now, chosen, chain, need.Parts, bestUnread), reread)
	t.running[need.RequestID] = &placedRequest{
		engine: e, unreadTokens: bestUnread, queuedTokens: e.unreadTokens, memoryTokens: need.Tokens + need.ExpectedOutputTokens, placedAt: now, pace: pace,
	}
	return chosen, firstEventOverhead + seconds(float64(e.unreadTokens)*pace/e.readRate), true
}

// candidate is an engine and how many tokens of a prompt it has cached.
type candidate struct {
	*engine
	cached int
	got    float64 // requests per second lately
	holds  bool    // it holds the segment of the request
}

// candidates returns the engines, and how many tokens of the parts that requests share the
// engine has cached that has most of them.
func (t *tracker) candidates(all []instance.Status, limits Limits, chain []uint64, parts []call.PromptPart) (engines []candidate, mostShared int) {
	shared := sharedTokens(parts)
	engines = make([]candidate, len(all))
	for i := range all {
		e := t.engine(all[i].ID, limits)
		e.setProcess(all[i].Process(), limits)
		engines[i] = candidate{engine: e, cached: e.cache.cachedTokens(chain, parts)}
		if !all[i].Ejected {
			mostShared = max(mostShared, min(engines[i].cached, shared))
		}
	}
	return engines, mostShared
}

// setProcess sets the process of an engine. A new one starts with an empty cache.
func (e *engine) setProcess(process instance.Process, limits Limits) {
	if e.process.ID != "" && !e.process.StartTime.Equal(process.StartTime) {
		e.cache, e.joined = newEngineCache(limits), false
	}
	e.process = process
}

func newEngineCache(limits Limits) *cache {
	return newCache(cacheCapacity(limits))
}

// cacheCapacity returns how many tokens of prompts that no longer run an engine has cached.
func cacheCapacity(limits Limits) int { return int(cacheFraction * float64(limits.CacheTokens)) }

// sharedTokens returns the length of the parts that other requests may have too: all but the
// last.
func sharedTokens(parts []call.PromptPart) (tokens int) {
	for i := range max(len(parts)-1, 0) {
		tokens += parts[i].Tokens
	}
	return tokens
}

// firstEvent records that the first event of a request has arrived, and updates
// the engine's read rate.
func (t *tracker) firstEvent(now time.Time, requestID string) {
	r := t.running[requestID]
	if r == nil || r.unreadTokens == 0 {
		return
	}
	r.engine.unreadTokens -= r.unreadTokens
	r.unreadTokens = 0
	took := now.Sub(r.placedAt) - firstEventOverhead
	if took <= 0 || r.queuedTokens < minSampleTokens {
		return
	}
	pace := (r.pace + t.pace(r.engine.process, now)) / 2
	measured := min(max(float64(r.queuedTokens)*pace/took.Seconds(), defaultReadRate/10), defaultReadRate*10)
	r.engine.readRate += readRateSmoothing * (measured - r.engine.readRate)
	r.engine.shareWeight = shareWeight(r.engine.readRate)
}

// engineOf returns the engine that runs a request.
func (t *tracker) engineOf(requestID string) (process instance.Process, runs bool) {
	r := t.running[requestID]
	if r == nil {
		return instance.Process{}, false
	}
	return r.engine.process, true
}

// minSampleTokens is the fewest unread tokens from which a read rate is
// measured.
const minSampleTokens = 1000

// end records that a request no longer runs.
func (t *tracker) end(requestID string) {
	r := t.running[requestID]
	if r == nil {
		return
	}
	delete(t.running, requestID)
	r.engine.unreadTokens -= r.unreadTokens
	r.engine.memoryTokens -= r.memoryTokens
	r.engine.running--
}

// expire ends requests whose end was not reported in time. It counts prompts as
// read if their first event was not reported in time.
func (t *tracker) expire(now time.Time) {
	for id, r := range t.running {
		if now.Sub(r.placedAt) > runningTTL {
			t.end(id)
		} else if r.unreadTokens > 0 && now.Sub(r.placedAt) > prefillTTL {
			r.engine.unreadTokens -= r.unreadTokens
			r.unreadTokens = 0
		}
	}
}

// dropMissing removes engines that are no longer listed.
func (t *tracker) dropMissing(all []instance.Status) {
	if len(t.engines) <= len(all) {
		return
	}
	listed := make(map[instance.ID]bool, len(all))
	for _, s := range all {
		listed[s.ID] = true
	}
	for id := range t.engines {
		if !listed[id] {
			delete(t.engines, id)
		}
	}
}

// engine returns the state of an engine and creates it if needed.
func (t *tracker) engine(id instance.ID, limits Limits) *engine {
	e := t.engines[id]
	if e == nil {
		e = &engine{readRate: defaultReadRate, shareWeight: shareWeight(defaultReadRate), cache: newEngineCache(limits)}
		t.engines[id] = e
	}
	return e
}

// hasHealthyUntried reports whether any engine is neither ejected nor tried.
func hasHealthyUntried(all []instance.Status, tried []instance.ID) bool {
	for _, s := range all {
		if !s.Ejected && !contains(tried, s.ID) {
			return true
		}
	}
	return false
}

func contains(list []instance.ID, id instance.ID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// homeEngine returns the home of a prompt: the engine that it is sent to as
// long as no other has its parts cached. It is chosen by rendezvous hashing on
// the parts that requests share. A prompt with fewer than two parts has no
// home.
func homeEngine(all []instance.Status, chain []uint64) instance.ID {
	if len(chain) < 2 {
		return ""
	}
	shared := chain[len(chain)-2]
	var home instance.ID
	best := uint64(0)
	for _, s := range all {
		if rank := xxh3.HashStringSeed(string(s.ID), shared); rank >= best && !s.Ejected {
			home, best = s.ID, rank
		}
	}
	return home
}

// HomeDataCentre returns the data centre of a prompt's home engine; "" if it has
// none.
func HomeDataCentre(all []instance.Status, parts []call.PromptPart) host.DataCentre {
	home := homeEngine(all, prefixChain(parts))
	for _, s := range all {
		if s.ID == home {
			return s.DataCentre
		}
	}
	return ""
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
