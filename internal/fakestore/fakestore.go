// Package fakestore is a infra.Store in memory for tests. It can be down,
// lose answers after a write took effect, break and skip watches, and fall
// back to an older state.
package fakestore

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// Faults is how the store misbehaves. Shares are from 0 to 1.
type Faults struct {
	// Down makes every call fail at once.
	Down bool
	// LoseAnswer is the share of writes that take effect but answer
	// ErrUncertain.
	LoseAnswer float64
	// DropWrite is the share of writes that answer ErrUncertain without effect.
	DropWrite float64
	// Delay is the longest time a call takes.
	Delay time.Duration
	// MuteWatches keeps watches open but silent.
	MuteWatches bool
}

// Counts is the calls that were made.
type Counts struct {
	Reads, Writes, Watches int
}

// State is a copy of the store's content.
type State struct {
	entries map[string]infra.Entry
}

type watch struct {
	key  string
	wake chan struct{}
	stop chan struct{}
}

// Store is the fake.
type Store struct {
	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	counts   Counts
	version  infra.Version
	entries  map[string]infra.Entry
	leases   map[infra.LeaseID]*lease
	attached map[string]infra.LeaseID
	watches  map[*watch]struct{}
	observe  func(key string, before, after []byte)
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New makes an empty store.
func New(seed uint64) *Store {
	return &Store{
		random:   rand.New(rand.NewPCG(seed, 1)),
		entries:  make(map[string]infra.Entry),
		leases:   make(map[infra.LeaseID]*lease),
		attached: make(map[string]infra.LeaseID),
		watches:  make(map[*watch]struct{}),
	}
}

// SetFaults changes how the store misbehaves.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.breakWatches()
	}
}

// Observe calls seen for every write that takes effect, whatever its answer.
// seen must not call the store.
func (s *Store) Observe(seen func(key string, before, after []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe = seen
}

// Counts returns the calls made so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Save copies the content.
func (s *Store) Save() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{maps.Clone(s.entries)}
}

// Restore falls back to a copy. Versions go on from where they are.
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

// breakWatches needs mu.
func (s *Store) breakWatches() {
	for w := range s.watches {
		close(w.stop)
		delete(s.watches, w)
	}
}

// begin waits as long as the call takes, and counts it.
func (s *Store) begin(ctx context.Context, count func(*Counts)) (Faults, error) {
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
	if _, err := s.begin(ctx, countRead); err != nil {
		return infra.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read(key), nil
}

// read needs mu.
func (s *Store) read(key string) infra.Entry {
	s.expire()
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
			s.attached[key] = id
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

// write makes one compare-and-swap with the faults that are set.
func (s *Store) write(
	ctx context.Context, key string, expect infra.Version, effect func() error,
) (infra.Version, error) {
	faults, err := s.begin(ctx, countWrite)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	luck := s.random.Float64()
	if luck < faults.DropWrite {
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
	if luck < faults.DropWrite+faults.LoseAnswer {
		return 0, infra.ErrUncertain
	}
	return s.version, nil
}

// wakeWatches needs mu.
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
	if _, err := s.begin(ctx, countWrite); err != nil {
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
	if _, err := s.begin(ctx, countWrite); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held := s.leases[id]
	if held == nil {
		return 0, infra.ErrLeaseGone
	}
	held.expires = time.Now().Add(held.ttl)
	return held.ttl, nil
}

// RevokeLease implements infra.Store.
func (s *Store) RevokeLease(ctx context.Context, id infra.LeaseID) error {
	if _, err := s.begin(ctx, countWrite); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(id)
	return nil
}

// expire needs mu.
func (s *Store) expire() {
	for id, held := range s.leases {
		if !time.Now().Before(held.expires) {
			s.end(id)
		}
	}
}

// end deletes a lease and its keys. It needs mu.
func (s *Store) end(id infra.LeaseID) {
	delete(s.leases, id)
	for key, attached := range s.attached {
		if attached == id {
			s.version++
			delete(s.attached, key)
			delete(s.entries, key)
			s.wakeWatches(key)
		}
	}
}

// Watch implements infra.Store.
func (s *Store) Watch(ctx context.Context, key string) (<-chan infra.Entry, error) {
	if _, err := s.begin(ctx, countWatch); err != nil {
		return nil, err
	}
	w := &watch{key: key, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	w.wake <- struct{}{}
	out := make(chan infra.Entry)
	s.mu.Lock()
	s.watches[w] = struct{}{}
	s.mu.Unlock()
	go s.feed(ctx, w, out)
	return out, nil
}

// feed sends what a watch sees until it ends.
func (s *Store) feed(ctx context.Context, w *watch, out chan<- infra.Entry) {
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
