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
	// cachedPrefixes is the number of prefixes that one engine caches.
	cachedPrefixes = 10
	// prefillShare is the share of an engine call's time that a cached prefix saves.
	prefillShare = 0.25
	// greyDelay is the time until a call fails on an engine with a grey failure.
	greyDelay = 600 * time.Millisecond
)

// job is one call to an upstream.
type job struct {
	// serviceTime is the time on an idle upstream that has no prefix cached.
	serviceTime time.Duration
	prefix      uint64
	tokens      int
	// priority orders the engine's queue; higher values go first.
	priority int
	class    string
}

// server is an in-process upstream. It runs a limited number of calls at once; the
// others wait in its queue, ordered by priority and then by arrival.
type server struct {
	upstream.Upstream
	// slowdownPermille scales the time of every call, in thousandths.
	slowdownPermille atomic.Int64
	died             chan struct{}
	// failingLookups makes lookups fail.
	failingLookups atomic.Bool
	killOnce       sync.Once
	cache          *lru.Cache[uint64, struct{}]

	// queueMu guards free and waiting; slots is constant.
	queueMu sync.Mutex
	free    int
	slots   int
	waiting []*waiter
}

// waiter is a call in a server's queue. ready is closed when the call may run.
type waiter struct {
	priority int
	ready    chan struct{}
}

func newServer(u upstream.Upstream, concurrency int) *server {
	cache, err := lru.New[uint64, struct{}](cachedPrefixes)
	if err != nil {
		panic(err) // cannot happen: lru.New fails only for a size below 1
	}
	s := &server{Upstream: u, slots: concurrency, free: concurrency, died: make(chan struct{}), cache: cache}
	s.slowdownPermille.Store(1000)
	return s
}

// kill aborts all calls and makes the server refuse new ones.
func (s *server) kill() { s.killOnce.Do(func() { close(s.died) }) }

// load returns the number of running and of waiting calls.
func (s *server) load() (running, waiting int) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.slots - s.free, len(s.waiting)
}

func (s *server) enqueue(priority int) *waiter {
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

// release removes a waiting call from the queue, or frees the slot of a running
// call and starts the next one.
func (s *server) release(w *waiter) {
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

// callResult is the outcome of a call and how long the upstream worked on it.
type callResult struct {
	dispatch.Outcome
	busyTime time.Duration
}

// serve queues and runs a call. If ctx ends, the call gives up its slot or its place
// in the queue at once.
func (s *server) serve(ctx context.Context, j job) callResult {
	select {
	case <-s.died:
		return callResult{Outcome: dispatch.Outcome{Failure: dispatch.NotSent}}
	default:
	}
	if s.failingLookups.Load() && j.class == ClassLookup {
		return failAfterDelay(ctx)
	}
	w := s.enqueue(j.priority)
	defer s.release(w)
	select {
	case <-w.ready:
	case <-ctx.Done():
		return callResult{Outcome: dispatch.Outcome{Failure: contextFailure(ctx)}}
	case <-s.died:
		return callResult{Outcome: dispatch.Outcome{Failure: dispatch.ConnectionLost}}
	}
	began := time.Now()
	out := s.execute(ctx, j)
	return callResult{Outcome: out, busyTime: time.Since(began)}
}

// failAfterDelay simulates a grey failure: the call fails after greyDelay.
func failAfterDelay(ctx context.Context) callResult {
	if !sleep(ctx, greyDelay) {
		return callResult{Outcome: dispatch.Outcome{Failure: contextFailure(ctx)}}
	}
	return callResult{Outcome: dispatch.Outcome{Failure: dispatch.UpstreamError}, busyTime: greyDelay}
}

func (s *server) execute(ctx context.Context, j job) dispatch.Outcome {
	took := j.serviceTime
	var out dispatch.Outcome
	if j.prefix != 0 {
		out.InputTokens = j.tokens
		if s.cache.Contains(j.prefix) {
			took -= time.Duration(prefillShare * float64(took))
			out.CachedTokens = j.tokens
		}
		s.cache.Add(j.prefix, struct{}{})
	}
	timer := time.NewTimer(took * time.Duration(s.slowdownPermille.Load()) / 1000)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		out.Failure = contextFailure(ctx)
	case <-s.died:
		out.Failure = dispatch.ConnectionLost
	}
	return out
}

func contextFailure(ctx context.Context) dispatch.Failure {
	if ctx.Err() == context.DeadlineExceeded {
		return dispatch.TimedOut
	}
	return dispatch.Cancelled
}
