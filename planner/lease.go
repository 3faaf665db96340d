package planner

import (
	"context"
	"errors"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// The times of a planner's lease.
const (
	leaseTTL = 10 * time.Second
	// leaseMargin is taken off the lease for clocks that run apart and for the
	// time between the check and the order.
	leaseMargin   = 3 * time.Second
	renewInterval = 2 * time.Second
	// orderTimeout bounds an order in flight.
	orderTimeout = 3 * time.Second
	// settleTime is how long a new holder waits, so that no order of the last
	// one is still in flight.
	settleTime = 2 * orderTimeout
)

// tenure is one holding of the lease. Its times are monotonic.
type tenure struct {
	lease infra.LeaseID
	// fencing is the store's version of the leader key, larger for every
	// later holder.
	fencing int64
	// validUntil is when the holder must stop giving orders.
	validUntil time.Time
	// settled is when it may begin to.
	settled time.Time
}

// mayOrder says whether the holder may give an order now. spec/orders.pml
// calls it MayOrder.
func (t *tenure) mayOrder(now time.Time) bool {
	return t != nil && !now.Before(t.settled) && now.Before(t.validUntil)
}

// leaderKey is where the holder's key of a group lies.
func leaderKey(group string) string { return "planner/" + group + "/leader" }

// acquire tries to become the holder; nil when somebody else is.
func acquire(ctx context.Context, store infra.Store, group, holder string) (*tenure, error) {
	entry, err := store.Get(ctx, leaderKey(group))
	if err != nil || entry.Version != infra.NoVersion {
		return nil, Error.Wrap(err)
	}
	asked := time.Now()
	lease, err := store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	version, err := store.CompareAndSwap(ctx, leaderKey(group), infra.NoVersion, []byte(holder), lease)
	if err != nil {
		// After a lost answer the key, if it is there, ends with its lease.
		_ = store.RevokeLease(ctx, lease)
		if errors.Is(err, infra.ErrConflict) {
			return nil, nil
		}
		return nil, Error.Wrap(err)
	}
	return &tenure{
		lease: lease, fencing: int64(version),
		validUntil: asked.Add(leaseTTL - leaseMargin), settled: time.Now().Add(settleTime),
	}, nil
}

// renew lengthens a tenure. The lease counts from before the call was made.
func (t *tenure) renew(ctx context.Context, store infra.Store) error {
	asked := time.Now()
	left, err := store.KeepAlive(ctx, t.lease)
	if err != nil {
		return Error.Wrap(err)
	}
	until := asked.Add(min(left, leaseTTL) - leaseMargin)
	if until.After(t.validUntil) {
		t.validUntil = until
	}
	return nil
}
