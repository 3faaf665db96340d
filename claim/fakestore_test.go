package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform"
)

// fakeStore is a platform.Store in memory with faults on demand.
type fakeStore struct {
	mu      sync.Mutex // guards all below
	values  map[string]platform.Entry
	version platform.Version
	rng     *rand.Rand
	faults  storeFaults
	reads   int
	writes  int
	bytes   int
	// onWrite hears of every write that takes effect.
	onWrite func(key string, value []byte)
	// hold keeps late writes until land is called, in place of a timer.
	hold bool
	held []write
}

// storeFaults are the faults of a fakeStore, as shares of its calls.
type storeFaults struct {
	down bool
	// lost writes take effect and say that they may not have; unsent ones say
	// the same and take none; late ones take effect after a while, if they can.
	lost, unsent, late, failed float64
	delay                      time.Duration
}

// lateBy is when a late write takes effect.
const lateBy = 20 * time.Millisecond

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{values: map[string]platform.Entry{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (f *fakeStore) setFaults(faults storeFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *fakeStore) wait(ctx context.Context) error {
	f.mu.Lock()
	delay := f.faults.delay
	f.mu.Unlock()
	if delay == 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return platform.ErrUnavailable
	case <-time.After(delay):
		return nil
	}
}

func (f *fakeStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := f.wait(ctx); err != nil {
		return platform.Entry{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	// Reads that run side by side must not disturb a replay from a seed.
	if f.faults.down || (!f.hold && f.rng.Float64() < f.faults.failed) {
		return platform.Entry{}, platform.ErrUnavailable
	}
	found := f.values[key]
	found.Key = key
	return found, nil
}

// write is what a call does to the store once it gets there. mu must be held.
type write func() (platform.Version, error)

func (f *fakeStore) do(ctx context.Context, w write) (platform.Version, error) {
	if err := f.wait(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.faults.down || f.rng.Float64() < f.faults.failed {
		return 0, platform.ErrUnavailable
	}
	if f.rng.Float64() < f.faults.unsent {
		return 0, platform.ErrUncertain
	}
	if f.rng.Float64() < f.faults.late {
		f.delay(w)
		return 0, platform.ErrUncertain
	}
	version, err := w()
	if f.rng.Float64() < f.faults.lost {
		return 0, platform.ErrUncertain
	}
	return version, err
}

// delay lets w take effect later. mu must be held.
func (f *fakeStore) delay(w write) {
	if f.hold {
		f.held = append(f.held, w)
		return
	}
	time.AfterFunc(lateBy, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_, _ = w()
	})
}

// land lets one held write take effect, if it still can.
func (f *fakeStore) land(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.held[index]
	f.held = append(f.held[:index], f.held[index+1:]...)
	_, _ = w()
}

func (f *fakeStore) CompareAndSwap(ctx context.Context, key string, expect platform.Version, value []byte, _ platform.LeaseID) (platform.Version, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	return f.do(ctx, func() (platform.Version, error) {
		if f.values[key].Version != expect {
			return 0, platform.ErrConflict
		}
		f.version++
		f.bytes += len(value)
		if f.onWrite != nil {
			f.onWrite(key, value)
		}
		f.values[key] = platform.Entry{Value: append([]byte(nil), value...), Version: f.version}
		return f.version, nil
	})
}

func (f *fakeStore) CompareAndDelete(ctx context.Context, key string, expect platform.Version) error {
	_, err := f.do(ctx, func() (platform.Version, error) {
		if f.values[key].Version != expect {
			return 0, platform.ErrConflict
		}
		f.version++
		delete(f.values, key)
		return f.version, nil
	})
	return err
}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, platform.ErrUnavailable
}

func (f *fakeStore) KeepAlive(context.Context, platform.LeaseID) (time.Duration, error) {
	return 0, platform.ErrLeaseGone
}

func (f *fakeStore) RevokeLease(context.Context, platform.LeaseID) error { return nil }

func (f *fakeStore) Watch(context.Context, string) (<-chan platform.Entry, error) {
	return nil, platform.ErrUnavailable
}

// pausable is one host's way to the store, which can be held up: a call that is
// made meanwhile goes on only after resume, as after a SIGSTOP of the host.
type pausable struct {
	*fakeStore
	gate sync.RWMutex
}

func (p *pausable) pass() {
	p.gate.RLock()
	defer p.gate.RUnlock()
}

func (p *pausable) Get(ctx context.Context, key string) (platform.Entry, error) {
	p.pass()
	return p.fakeStore.Get(ctx, key)
}

func (p *pausable) CompareAndSwap(ctx context.Context, key string, expect platform.Version, value []byte, lease platform.LeaseID) (platform.Version, error) {
	p.pass()
	return p.fakeStore.CompareAndSwap(context.WithoutCancel(ctx), key, expect, value, lease)
}
