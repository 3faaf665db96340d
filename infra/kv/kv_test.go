package kv_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/infra/kv"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout limits the waits for events that must happen.
const waitTimeout = 10 * time.Second

// startStoreAndClient starts a stand-in store and returns it with a client. The
// store is the last of the client's endpoints.
func startStoreAndClient(t *testing.T, cfg kv.Config) (*store.Store, *kv.Client) {
	t.Helper()
	s, err := store.Start(store.Config{})
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	cfg.Endpoints = append(cfg.Endpoints, s.URL())
	c, err := kv.New(cfg)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return s, c
}

// TestCompareAndSwapAgainstModel compares the results of random writes with a
// plain map. Some responses are lost after the write has taken effect.
func TestCompareAndSwapAgainstModel(t *testing.T) {
	s, c := startStoreAndClient(t, kv.Config{})
	ctx := t.Context()
	run := 0
	rapid.Check(t, func(r *rapid.T) {
		run++
		held := map[string]infra.Entry{}
		highest := infra.NoVersion
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			key := fmt.Sprintf("run-%d/%s", run, rapid.SampledFrom([]string{"a", "b"}).Draw(r, "key"))
			value := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(r, "value")
			expect := held[key].Version
			stale := rapid.Bool().Draw(r, "stale")
			if stale {
				expect += 1_000_000
			}
			if rapid.Bool().Draw(r, "lost") {
				s.Fault(fault.Fault{Kind: fault.LostAnswer, Count: 1})
				_, err := c.CompareAndSwap(ctx, key, expect, value, infra.NoLease)
				require.ErrorIs(r, err, infra.ErrUncertain)
			} else {
				_, err := c.CompareAndSwap(ctx, key, expect, value, infra.NoLease)
				if stale {
					require.ErrorIs(r, err, infra.ErrConflict)
				} else {
					require.NoError(r, err)
				}
			}
			got, err := c.Get(ctx, key)
			require.NoError(r, err)
			if stale {
				require.Equal(r, held[key].Version, got.Version)
				require.True(r, bytes.Equal(held[key].Value, got.Value))
				continue
			}
			require.Greater(r, got.Version, highest)
			require.True(r, bytes.Equal(value, got.Value))
			highest = got.Version
			held[key] = got
		}
	})
}

// TestErrorMatchesEffectOfWrite checks that the error of a failed write matches
// what the key contains afterwards.
func TestErrorMatchesEffectOfWrite(t *testing.T) {
	s, c := startStoreAndClient(t, kv.Config{Timeout: 300 * time.Millisecond})
	ctx := t.Context()
	write := func(key string) error {
		_, err := c.CompareAndSwap(ctx, key, infra.NoVersion, []byte("x"), infra.NoLease)
		return err
	}
	exists := func(key string) bool {
		entry, err := c.Get(ctx, key)
		require.NoError(t, err)
		return entry.Version != infra.NoVersion
	}

	s.Fault(fault.Fault{Kind: fault.Refuse, Count: 1})
	require.ErrorIs(t, write("refused"), infra.ErrUnavailable)
	require.False(t, exists("refused"))

	s.Fault(fault.Fault{Kind: fault.Stall, Count: 1})
	require.ErrorIs(t, write("stalled"), infra.ErrUncertain)

	s.Fault(fault.Fault{Kind: fault.LostAnswer, Count: 1})
	require.ErrorIs(t, write("lost"), infra.ErrUncertain)
	require.True(t, exists("lost"))

	s.Fault(fault.Fault{Kind: fault.LostAnswer, Count: 1})
	_, err := c.Get(ctx, "lost")
	require.ErrorIs(t, err, infra.ErrUnavailable)

	_, err = c.CompareAndSwap(ctx, "large", infra.NoVersion, make([]byte, infra.MaxValueBytes+1), infra.NoLease)
	require.ErrorIs(t, err, infra.ErrTooLarge)
	// The short timeout above is for the stall; writing a large value takes
	// longer.
	patient, err := kv.New(kv.Config{Endpoints: []string{s.URL()}, Timeout: 30 * time.Second})
	require.NoError(t, err)
	defer patient.Close()
	_, err = patient.CompareAndSwap(ctx, "largest", infra.NoVersion, make([]byte, infra.MaxValueBytes), infra.NoLease)
	require.NoError(t, err)

	s.Fault(fault.Fault{Kind: fault.Down})
	c.Close() // a broken pooled connection would make the outcome uncertain
	require.ErrorIs(t, write("down"), infra.ErrUnavailable)
	s.Fault(fault.Fault{Kind: fault.Clear})
	require.False(t, exists("down"))
}

