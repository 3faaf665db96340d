package staging

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
)

// The load is one group on the only server and one behind it. Guards against groups that
// wait until their deadline when evacuations leave no server, and against the loss of
// results that are under way.
func TestEvacuationRefusesQueuedGroupsAndCompletesRunningOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := pausableServers()
		g := newTestGatherer(t, 1, f)
		running := make(chan []call.PieceResult, 1)
		go func() { running <- g.Gather(t.Context(), groupDueIn(time.Second)) }()
		time.Sleep(50 * time.Millisecond)
		go func() {
			time.Sleep(50 * time.Millisecond)
			g.config.Servers.SetEvacuated("", true, time.Now())
		}()
		begun := time.Now()
		require.Equal(t, call.PiecePaused, failure(g.Gather(t.Context(), groupDueIn(time.Minute))))
		require.LessOrEqual(t, time.Since(begun), 50*time.Millisecond+2*tickInterval)
		require.Equal(t, call.PieceDone, failure(<-running))
		require.Equal(t, evacuatedWait, g.PausedFor("pieces", time.Now()))
		require.Equal(t, 1, f.callCount())
	})
}
