// Package infra meets the services that the platform gives: the key-value
// service, the host list and the weight store. The rest of the system sees
// only the interfaces here, so that another such service can stand behind them.
package infra

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("infra")

// The errors a Store returns. Test for them with errors.Is.
var (
	// ErrConflict says that a compare-and-swap found another version. The
	// write took no effect.
	ErrConflict = errs.New("version conflict")
	// ErrUnavailable says that the service surely did not take the call.
	ErrUnavailable = errs.New("store unavailable")
	// ErrUncertain says that a write may or may not have taken effect: its
	// answer was lost. Read back before deciding.
	ErrUncertain = errs.New("outcome of the write is uncertain")
	// ErrTooLarge says that a value is over MaxValueBytes.
	ErrTooLarge = errs.New("value too large")
	// ErrLeaseGone says that the lease has expired or was revoked.
	ErrLeaseGone = errs.New("lease gone")
	// ErrBudget says that the host's own call budget is used up.
	ErrBudget = errs.New("store call budget used up")
)

// MaxValueBytes is the largest value the store holds.
const MaxValueBytes = 1_000_000

// Version is the store's version of a key. It grows with every write of any
// key, so that it also serves as a fencing number. NoVersion means absent.
type Version int64

// NoVersion is the version of an absent key: comparing with it creates.
const NoVersion Version = 0

// LeaseID names a lease of the store. NoLease attaches none.
type LeaseID int64

// NoLease writes a key that does not expire.
const NoLease LeaseID = 0

// Entry is a key's value as read. Version is NoVersion when the key is absent.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// Store is the platform's key-value service, cut down to what the system
// relies on: reads, single-key compare-and-swap, leases and watches.
// Implementations are safe for concurrent use.
type Store interface {
	// Get reads one key. An absent key is no error: its Version is NoVersion.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's version is still expect
	// (NoVersion: if the key is absent) and returns the new version. It
	// returns ErrConflict when the version differs, ErrUnavailable when it
	// surely had no effect and ErrUncertain when it may have had one.
	CompareAndSwap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error)
	// CompareAndDelete deletes the key if its version is still expect. Errors
	// are those of CompareAndSwap.
	CompareAndDelete(ctx context.Context, key string, expect Version) error
	// GrantLease makes a lease that expires after ttl without a KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns the time left, or ErrLeaseGone.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch sends the current entry and then every change of one key until
	// ctx ends. The channel closes when the watch breaks; callers watch again.
	// Changes may be skipped: only the newest is sure to come.
	Watch(ctx context.Context, key string) (<-chan Entry, error)
}

// Priority orders the calls that share a host's store budget.
type Priority uint8

// The priorities, most urgent first.
const (
	PriorityClaim Priority = iota
	PriorityConfig
	PriorityOther
)
