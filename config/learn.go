package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/link"
)

// Where a head came from, as logs and metrics name it.
const (
	originStore = "store"
	originPeer  = "peer"
)

// The timers of learning. Each is spread by up to a half either way.
const (
	roleInterval = 500 * time.Millisecond
	readInterval = 2 * time.Second
	pollInterval = 1500 * time.Millisecond
	watchBackoff = 500 * time.Millisecond
	storeTimeout = 2 * time.Second
	// considerTimeout bounds the fetching of one generation.
	considerTimeout = 5 * time.Second
	otherHolders    = 2
	// pollWorkers is how many polls may hang at once.
	pollWorkers   = 2
	storeFallback = 300 * time.Millisecond
)

// spread returns a time around d.
func (s *Syncer) spread(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + rand.N(d)
}

// wait sleeps about d; false when ctx has ended.
func (s *Syncer) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(s.spread(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// isWatcher says whether this host watches the store.
func (s *Syncer) isWatcher() bool {
	self := s.cfg.View.Self()
	return contains(watchers(s.cfg.View.Members(), self.Place.DataCentre), self.ID)
}

// runWatch watches and reads the store for as long as this host is chosen.
func (s *Syncer) runWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.isWatcher() {
			s.metrics.watching.Set(1)
			s.watchWhileChosen(ctx)
			s.metrics.watching.Set(0)
		}
		s.wait(ctx, roleInterval)
	}
	return ctx.Err()
}

// watchWhileChosen follows the store's watch, and reads the head besides, in
// case the watch hangs or skips.
func (s *Syncer) watchWhileChosen(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.followWatch(ctx)
	}()
	for s.isWatcher() && s.wait(ctx, readInterval) {
		s.readStore(ctx)
	}
	cancel()
	<-done
}

// followWatch watches the head, again whenever the watch breaks.
func (s *Syncer) followWatch(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := s.store.Watch(ctx, headKey)
		if err == nil {
			for entry := range entries {
				s.considerEntry(ctx, entry)
			}
		}
		s.wait(ctx, watchBackoff)
	}
}

// readStore reads the head once and says whether the store answered.
func (s *Syncer) readStore(ctx context.Context) bool {
	before := s.Current()
	reading, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.store.Get(reading, headKey)
	if err != nil {
		return false
	}
	s.checkBehind(before, entry)
	return s.considerEntry(ctx, entry)
}

// checkBehind reports a store whose head is older than what this host served
// before it read it. Heads of watches don't count: they may be late.
func (s *Syncer) checkBehind(before *Snapshot, entry infra.Entry) {
	shown, err := decodeHead(entry.Value)
	if entry.Version != infra.NoVersion && err != nil {
		return
	}
	if shown.generation() >= headOf(before).generation() {
		s.metrics.behind.Set(0)
		return
	}
	s.metrics.behind.Set(1)
	s.refuse(before, shown, verdictOlder, originStore)
}

// considerEntry judges the store's head. It returns false when that could not
// be settled.
func (s *Syncer) considerEntry(ctx context.Context, entry infra.Entry) bool {
	if entry.Version == infra.NoVersion {
		return true
	}
	shown, err := decodeHead(entry.Value)
	if err != nil {
		s.metrics.refused.WithLabelValues("unreadable").Inc()
		s.cfg.Logger.Error("configuration head unreadable", "error", err.Error())
		return false
	}
	from := append(chain{storeSource{s.store}}, s.holderSources(shown.generation())...)
	return s.consider(ctx, shown, originStore, from) == nil
}

// holderSources lists some peers that announce a generation.
func (s *Syncer) holderSources(generation Generation) []source {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sources []source
	for _, m := range holders(s.cfg.View, generation, otherHolders, s.random) {
		sources = append(sources, s.peer(m))
	}
	return sources
}

// peer is a peer as a source of objects.
func (s *Syncer) peer(m host.Member) source {
	return peerSource{s.cfg.Caller, m.LinkAddr, func() { s.metrics.peerCalls.WithLabelValues("objects").Inc() }}
}

// runPolls has a peer asked for its head from time to time, in case no fact
// came.
func (s *Syncer) runPolls(ctx context.Context) error {
	for s.wait(ctx, pollInterval) {
		s.Floor() // keeps its metric fresh
		s.mu.Lock()
		peer, found := choosePoll(s.cfg.View, s.random)
		s.mu.Unlock()
		if found {
			replace(s.polls, peer)
		}
	}
	return ctx.Err()
}

// runFacts asks the peers that facts came from, apart from the polls, so that
// a peer that doesn't answer a poll holds no fact up.
func (s *Syncer) runFacts(ctx context.Context) error { return s.askAll(ctx, s.facts) }

// askAll asks the peers that come from a channel, one after the other.
func (s *Syncer) askAll(ctx context.Context, peers <-chan host.Member) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case peer := <-peers:
			s.ask(ctx, peer)
		}
	}
}

// replace puts a peer in place of one that still waits.
func replace(waiting chan host.Member, peer host.Member) {
	for {
		select {
		case waiting <- peer:
			return
		default:
		}
		select {
		case <-waiting:
		default:
		}
	}
}

// answer is what came of asking one peer for its head.
type answer struct {
	answered   bool
	generation Generation
}

// ask asks a peer for its head and follows it if it is newer.
func (s *Syncer) ask(ctx context.Context, peer host.Member) answer {
	served := headOf(s.Current())
	s.metrics.peerCalls.WithLabelValues("head").Inc()
	calling, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := link.CallTyped[headRequest, headResponse](
		calling, s.cfg.Caller, peer.LinkAddr, methodHead, headRequest{served.hash(), served.generation()})
	if err != nil {
		return answer{}
	}
	if len(response.Head) > 0 {
		s.considerPeer(ctx, peer, response)
	}
	return answer{answered: true, generation: response.Generation}
}

// considerPeer judges a peer's head.
func (s *Syncer) considerPeer(ctx context.Context, peer host.Member, response headResponse) {
	shown, err := decodeHead(response.Head)
	if err != nil {
		s.metrics.refused.WithLabelValues("unreadable").Inc()
		return
	}
	from := append(chain{s.peer(peer)}, s.holderSources(shown.generation())...)
	from = append(from, delayed{storeSource{s.store}, s.spread(storeFallback)})
	if s.consider(ctx, shown, originPeer, from) != nil {
		s.wait(ctx, watchBackoff)
	}
}

// delayed asks a source only after a while, so that a fleet whose peers fail
// doesn't turn to the store all at once.
type delayed struct {
	source
	after time.Duration
}

// get waits and asks.
func (d delayed) get(ctx context.Context, wanted []Hash) ([]object, error) {
	timer := time.NewTimer(d.after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-timer.C:
		return d.source.get(ctx, wanted)
	}
}

// countedStore counts the calls that a Syncer makes.
type countedStore struct {
	infra.Store
	calls *prometheus.CounterVec
}

// Get counts a read.
func (c countedStore) Get(ctx context.Context, key string) (infra.Entry, error) {
	c.calls.WithLabelValues("get").Inc()
	return c.Store.Get(ctx, key)
}

// Watch counts a watch.
func (c countedStore) Watch(ctx context.Context, key string) (<-chan infra.Entry, error) {
	c.calls.WithLabelValues("watch").Inc()
	return c.Store.Watch(ctx, key)
}
