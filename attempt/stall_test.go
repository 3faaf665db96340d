package attempt

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that was paused taking its own pause for a stall of its engine.
func TestPauseOfTheHostIsNoStallOfItsEngine(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	m := (&Client{stallTimeout: time.Hour}).monitorStalls(ctx, cancel, Call{})
	defer m.stop()
	m.recordLine()
	now := time.Now().Add(m.countdown.Wait(time.Now()) + 10*time.Hour)
	m.onTimer(now)
	require.NoError(t, context.Cause(ctx))
	for range 4 {
		now = now.Add(m.countdown.Wait(now))
		m.onTimer(now)
	}
	require.ErrorIs(t, context.Cause(ctx), errStalled, "the engine sends nothing while the host runs")
}
