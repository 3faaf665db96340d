package planner

import (
	"context"
	"errors"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// Timing of a planner's lease and of its orders.
const (
	leaseTTL = 10 * time.Second
	// leaseMargin is how long before the lease ends its holder stops sending
	// orders. It covers clock drift and the time between checking the lease and
	// sending an order.
	leaseMargin   = 3 * time.Second
	renewInterval = 2 * time.Second
	// orderTimeout bounds one call that sends an order.
	orderTimeout = 3 * time.Second
	// settleTime is how long a new holder waits before its first order, so that
	// no order of the previous holder is still in flight.
	settleTime = 2 * orderTimeout
)

// tenure is one period in which this host holds the lease. Its times carry a
// monotonic clock reading, so that changes of the wall clock don't affect them.
type tenure struct {
	lease infra.LeaseID
	// fencing is the store's version of the leader key. It is larger for every
	// later holder.
	fencing int64
	// validUntil is when the holder must stop sending orders.
	validUntil time.Time
	// settledAt is when the holder may start sending orders.
	settledAt time.Time
}

// mayOrder reports whether the holder may send an order now. It corresponds to
// MayOrder in spec/orders.pml.
func (t *tenure) mayOrder(now time.Time) bool {
	return t != nil && !now.Before(t.settledAt) && now.Before(t.validUntil)
}

// leaderKey is the store key that names the holder of a group's lease.
func leaderKey(group string) string { return "planner/" + group + "/leader" }

// acquire tries to become the holder. It returns nil without an error when
// another host holds the lease or acquires it first.
func acquire(ctx context.Context, store infra.Store, group, holder string) (*tenure, error) {
	entry, err := store.Get(ctx, leaderKey(group))
	if err != nil || entry.Version != infra.NoVersion {
		return nil, Error.Wrap(err)
	}
	requestedAt := time.Now()
	lease, err := store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	version, err := store.CompareAndSwap(ctx, leaderKey(group), infra.NoVersion, []byte(holder), lease)
	if err != nil {
		// If only the answer was lost, the key exists; revoking its lease
		// removes it.
		_ = store.RevokeLease(ctx, lease)
		if errors.Is(err, infra.ErrConflict) {
			return nil, nil
		}
		return nil, Error.Wrap(err)
	}
	return &tenure{
		lease: lease, fencing: int64(version),
		validUntil: requestedAt.Add(leaseTTL - leaseMargin), settledAt: time.Now().Add(settleTime),
	}, nil
}

// renew extends a tenure. The new validity is counted from before the call was
// made, so that it never outlasts the lease in the store.
func (t *tenure) renew(ctx context.Context, store infra.Store) error {
	requestedAt := time.Now()
	left, err := store.KeepAlive(ctx, t.lease)
	if err != nil {
		return Error.Wrap(err)
	}
	until := requestedAt.Add(min(left, leaseTTL) - leaseMargin)
	if until.After(t.validUntil) {
		t.validUntil = until
	}
	return nil
}
