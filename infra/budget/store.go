package budget

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// store is a infra.Store within a Budget.
type store struct {
	inner    infra.Store
	budget   *Budget
	priority infra.Priority
}

// Store wraps inner so that its calls have the priority p in the budget. Calls
// that the budget has no room for before their context ends fail with
// infra.ErrBudget; calls on a store that fails, with
// infra.ErrUnavailable. Neither reaches the store.
func (b *Budget) Store(inner infra.Store, p infra.Priority) infra.Store {
	return &store{inner: inner, budget: b, priority: p}
}

func (s *store) Get(ctx context.Context, key string) (infra.Entry, error) {
	if err := s.budget.wait(ctx, s.priority, false); err != nil {
		return infra.Entry{}, err
	}
	found, err := s.inner.Get(ctx, key)
	s.budget.report(err)
	return found, err
}

func (s *store) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return infra.NoVersion, err
	}
	version, err := s.inner.CompareAndSwap(ctx, key, expect, value, lease)
	s.budget.report(err)
	return version, err
}

func (s *store) CompareAndDelete(ctx context.Context, key string, expect infra.Version) error {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return err
	}
	err := s.inner.CompareAndDelete(ctx, key, expect)
	s.budget.report(err)
	return err
}

func (s *store) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return infra.NoLease, err
	}
	lease, err := s.inner.GrantLease(ctx, ttl)
	s.budget.report(err)
	return lease, err
}

func (s *store) KeepAlive(ctx context.Context, lease infra.LeaseID) (time.Duration, error) {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return 0, err
	}
	left, err := s.inner.KeepAlive(ctx, lease)
	s.budget.report(err)
	return left, err
}

func (s *store) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	if err := s.budget.wait(ctx, s.priority, true); err != nil {
		return err
	}
	err := s.inner.RevokeLease(ctx, lease)
	s.budget.report(err)
	return err
}

// Watch counts as a call for as long as it waits.
func (s *store) Watch(ctx context.Context, key string) (<-chan infra.Entry, error) {
	if err := s.budget.wait(ctx, s.priority, false); err != nil {
		return nil, err
	}
	changes, err := s.inner.Watch(ctx, key)
	s.budget.report(err)
	if err != nil {
		return nil, err
	}
	s.budget.watching(1)
	passed := make(chan infra.Entry)
	go s.pass(ctx, changes, passed)
	return passed, nil
}

func (s *store) pass(ctx context.Context, changes <-chan infra.Entry, passed chan<- infra.Entry) {
	defer close(passed)
	defer s.budget.watching(-1)
	for change := range changes {
		select {
		case passed <- change:
		case <-ctx.Done():
			return
		}
	}
}
