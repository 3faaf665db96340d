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

// Origins of a head, as named in logs and metrics.
const (
	originStore = "store"
	originPeer  = "peer"
)

// Timing of the search for new heads. Intervals and delays are jittered by up
// to half in both directions, timeouts are not.
const (
	watcherCheckInterval = 500 * time.Millisecond
	storeReadInterval    = 2 * time.Second
	pollInterval         = 1500 * time.Millisecond
	// retryDelay is the pause after a broken watch or a peer's head that could
	// not be processed.
	retryDelay   = 500 * time.Millisecond
	storeTimeout = 2 * time.Second
	// processTimeout bounds the comparison of a head and the fetching of its
	// document.
	processTimeout = 5 * time.Second
	// maxAlternatePeers bounds the further peers asked for objects that the
	// first source lacks.
	maxAlternatePeers = 2
	// pollWorkers bounds concurrent polls, so that one peer that does not
	// answer does not stop polling.
	pollWorkers = 2
	// storeFallbackDelay is the wait before objects of a peer's head that no
	// peer had are fetched from the store.
	storeFallbackDelay = 300 * time.Millisecond
)

// jitter returns a random duration between half of d and one and a half of it.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + rand.N(d)
}

// wait sleeps for about d. It returns false if ctx ended first.
func (s *Syncer) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(s.jitter(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// isWatcher reports whether this host should watch the store.
func (s *Syncer) isWatcher() bool {
	self := s.cfg.View.Self()
	return containsHost(watchers(s.cfg.View.Members(), self.Place.DataCentre), self.ID)
}

// runWatch watches and reads the store while this host is a watcher.
func (s *Syncer) runWatch(ctx context.Context) error {
	for ctx.Err() == nil {
		if s.isWatcher() {
			s.metrics.watching.Set(1)
			s.watchStore(ctx)
			s.metrics.watching.Set(0)
		}
		s.wait(ctx, watcherCheckInterval)
	}
	return ctx.Err()
}

// watchStore watches the head. It also reads the head at intervals, because a
// watch may hang or skip changes.
func (s *Syncer) watchStore(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.watchHead(ctx)
	}()
	for s.isWatcher() && s.wait(ctx, storeReadInterval) {
		s.readStoreHead(ctx)
	}
	cancel()
	<-done
}

// watchHead watches the head and starts again whenever the watch breaks.
func (s *Syncer) watchHead(ctx context.Context) {
	for ctx.Err() == nil {
		entries, err := s.store.Watch(ctx, headKey)
		if err == nil {
			for entry := range entries {
				s.processStoreHead(ctx, entry)
			}
		}
		s.wait(ctx, retryDelay)
	}
}

// readStoreHead reads and processes the store's head once. It returns false if
// the store did not answer or the head could not be processed.
func (s *Syncer) readStoreHead(ctx context.Context) bool {
	before := s.Current()
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.store.Get(readCtx, headKey)
	if err != nil {
		return false
	}
	s.checkStoreBehind(before, entry)
	return s.processStoreHead(ctx, entry)
}

// checkStoreBehind reports a store whose head is older than what this host
// served before reading it. Only reads are checked, because a watch may
// deliver old heads late.
func (s *Syncer) checkStoreBehind(before *Snapshot, entry infra.Entry) {
	storeHead, err := decodeHead(entry.Value)
	if entry.Version != infra.NoVersion && err != nil {
		return
	}
	if storeHead.generation() >= headOf(before).generation() {
		s.metrics.storeBehind.Set(0)
		return
	}
	s.metrics.storeBehind.Set(1)
	s.reportRefused(before, storeHead, headOlder, originStore)
}

// processStoreHead processes the store's head. It returns false if that
// failed.
func (s *Syncer) processStoreHead(ctx context.Context, entry infra.Entry) bool {
	if entry.Version == infra.NoVersion {
		return true
	}
	storeHead, err := decodeHead(entry.Value)
	if err != nil {
		s.metrics.headsRefused.WithLabelValues("unreadable").Inc()
		s.cfg.Logger.Error("configuration head unreadable", "error", err.Error())
		return false
	}
	from := append(sourceChain{storeSource{s.store}}, s.peerSourcesServing(storeHead.generation())...)
	return s.processHead(ctx, storeHead, originStore, from) == nil
}

// peerSourcesServing returns some peers that announce a generation, as
// sources.
func (s *Syncer) peerSourcesServing(generation Generation) []objectSource {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sources []objectSource
	for _, m := range peersServing(s.cfg.View, generation, maxAlternatePeers, s.random) {
		sources = append(sources, s.peerSourceFor(m))
	}
	return sources
}

// peerSourceFor returns a peer as a source of objects.
func (s *Syncer) peerSourceFor(m host.Member) objectSource {
	return peerSource{s.cfg.Caller, m.LinkAddr, func() { s.metrics.peerCalls.WithLabelValues("objects").Inc() }}
}

// runPolls selects a peer to poll for its head at intervals, in case a gossip
// announcement was lost.
func (s *Syncer) runPolls(ctx context.Context) error {
	for s.wait(ctx, pollInterval) {
		s.Floor() // updates its metric
		s.mu.Lock()
		peer, found := choosePoll(s.cfg.View, s.random)
		s.mu.Unlock()
		if found {
			sendLatest(s.pollPeers, peer)
		}
	}
	return ctx.Err()
}

// runFacts asks peers that announced a newer head. It is separate from the
// polls, so that a poll without an answer does not delay it.
func (s *Syncer) runFacts(ctx context.Context) error { return s.askPeers(ctx, s.factPeers) }

// askPeers asks the peers received from a channel one after another.
func (s *Syncer) askPeers(ctx context.Context, peers <-chan host.Member) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case peer := <-peers:
			s.askForHead(ctx, peer)
		}
	}
}

