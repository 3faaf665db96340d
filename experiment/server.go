package experiment

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/upstream"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// cachedPrefixes is how many prefixes one engine keeps.
	cachedPrefixes = 10
	// prefillShare is the part of an engine call that a cached prefix saves.
	prefillShare = 0.25
	// greyDelay is how long a grey failure takes to show.
	greyDelay = 600 * time.Millisecond
)

// job is one call as an upstream sees it.
type job struct {
	// service is the time on an idle upstream that has nothing cached.
	service time.Duration
	prefix  uint64
	tokens  int
	// priority orders the engine's own queue; larger goes first.
	priority int
	class    string
}

// server is one in-process upstream: it runs some calls at once, and the
// others wait in its own queue, by priority and then in order of arrival.
type server struct {
	upstream.Upstream
	// slow multiplies the time of every call; it holds thousandths.
	slow atomic.Int64
	died chan struct{}
	// failing says that lookups fail.
	failing atomic.Bool
	once    sync.Once
	cache   *lru.Cache[uint64, struct{}]

	// queueMu guards free and waiting.
	queueMu sync.Mutex
	free    int
	slots   int
	waiting []*waiter
}

// waiter is a call in an upstream's queue; ready is closed when it may run.
type waiter struct {
	priority int
	ready    chan struct{}
}

func newServer(u upstream.Upstream, concurrency int) *server {
	cache, err := lru.New[uint64, struct{}](cachedPrefixes)
	if err != nil {
		panic(err) // only a size under one fails
	}
	s := &server{Upstream: u, slots: concurrency, free: concurrency, died: make(chan struct{}), cache: cache}
	s.slow.Store(1000)
	return s
}

// kill breaks every call off and refuses new ones.
func (s *server) kill() { s.once.Do(func() { close(s.died) }) }

// load returns how many calls run and wait.
func (s *server) load() (running, waiting int) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.slots - s.free, len(s.waiting)
}

func (s *server) enter(priority int) *waiter {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	if s.free > 0 {
		s.free--
		close(w.ready)
		return w
	}
	at := len(s.waiting)
	for at > 0 && s.waiting[at-1].priority < priority {
		at--
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	return w
}

// leave takes a call out of the queue, or ends it and starts the next.
func (s *server) leave(w *waiter) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	if i := slices.Index(s.waiting, w); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return
	}
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next := s.waiting[0]
	s.waiting = slices.Delete(s.waiting, 0, 1)
	close(next.ready)
}

// answer is what a call gave and how long the upstream worked on it.
type answer struct {
	dispatch.Outcome
	busy time.Duration
}

// serve runs a call to its end. One that ctx ends leaves its place at once.
func (s *server) serve(ctx context.Context, j job) answer {
	select {
	case <-s.died:
		return answer{Outcome: dispatch.Outcome{Failure: dispatch.NotSent}}
	default:
	}
	if s.failing.Load() && j.class == ClassLookup {
		return failLate(ctx)
	}
	w := s.enter(j.priority)
	defer s.leave(w)
	select {
	case <-w.ready:
	case <-ctx.Done():
		return answer{Outcome: dispatch.Outcome{Failure: endOf(ctx)}}
	case <-s.died:
		return answer{Outcome: dispatch.Outcome{Failure: dispatch.BrokenOff}}
	}
	began := time.Now()
	out := s.run(ctx, j)
	return answer{Outcome: out, busy: time.Since(began)}
}

// failLate is a grey failure: an error after a while.
func failLate(ctx context.Context) answer {
	if !sleep(ctx, greyDelay) {
		return answer{Outcome: dispatch.Outcome{Failure: endOf(ctx)}}
	}
	return answer{Outcome: dispatch.Outcome{Failure: dispatch.UpstreamError}, busy: greyDelay}
}

func (s *server) run(ctx context.Context, j job) dispatch.Outcome {
	took := j.service
	var out dispatch.Outcome
	if j.prefix != 0 {
		out.InputTokens = j.tokens
		if s.cache.Contains(j.prefix) {
			took -= time.Duration(prefillShare * float64(took))
			out.CachedTokens = j.tokens
		}
		s.cache.Add(j.prefix, struct{}{})
	}
	timer := time.NewTimer(took * time.Duration(s.slow.Load()) / 1000)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		out.Failure = endOf(ctx)
	case <-s.died:
		out.Failure = dispatch.BrokenOff
	}
	return out
}

func endOf(ctx context.Context) dispatch.Failure {
	if ctx.Err() == context.DeadlineExceeded {
		return dispatch.TimedOut
	}
	return dispatch.Cancelled
}
