package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// fakeStore is an infra.Store in memory with configurable faults.
type fakeStore struct {
	mu      sync.Mutex // guards all below
	values  map[string]infra.Entry
	version infra.Version
	rng     *rand.Rand
	faults  storeFaults
	reads   int
	writes  int
	bytes   int
	// onWrite is called for every write that takes effect, with mu held.
	onWrite func(key string, value []byte)
	// manualDefer keeps deferred writes until applyDeferred is called; otherwise
	// a timer applies them.
	manualDefer bool
	deferred    []write
}

// storeFaults are the faults of a fakeStore, as fractions of its calls.
type storeFaults struct {
	down bool
	// A write with lostReply takes effect and a dropped write does not; a
	// deferred write takes effect later if its version still matches. All three
	// return ErrUncertain.
	lostReply, dropped, deferred, failed float64
	delay                                time.Duration
}

// deferredWriteDelay is the time after which a deferred write takes effect.
const deferredWriteDelay = 20 * time.Millisecond

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{values: map[string]infra.Entry{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (f *fakeStore) setFaults(faults storeFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *fakeStore) simulateLatency(ctx context.Context) error {
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
	if err := f.simulateLatency(ctx); err != nil {
		return infra.Entry{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	// Concurrent reads come in no fixed order and must not draw from rng when a
	// test replays a seed.
	if f.faults.down || (!f.manualDefer && f.rng.Float64() < f.faults.failed) {
		return infra.Entry{}, infra.ErrUnavailable
	}
	found := f.values[key]
	found.Key = key
	return found, nil
}

// write applies a call's change to the store. mu must be held.
type write func() (infra.Version, error)

func (f *fakeStore) applyWrite(ctx context.Context, w write) (infra.Version, error) {
	if err := f.simulateLatency(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.faults.down || f.rng.Float64() < f.faults.failed {
		return 0, infra.ErrUnavailable
	}
	if f.rng.Float64() < f.faults.dropped {
		return 0, infra.ErrUncertain
	}
	if f.rng.Float64() < f.faults.deferred {
		f.deferWrite(w)
		return 0, infra.ErrUncertain
	}
	version, err := w()
	if f.rng.Float64() < f.faults.lostReply {
		return 0, infra.ErrUncertain
	}
	return version, err
}

// deferWrite makes w take effect later. mu must be held.
func (f *fakeStore) deferWrite(w write) {
	if f.manualDefer {
		f.deferred = append(f.deferred, w)
		return
	}
	time.AfterFunc(deferredWriteDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		_, _ = w()
	})
}

// applyDeferred runs one deferred write, which fails if its version has changed.
func (f *fakeStore) applyDeferred(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.deferred[index]
	f.deferred = append(f.deferred[:index], f.deferred[index+1:]...)
	_, _ = w()
}

func (f *fakeStore) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, _ infra.LeaseID) (infra.Version, error) {
	if len(value) > infra.MaxValueBytes {
		return 0, infra.ErrTooLarge
	}
	return f.applyWrite(ctx, func() (infra.Version, error) {
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
	_, err := f.applyWrite(ctx, func() (infra.Version, error) {
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

// pausableStore is one host's connection to the store. While gate is locked, calls
// wait, as they do when the host is stopped by SIGSTOP. A write that waited is sent
// even if its context has ended.
type pausableStore struct {
	*fakeStore
	gate sync.RWMutex
}

func (p *pausableStore) waitResumed() {
	p.gate.RLock()
	defer p.gate.RUnlock()
}

func (p *pausableStore) Get(ctx context.Context, key string) (infra.Entry, error) {
	p.waitResumed()
	return p.fakeStore.Get(ctx, key)
}

func (p *pausableStore) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	p.waitResumed()
	return p.fakeStore.CompareAndSwap(context.WithoutCancel(ctx), key, expect, value, lease)
}
