package budget

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// store is an infra.Store whose calls are limited by a Budget.
type store struct {
	inner    infra.Store
	budget   *Budget
	priority infra.Priority
}

// Store wraps inner so that its calls are limited by the budget with priority p.
// A call that the budget does not admit before its context ends fails with
// infra.ErrBudgetExhausted. A call during the backoff of a failing store fails
// with infra.ErrUnavailable. Neither is sent to the store.
func (b *Budget) Store(inner infra.Store, p infra.Priority) infra.Store {
	return &store{inner: inner, budget: b, priority: p}
}

func (s *store) Get(ctx context.Context, key string) (infra.Entry, error) {
	if err := s.budget.wait(ctx, s.priority, false); err != nil {
		return infra.Entry{}, err
	}
	entry, err := s.inner.Get(ctx, key)
	s.budget.recordResult(err)
	return entry, err
}

func (s *store) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return infra.NoVersion, err
	}
	version, err := s.inner.CompareAndSwap(ctx, key, expect, value, lease)
	s.budget.recordResult(err)
	return version, err
}

func (s *store) CompareAndDelete(ctx context.Context, key string, expect infra.Version) error {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return err
	}
	err := s.inner.CompareAndDelete(ctx, key, expect)
	s.budget.recordResult(err)
	return err
}

func (s *store) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return infra.NoLease, err
	}
	lease, err := s.inner.GrantLease(ctx, ttl)
	s.budget.recordResult(err)
	return lease, err
}

func (s *store) KeepAlive(ctx context.Context, lease infra.LeaseID) (time.Duration, error) {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return 0, err
	}
	left, err := s.inner.KeepAlive(ctx, lease)
	s.budget.recordResult(err)
	return left, err
}

func (s *store) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return err
	}
	err := s.inner.RevokeLease(ctx, lease)
	s.budget.recordResult(err)
	return err
}

// Watch counts against the budget's read rate for as long as the watch is open.
func (s *store) Watch(ctx context.Context, key string) (<-chan infra.Entry, error) {
	if err := s.budget.wait(ctx, s.priority, false); err != nil {
		return nil, err
	}
	changes, err := s.inner.Watch(ctx, key)
	s.budget.recordResult(err)
	if err != nil {
		return nil, err
	}
	s.budget.addWatches(1)
	forwarded := make(chan infra.Entry)
	go s.forward(ctx, changes, forwarded)
	return forwarded, nil
}

func (s *store) forward(ctx context.Context, changes <-chan infra.Entry, forwarded chan<- infra.Entry) {
	defer close(forwarded)
	defer s.budget.addWatches(-1)
	for change := range changes {
		select {
		case forwarded <- change:
		case <-ctx.Done():
			return
		}
	}
}
