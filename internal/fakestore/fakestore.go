// Package fakestore provides an in-memory infra.Store for tests. It can be down,
// lose writes or their responses, delay calls, break or silence watches, and be
// restored to an older state.
package fakestore

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// Faults configures how the store misbehaves. Shares are from 0 to 1.
type Faults struct {
	// Down makes every call fail at once with infra.ErrUnavailable.
	Down bool
	// LoseResponse is the share of writes that take effect but return
	// infra.ErrUncertain.
	LoseResponse float64
	// DropWrite is the share of writes that have no effect and return
	// infra.ErrUncertain.
	DropWrite float64
	// Delay is the maximum duration of a call; each call takes a random part of
	// it.
	Delay time.Duration
	// MuteWatches keeps watches open but stops reporting changes on them.
	MuteWatches bool
}

// Counts contains the numbers of calls made.
type Counts struct {
	Reads, Writes, Watches int
}

// State is a copy of the store's content.
type State struct {
	entries map[string]infra.Entry
}

type watch struct {
	key  string
	wake chan struct{} // signals that the key may have changed
	stop chan struct{} // closed when the store breaks the watch
}

// Store is an in-memory infra.Store. It is safe for concurrent use.
type Store struct {
	mu         sync.Mutex // guards the fields below
	random     *rand.Rand
	faults     Faults
	counts     Counts
	version    infra.Version
	entries    map[string]infra.Entry
	leases     map[infra.LeaseID]*lease
	leaseByKey map[string]infra.LeaseID
	watches    map[*watch]struct{}
	observe    func(key string, before, after []byte)
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store whose faults and delays are drawn from seed.
func New(seed uint64) *Store {
	return &Store{
		random:     rand.New(rand.NewPCG(seed, 1)),
		entries:    make(map[string]infra.Entry),
		leases:     make(map[infra.LeaseID]*lease),
		leaseByKey: make(map[string]infra.LeaseID),
		watches:    make(map[*watch]struct{}),
	}
}

// SetFaults replaces the faults. Setting Down also breaks every watch.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.breakWatches()
	}
}

// Observe registers a function that is called for every CompareAndSwap that takes
// effect, including those whose response is lost. It must not call the store.
func (s *Store) Observe(observe func(key string, before, after []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = observe
}

// Counts returns the calls made so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Save returns a copy of the content, for Restore.
func (s *Store) Save() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{maps.Clone(s.entries)}
}

// Restore replaces the content by a saved copy and breaks every watch. Each
// restored entry gets a new version, above all earlier ones.
func (s *Store) Restore(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = maps.Clone(state.entries)
	for key, entry := range s.entries {
		s.version++
		entry.Version = s.version
		s.entries[key] = entry
	}
	s.breakWatches()
}

// BreakWatches closes every watch.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakWatches()
}

// breakWatches closes every watch. mu must be held.
func (s *Store) breakWatches() {
	for w := range s.watches {
		close(w.stop)
		delete(s.watches, w)
	}
}

// startCall counts a call and waits for its delay. It returns the faults that were
// set when the call began.
func (s *Store) startCall(ctx context.Context, count func(*Counts)) (Faults, error) {
	s.mu.Lock()
	count(&s.counts)
	faults := s.faults
	delay := time.Duration(0)
	if faults.Delay > 0 {
		delay = time.Duration(s.random.Int64N(int64(faults.Delay)))
	}
	s.mu.Unlock()
	if faults.Down {
		return faults, infra.ErrUnavailable
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return faults, infra.ErrUnavailable
		case <-timer.C:
		}
	}
	return faults, nil
}

func countRead(c *Counts)  { c.Reads++ }
func countWrite(c *Counts) { c.Writes++ }
func countWatch(c *Counts) { c.Watches++ }

