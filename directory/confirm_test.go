package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/instance"
)

// Guards against a decision by old entries while the host's watch receives nothing.
func TestConfirmedCopyHasWhatTheStoreHasAcknowledged(t *testing.T) {
	t.Parallel()
	store := &testStore{changed: make(chan struct{})}
	store.put("up/u1", instance.Entry{Service: "s", Version: "v1"}, false)
	d := newLoneDirectory(store, nil)
	require.Error(t, d.Confirm(t.Context()), "the store was not read yet")
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = d.Run(ctx) })
	defer running.Wait()
	defer stop()
	require.Eventually(t, func() bool { return d.Revision() > 0 }, time.Second, time.Millisecond)
	store.mu.Lock()
	store.silent, store.calls = true, 0
	store.mu.Unlock()
	store.put("up/u2", instance.Entry{Service: "s", Version: "v2"}, false)
	var confirms sync.WaitGroup
	for range 50 {
		confirms.Go(func() { require.NoError(t, d.Confirm(t.Context())) })
	}
	confirms.Wait()
	_, known := d.config.Instances.Lookup("u2")
	require.True(t, known)
	store.mu.Lock()
	require.LessOrEqual(t, store.calls, 25, "callers share calls")
	store.rejectCalls = true
	store.mu.Unlock()
	require.Error(t, d.Confirm(t.Context()))
}
