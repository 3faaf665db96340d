package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// fakeStore is a infra.Store in memory with faults on demand.
type fakeStore struct {
	mu      sync.Mutex // guards all below
	values  map[string]infra.Entry
	version infra.Version
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
	return &fakeStore{values: map[string]infra.Entry{}, rng: rand.New(rand.NewPCG(seed, 1))}
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
		return infra.ErrUnavailable
	case <-time.After(delay):
		return nil
	}
}

func (f *fakeStore) Get(ctx context.Context, key string) (infra.Entry, error) {
	if err := f.wait(ctx); err != nil {
		return infra.Entry{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	// Reads that run side by side must not disturb a replay from a seed.
	if f.faults.down || (!f.hold && f.rng.Float64() < f.faults.failed) {
		return infra.Entry{}, infra.ErrUnavailable
	}
	found := f.values[key]
	found.Key = key
	return found, nil
}

// write is what a call does to the store once it gets there. mu must be held.
type write func() (infra.Version, error)

func (f *fakeStore) do(ctx context.Context, w write) (infra.Version, error) {
	if err := f.wait(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.faults.down || f.rng.Float64() < f.faults.failed {
		return 0, infra.ErrUnavailable
	}
	if f.rng.Float64() < f.faults.unsent {
		return 0, infra.ErrUncertain
	}
	if f.rng.Float64() < f.faults.late {
		f.delay(w)
		return 0, infra.ErrUncertain
	}
	version, err := w()
	if f.rng.Float64() < f.faults.lost {
		return 0, infra.ErrUncertain
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

func (f *fakeStore) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, _ infra.LeaseID) (infra.Version, error) {
	if len(value) > infra.MaxValueBytes {
		return 0, infra.ErrTooLarge
	}
	return f.do(ctx, func() (infra.Version, error) {
		if f.values[key].Version != expect {
			return 0, infra.ErrConflict
		}
		f.version++
		f.bytes += len(value)
		if f.onWrite != nil {
			f.onWrite(key, value)
		}
		f.values[key] = infra.Entry{Value: append([]byte(nil), value...), Version: f.version}
		return f.version, nil
	})
}

func (f *fakeStore) CompareAndDelete(ctx context.Context, key string, expect infra.Version) error {
	_, err := f.do(ctx, func() (infra.Version, error) {
		if f.values[key].Version != expect {
			return 0, infra.ErrConflict
		}
		f.version++
		delete(f.values, key)
		return f.version, nil
	})
	return err
}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (infra.LeaseID, error) {
	return 0, infra.ErrUnavailable
}

func (f *fakeStore) KeepAlive(context.Context, infra.LeaseID) (time.Duration, error) {
	return 0, infra.ErrLeaseGone
}

func (f *fakeStore) RevokeLease(context.Context, infra.LeaseID) error { return nil }

func (f *fakeStore) Watch(context.Context, string) (<-chan infra.Entry, error) {
	return nil, infra.ErrUnavailable
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

func (p *pausable) Get(ctx context.Context, key string) (infra.Entry, error) {
	p.pass()
	return p.fakeStore.Get(ctx, key)
}

func (p *pausable) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	p.pass()
	return p.fakeStore.CompareAndSwap(context.WithoutCancel(ctx), key, expect, value, lease)
}