// Get implements infra.Store.
func (s *Store) Get(ctx context.Context, key string) (infra.Entry, error) {
	if _, err := s.startCall(ctx, countRead); err != nil {
		return infra.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(key), nil
}

// read expires leases and returns the entry of a key. mu must be held.
func (s *Store) read(key string) infra.Entry {
	s.expireLeases()
	entry := s.entries[key]
	entry.Key = key
	return entry
}

// CompareAndSwap implements infra.Store.
func (s *Store) CompareAndSwap(
	ctx context.Context, key string, expect infra.Version, value []byte, id infra.LeaseID,
) (infra.Version, error) {
	if len(value) > infra.MaxValueBytes {
		return 0, infra.ErrTooLarge
	}
	return s.write(ctx, key, expect, func() error {
		if id != infra.NoLease {
			if s.leases[id] == nil {
				return infra.ErrLeaseGone
			}
			s.leaseByKey[key] = id
		}
		before := s.entries[key].Value
		s.entries[key] = infra.Entry{Key: key, Value: value, Version: s.version}
		if s.observe != nil {
			s.observe(key, before, value)
		}
		return nil
	})
}

// CompareAndDelete implements infra.Store.
func (s *Store) CompareAndDelete(ctx context.Context, key string, expect infra.Version) error {
	_, err := s.write(ctx, key, expect, func() error {
		delete(s.entries, key)
		return nil
	})
	return err
}

// write runs effect if the key's version is expect, with the faults that are set.
// It holds mu while it calls effect.
func (s *Store) write(
	ctx context.Context, key string, expect infra.Version, effect func() error,
) (infra.Version, error) {
	faults, err := s.startCall(ctx, countWrite)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	draw := s.random.Float64()
	if draw < faults.DropWrite {
		return 0, infra.ErrUncertain
	}
	if s.read(key).Version != expect {
		return 0, infra.ErrConflict
	}
	s.version++
	if err := effect(); err != nil {
		return 0, err
	}
	s.wakeWatches(key)
	if draw < faults.DropWrite+faults.LoseResponse {
		return 0, infra.ErrUncertain
	}
	return s.version, nil
}

// wakeWatches signals the watches of a key, unless they are muted. mu must be
// held.
func (s *Store) wakeWatches(key string) {
	for w := range s.watches {
		if w.key == key && !s.faults.MuteWatches {
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}
}

// GrantLease implements infra.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	if _, err := s.startCall(ctx, countWrite); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	id := infra.LeaseID(s.version)
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	return id, nil
}

// KeepAlive implements infra.Store.
func (s *Store) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	if _, err := s.startCall(ctx, countWrite); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	held := s.leases[id]
	if held == nil {
		return 0, infra.ErrLeaseGone
	}
	held.expires = time.Now().Add(held.ttl)
	return held.ttl, nil
}

// RevokeLease implements infra.Store.
func (s *Store) RevokeLease(ctx context.Context, id infra.LeaseID) error {
	if _, err := s.startCall(ctx, countWrite); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLease(id)
	return nil
}

// expireLeases ends the leases whose time is up. mu must be held.
func (s *Store) expireLeases() {
	for id, held := range s.leases {
		if !time.Now().Before(held.expires) {
			s.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and its keys. mu must be held.
func (s *Store) deleteLease(id infra.LeaseID) {
	delete(s.leases, id)
	for key, attached := range s.leaseByKey {
		if attached == id {
			s.version++
			delete(s.leaseByKey, key)
			delete(s.entries, key)
			s.wakeWatches(key)
		}
	}
}

// Watch implements infra.Store.
func (s *Store) Watch(ctx context.Context, key string) (<-chan infra.Entry, error) {
	if _, err := s.startCall(ctx, countWatch); err != nil {
		return nil, err
	}
	w := &watch{key: key, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	w.wake <- struct{}{}
	out := make(chan infra.Entry)
	s.mu.Lock()
	s.watches[w] = struct{}{}
	s.mu.Unlock()
	go s.runWatch(ctx, w, out)
	return out, nil
}

// runWatch sends the key's entry after each signal until the watch breaks or ctx
// ends.
func (s *Store) runWatch(ctx context.Context, w *watch, out chan<- infra.Entry) {
	defer close(out)
	for {
		select {
		case <-ctx.Done():
			s.mu.Lock()
			delete(s.watches, w)
			s.mu.Unlock()
			return
		case <-w.stop:
			return
		case <-w.wake:
		}
		s.mu.Lock()
		entry := s.read(w.key)
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-w.stop:
			return
		case out <- entry:
		}
	}
}