// TestWriteFailsOverToNextEndpoint checks that a write goes to the next endpoint
// when no connection to the first one can be made.
func TestWriteFailsOverToNextEndpoint(t *testing.T) {
	dead, err := store.Start(store.Config{})
	require.NoError(t, err)
	url := dead.URL()
	dead.Stop()
	_, c := startStoreAndClient(t, kv.Config{Endpoints: []string{url}})
	_, err = c.CompareAndSwap(t.Context(), "k", infra.NoVersion, []byte("x"), infra.NoLease)
	require.NoError(t, err)
}

// TestLeaseExpiry checks that the end of a lease deletes its keys, and that each use
// of the lease afterwards returns ErrLeaseGone.
func TestLeaseExpiry(t *testing.T) {
	s, c := startStoreAndClient(t, kv.Config{})
	ctx := t.Context()
	lease, err := c.GrantLease(ctx, 30*time.Second)
	require.NoError(t, err)
	left, err := c.KeepAlive(ctx, lease)
	require.NoError(t, err)
	require.Equal(t, 30*time.Second, left)
	version, err := c.CompareAndSwap(ctx, "held", infra.NoVersion, []byte("me"), lease)
	require.NoError(t, err)

	s.Fault(fault.Fault{Kind: fault.LeaseLapse})
	_, err = c.KeepAlive(ctx, lease)
	require.ErrorIs(t, err, infra.ErrLeaseGone)
	require.ErrorIs(t, c.RevokeLease(ctx, lease), infra.ErrLeaseGone)
	_, err = c.CompareAndSwap(ctx, "held", version, []byte("me"), infra.NoLease)
	require.ErrorIs(t, err, infra.ErrConflict, "the key was deleted with its lease")
	_, err = c.CompareAndSwap(ctx, "held", infra.NoVersion, []byte("me"), lease)
	require.ErrorIs(t, err, infra.ErrLeaseGone)
}

func receive(t *testing.T, changes <-chan infra.Entry) (infra.Entry, bool) {
	t.Helper()
	select {
	case entry, ok := <-changes:
		return entry, ok
	case <-time.After(waitTimeout):
		require.FailNow(t, "no entry arrived")
	}
	return infra.Entry{}, false
}

// TestWatchDeliversNewestAndCloses checks that the newest entry arrives at a slow
// reader, after an event that the service did not send and after a deletion, and
// that a broken watch closes its channel and its connection.
func TestWatchDeliversNewestAndCloses(t *testing.T) {
	s, c := startStoreAndClient(t, kv.Config{WatchRefresh: 50 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	changes, err := c.Watch(ctx, "k")
	require.NoError(t, err)
	entry, _ := receive(t, changes)
	require.Equal(t, infra.NoVersion, entry.Version)

	version, err := c.CompareAndSwap(ctx, "k", infra.NoVersion, []byte("1"), infra.NoLease)
	require.NoError(t, err)
	entry, _ = receive(t, changes)
	require.Equal(t, version, entry.Version)

	for i := range 20 { // nothing is received meanwhile: the newest must still arrive
		version, err = c.CompareAndSwap(ctx, "k", version, fmt.Append(nil, i), infra.NoLease)
		require.NoError(t, err)
	}
	for entry.Version != version {
		entry, _ = receive(t, changes)
	}

	s.Fault(fault.Fault{Kind: fault.WatchSkip, Count: 1})
	version, err = c.CompareAndSwap(ctx, "k", version, []byte("skipped"), infra.NoLease)
	require.NoError(t, err)
	for entry.Version != version {
		entry, _ = receive(t, changes)
	}

	require.NoError(t, c.CompareAndDelete(ctx, "k", version))
	for entry.Version != infra.NoVersion {
		entry, _ = receive(t, changes)
	}

	s.Fault(fault.Fault{Kind: fault.WatchBreak})
	_, open := receive(t, changes)
	require.False(t, open)
	require.Eventually(t, func() bool { return s.Counts().Open == 0 }, waitTimeout, time.Millisecond)
}

// TestRestoreFromOldSnapshot checks that the stand-in can simulate a service that
// was restored from an old snapshot, which callers must handle.
func TestRestoreFromOldSnapshot(t *testing.T) {
	s, c := startStoreAndClient(t, kv.Config{})
	ctx := t.Context()
	old, err := c.CompareAndSwap(ctx, "k", infra.NoVersion, []byte("old"), infra.NoLease)
	require.NoError(t, err)
	s.Fault(fault.Fault{Kind: fault.Snapshot})
	_, err = c.CompareAndSwap(ctx, "k", old, []byte("new"), infra.NoLease)
	require.NoError(t, err)
	changes, err := c.Watch(ctx, "k")
	require.NoError(t, err)
	s.Fault(fault.Fault{Kind: fault.Restore})
	for open := true; open; {
		_, open = receive(t, changes)
	}
	entry, err := c.Get(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, old, entry.Version)
	require.Equal(t, "old", string(entry.Value))
}
