// Package placement chooses the engine for each request of the whole fleet. One
// host keeps a book of what runs on each engine of a service and of the prompt
// parts that each is likely to have cached, and answers the other hosts. The
// book is a hint: a host that can't reach its keeper chooses by itself.
package placement

import (
	"math"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
)

// Error is the class of every error this package returns.
var Error = errs.Class("placement")

// Weights of the choice, in prompt tokens to read.
const (
	// runningTokens is what a running request adds to the time of a new one's
	// first event: it slows the engine's steps.
	runningTokens = 60
	// awayTokens is what speaks against an engine that is not the prompt's home:
	// after a change of keeper the homes still hold the prompts.
	awayTokens = 1500
	// bytesPerToken sets inputs from another data centre against reading.
	bytesPerToken = 2048
	// fullTokens is what speaks against an engine without a free place.
	fullTokens = 200_000
	// errorTokens is what speaks against an engine that fails every call.
	errorTokens = 400_000
	// cacheShare is the part of an engine's memory that is taken to hold
	// prompts that nothing runs on.
	cacheShare = 0.6
	// memoryShare is the part of it that running requests may take.
	memoryShare = 0.85
	// entryLife bounds how long a request is taken to run when its end was not
	// told.
	entryLife = 30 * time.Second
	// readLife does the same for the reading of its prompt.
	readLife = 8 * time.Second
	// paceWeight is the weight of the newest first event in an engine's pace.
	paceWeight = 0.15
	// usualPace, in tokens a second, stands for an engine's until it is learned.
	usualPace = 30_000
	// baseTime is what a first event takes beside the reading.
	baseTime = 30 * time.Millisecond
)

// Need is what a request asks of its engine.
type Need struct {
	RequestID string            `cbor:"1,keyasint"`
	Service   string            `cbor:"2,keyasint"`
	Parts     []call.PromptPart `cbor:"3,keyasint"`
	// Tokens is the whole prompt, Output what is expected to be made.
	Tokens int `cbor:"4,keyasint"`
	Output int `cbor:"5,keyasint"`
	// Inputs is how many bytes of stage results lie in each data centre.
	Inputs map[host.DataCentre]int64 `cbor:"6,keyasint"`
	Tried  []instance.ID             `cbor:"7,keyasint"`
}

// Limits describe the engines of a service.
type Limits struct {
	Concurrency int
	CacheTokens int
}

// book is what is known of one service's engines. It does no I/O.
type book struct {
	engines map[instance.ID]*engine
	running map[string]*entry // by request
}

// engine is what runs on one engine and what it has cached.
type engine struct {
	backlog int // tokens yet to be read
	tokens  int // memory of running requests
	running int
	pace    float64 // tokens read a second, as first events show it
	cache   *cache
}

// entry is one request that was placed.
type entry struct {
	engine *engine
	unread int
	ahead  int // tokens to read on the engine when it was placed, its own included
	tokens int
	placed time.Time
}

func newBook() *book {
	return &book{engines: make(map[instance.ID]*engine), running: make(map[string]*entry)}
}

// place chooses an engine and counts the request as running there. wait is
// about how long its first event takes.
func (b *book) place(now time.Time, all []instance.Status, limits Limits, need Need) (chosen instance.ID, wait time.Duration, found bool) {
	b.expire(now)
	b.drop(all)
	chain := chainOf(need.Parts)
	home := homeOf(all, chain)
	best := math.Inf(1)
	bestUnread := 0
	for _, s := range all {
		if contains(need.Tried, s.ID) || s.Ejected && usable(all, need.Tried) {
			continue
		}
		e := b.engine(s.ID, limits)
		unread := need.Tokens - e.cache.kept(chain, need.Parts)
		score := float64(e.backlog+unread+runningTokens*e.running) * usualPace / e.pace
		score += errorTokens * s.ErrorRate * s.ErrorRate
		if s.ID != home {
			score += awayTokens
		}
		if e.running >= limits.Concurrency || float64(e.tokens+need.Tokens+need.Output) > memoryShare*float64(limits.CacheTokens) {
			score += fullTokens
		}
		for centre, bytes := range need.Inputs {
			if centre != s.DataCentre {
				score += float64(bytes) / bytesPerToken
			}
		}
		if score < best {
			best, chosen, bestUnread, found = score, s.ID, unread, true
		}
	}
	if !found {
		return "", 0, false
	}
	e := b.engine(chosen, limits)
	b.end(need.RequestID)
	e.backlog += bestUnread
	e.running++
	e.tokens += need.Tokens + need.Output
	e.cache.use(chain, need.Parts)
	b.running[need.RequestID] = &entry{
		engine: e, unread: bestUnread, ahead: e.backlog, tokens: need.Tokens + need.Output, placed: now,
	}
	return chosen, baseTime + seconds(float64(e.backlog)/e.pace), true
}

// first notes that a request's first event has come.
func (b *book) first(now time.Time, requestID string) {
	r := b.running[requestID]
	if r == nil || r.unread == 0 {
		return
	}
	r.engine.backlog -= r.unread
	r.unread = 0
	took := now.Sub(r.placed) - baseTime
	if took <= 0 || r.ahead < minLearnTokens {
		return
	}
	seen := min(max(float64(r.ahead)/took.Seconds(), usualPace/10), usualPace*10)
	r.engine.pace += paceWeight * (seen - r.engine.pace)
}

// minLearnTokens is the least to read from which an engine's pace is learned.
const minLearnTokens = 1000

// end notes that a request no longer runs.
func (b *book) end(requestID string) {
	r := b.running[requestID]
	if r == nil {
		return
	}
	delete(b.running, requestID)
	r.engine.backlog -= r.unread
	r.engine.tokens -= r.tokens
	r.engine.running--
}

// expire ends requests of which nothing was told for too long.
func (b *book) expire(now time.Time) {
	for id, r := range b.running {
		if now.Sub(r.placed) > entryLife {
			b.end(id)
		} else if r.unread > 0 && now.Sub(r.placed) > readLife {
			r.engine.backlog -= r.unread
			r.unread = 0
		}
	}
}

// drop forgets engines that are gone.
func (b *book) drop(all []instance.Status) {
	if len(b.engines) <= len(all) {
		return
	}
	listed := make(map[instance.ID]bool, len(all))
	for _, s := range all {
		listed[s.ID] = true
	}
	for id := range b.engines {
		if !listed[id] {
			delete(b.engines, id)
		}
	}
}

func (b *book) engine(id instance.ID, limits Limits) *engine {
	e := b.engines[id]
	if e == nil {
		e = &engine{pace: usualPace, cache: newCache(int(cacheShare * float64(limits.CacheTokens)))}
		b.engines[id] = e
	}
	return e
}

// usable says whether any upstream that was not tried is healthy.
func usable(all []instance.Status, tried []instance.ID) bool {
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

// homeOf is the engine that a prompt goes to while no other has its parts, by
// rendezvous hashing on the parts that requests share.
func homeOf(all []instance.Status, chain []uint64) instance.ID {
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

// Home is the data centre of a prompt's home; "" when it has none.
func Home(all []instance.Status, parts []call.PromptPart) host.DataCentre {
	home := homeOf(all, chainOf(parts))
	for _, s := range all {
		if s.ID == home {
			return s.DataCentre
		}
	}
	return ""
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
