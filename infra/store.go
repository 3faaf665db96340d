// Package infra defines the interfaces to the platform's key-value service and
// host list. The rest of the system depends only on these interfaces, so that
// either service can be replaced. The subpackages contain the clients of the
// platform's services, including the weight store.
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
	// ErrConflict means that a compare-and-swap found another version. The
	// write had no effect.
	ErrConflict = errs.New("version conflict")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errs.New("store unavailable")
	// ErrUncertain means that the response to a write was lost, so that the
	// write may or may not have taken effect. Read the key to find out.
	ErrUncertain = errs.New("outcome of the write is uncertain")
	// ErrTooLarge means that a value is larger than the store accepts; see
	// MaxValueBytes.
	ErrTooLarge = errs.New("value too large")
	// ErrLeaseGone means that the lease has expired or was revoked.
	ErrLeaseGone = errs.New("lease gone")
	// ErrBudgetExhausted means that the host's own budget of store calls did not
	// admit the call in time. The call was not sent.
	ErrBudgetExhausted = errs.New("store call budget used up")
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1_000_000

// Version is the store's version of a key. The store's version number increases
// with every write to any key, so that a Version also serves as a fencing
// number.
type Version int64

// NoVersion is the version of an absent key. A compare-and-swap that expects it
// creates the key.
const NoVersion Version = 0

// LeaseID identifies a lease of the store.
type LeaseID int64

// NoLease attaches no lease to a written key, so that the key does not expire.
const NoLease LeaseID = 0

// Entry is a key with its value and version as read. Version is NoVersion if the
// key is absent.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// Store is the part of the platform's key-value service that the system uses:
// reads, compare-and-swap of single keys, leases and watches.
// Implementations are safe for concurrent use.
type Store interface {
	// Get reads one key. An absent key is not an error: its Version is NoVersion.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's version is expect, and returns the
	// new version. If expect is NoVersion, it writes only an absent key. It
	// returns ErrConflict if the version differs, ErrUnavailable if the write
	// certainly had no effect and ErrUncertain if it may have had one. The key is
	// attached to lease unless that is NoLease.
	CompareAndSwap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error)
	// CompareAndDelete deletes the key if its version is expect. It returns the
	// same errors as CompareAndSwap.
	CompareAndDelete(ctx context.Context, key string, expect Version) error
	// GrantLease creates a lease that expires if KeepAlive is not called for ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time. It returns
	// ErrLeaseGone if the lease has ended.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch sends the current entry of one key and then its changes until ctx
	// ends. Intermediate changes may be skipped, but the latest entry always
	// arrives. The channel is closed when the watch breaks; callers then start a
	// new one.
	Watch(ctx context.Context, key string) (<-chan Entry, error)
}

// Priority is the priority of a call within the host's store budget.
type Priority uint8

// The priorities, from highest to lowest.
const (
	PriorityClaim Priority = iota
	PriorityConfig
	PriorityOther
)