// sendLatest sends a peer on a channel of capacity one, replacing a peer that
// was not received yet.
func sendLatest(queue chan host.Member, peer host.Member) {
	for {
		select {
		case queue <- peer:
			return
		default:
		}
		select {
		case <-queue:
		default:
		}
	}
}

// headAnswer is the result of asking one peer for its head.
type headAnswer struct {
	answered   bool
	generation Generation
}

// askForHead asks a peer for its head and processes a head that the peer
// returns.
func (s *Syncer) askForHead(ctx context.Context, peer host.Member) headAnswer {
	served := headOf(s.Current())
	s.metrics.peerCalls.WithLabelValues("head").Inc()
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	response, err := link.CallTyped[headRequest, headResponse](
		callCtx, s.cfg.Caller, peer.LinkAddr, methodHead, headRequest{served.hash(), served.generation()})
	if err != nil {
		return headAnswer{}
	}
	if len(response.Head) > 0 {
		s.processPeerHead(ctx, peer, response)
	}
	return headAnswer{answered: true, generation: response.Generation}
}

// processPeerHead processes a peer's head.
func (s *Syncer) processPeerHead(ctx context.Context, peer host.Member, response headResponse) {
	peerHead, err := decodeHead(response.Head)
	if err != nil {
		s.metrics.headsRefused.WithLabelValues("unreadable").Inc()
		return
	}
	from := append(sourceChain{s.peerSourceFor(peer)}, s.peerSourcesServing(peerHead.generation())...)
	from = append(from, delayedSource{storeSource{s.store}, s.jitter(storeFallbackDelay)})
	if s.processHead(ctx, peerHead, originPeer, from) != nil {
		s.wait(ctx, retryDelay)
	}
}

// delayedSource waits before it asks its source, so that hosts whose peers
// fail don't all turn to the store at the same moment.
type delayedSource struct {
	objectSource
	delay time.Duration
}

// get waits for the delay and asks the source.
func (d delayedSource) get(ctx context.Context, wanted []Hash) ([]object, error) {
	timer := time.NewTimer(d.delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	case <-timer.C:
		return d.objectSource.get(ctx, wanted)
	}
}

// countingStore counts the store calls of a Syncer.
type countingStore struct {
	infra.Store
	calls *prometheus.CounterVec
}

// Get counts and makes a read.
func (c countingStore) Get(ctx context.Context, key string) (infra.Entry, error) {
	c.calls.WithLabelValues("get").Inc()
	return c.Store.Get(ctx, key)
}

// Watch counts and starts a watch.
func (c countingStore) Watch(ctx context.Context, key string) (<-chan infra.Entry, error) {
	c.calls.WithLabelValues("watch").Inc()
	return c.Store.Watch(ctx, key)
}
