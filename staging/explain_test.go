package staging

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/explain"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/workload"
)

// Guards against an explanation that orders servers unlike the queue, that lists one without a
// free slot as a candidate, or that creates a queue.
func TestExplanationListsFreeServersByFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{spec: &routing.StageServer{Concurrency: 1, BatchSize: 8, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultMemory: 1 << 30, ResultTTL: time.Second}}
		g := newTestGatherer(t, 4, f)
		now, table := time.Now(), workload.NewTable(nil)
		g.mu.Lock()
		g.config.Workload = table
		g.mu.Unlock()
		table.Report(instance.Entry{ID: "s0", Service: "pieces"}, call.Load{Slots: 1, Pace: 2}, now)
		g.config.Servers.MarkUnreachable("s3", now)
		require.Len(t, g.Explain("pieces", 4, now).Candidates, 3)
		g.mu.Lock()
		require.Empty(t, g.services)
		s := g.service("pieces")
		s.running["s1"], s.busyUntil["s1"] = 1, now.Add(70*time.Millisecond)
		g.mu.Unlock()
		choice := g.Explain("pieces", 4, now)
		require.Len(t, choice.Candidates, 2)
		require.Equal(t, "s2", choice.Candidates[0].Upstream)
		require.Equal(t, explain.Figure{Name: "expected_ms", Value: 140}, choice.Candidates[0].Figures[0])
		require.Equal(t, explain.Figure{Name: "expected_ms", Value: 280}, choice.Candidates[1].Figures[0])
		require.Equal(t, []explain.Exclusion{{Upstream: "s1", Reason: unavailableBusy, ForMs: 70}, {Upstream: "s3", Reason: "out of reach"}}, choice.Excluded)
	})
}
