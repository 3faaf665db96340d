package sleep

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A process that was paused must not take its own pause for the time that others needed.
func TestPauseOfTheProcessDoesNotCount(t *testing.T) {
	const d, pause = 400 * time.Millisecond, time.Hour
	for pausedIn := range countdownSteps {
		now := time.Unix(1000, 0)
		c := NewCountdown(d, now)
		ran := time.Duration(0)
		for step, over := 0, false; !over; step++ {
			require.Less(t, step, 2*countdownSteps)
			ran += c.Wait(now)
			now = now.Add(c.Wait(now))
			if step == pausedIn {
				now = now.Add(pause)
			}
			over = c.Next(now)
		}
		require.Equal(t, d+d/countdownSteps, ran, "paused in step %d", pausedIn)
	}
}

func TestCountdownIsOverAfterItsTime(t *testing.T) {
	start := time.Unix(1000, 0)
	c := NewCountdown(time.Second, start)
	now := start
	for !c.Next(now) {
		require.False(t, c.Next(now), "within a step")
		now = now.Add(c.Wait(now) + 5*time.Millisecond)
	}
	require.Equal(t, time.Second+countdownSteps*5*time.Millisecond, now.Sub(start))
	require.True(t, c.Next(now))
}

func TestForRunningEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, ForRunning(ctx, time.Hour), context.DeadlineExceeded)
	started := time.Now()
	require.NoError(t, ForRunning(t.Context(), 20*time.Millisecond))
	require.GreaterOrEqual(t, time.Since(started), 20*time.Millisecond)
	require.NoError(t, ForRunning(t.Context(), 0))
}
