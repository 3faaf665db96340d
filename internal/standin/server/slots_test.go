package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlotsServeByPriority fills the only slot, queues calls of different
// priorities, abandons one, and checks the order of the others.
func TestSlotsServeByPriority(t *testing.T) {
	slots := NewSlots(1)
	require.NoError(t, slots.Acquire(t.Context(), 0))
	served := make(chan int, 3)
	queue := func(ctx context.Context, priority, queued int) {
		go func() {
			if slots.Acquire(ctx, priority) == nil {
				served <- priority
				slots.Release()
			}
		}()
		require.Eventually(t, func() bool { _, n := slots.Counts(); return n == queued }, 10*time.Second, time.Millisecond)
	}
	queue(t.Context(), 1, 1)
	queue(t.Context(), 3, 2)
	abandoned, cancel := context.WithCancel(t.Context())
	queue(abandoned, 9, 3)
	queue(t.Context(), 2, 4)
	cancel()
	require.Eventually(t, func() bool { _, n := slots.Counts(); return n == 3 }, 10*time.Second, time.Millisecond)
	slots.Release()
	for _, want := range []int{3, 2, 1} {
		require.Equal(t, want, <-served)
	}
	require.Eventually(t, func() bool { running, _ := slots.Counts(); return running == 0 }, 10*time.Second, time.Millisecond)
}
