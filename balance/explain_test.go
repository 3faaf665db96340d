package balance_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/explain"
)

// Guards against an explanation whose first upstream is not the one that is chosen most often,
// with reported load and without, and against ejected ones among the candidates.
func TestExplanationOrdersUpstreamsAsTheyAreChosen(t *testing.T) {
	all := []instance.Status{
		status("slow", func(s *instance.Status) { s.Latency *= 5 }), status("fast", nil),
		status("gone", func(s *instance.Status) { s.Ejected, s.Unreachable = true, true }), status("broken", func(s *instance.Status) { s.Ejected = true }),
	}
	load := workNeed(0, map[instance.ID]call.Load{"slow": {Running: 6, Waiting: 9, Slots: 6, Pace: 2}, "fast": {Running: 1, Slots: 6, Pace: 1}})
	for basis, need := range map[string]balance.Need{"score": {PreferredDataCentre: "a"}, "expected_ms": load} {
		counts, choice := countChoices(all, need), balance.ExplainUpstream(all, need)
		require.Len(t, choice.Candidates, 2)
		require.Equal(t, "fast", choice.Candidates[0].Upstream)
		require.Equal(t, basis, choice.Candidates[0].Figures[0].Name)
		require.Greater(t, counts["fast"], counts["slow"])
		require.Equal(t, []explain.Exclusion{{Upstream: "gone", DataCentre: "a", Reason: "out of reach"}, {Upstream: "broken", DataCentre: "a", Reason: "ejected"}}, choice.Excluded)
	}
}

// Guards against an explanation of a host's own choice of an engine that passes over the home.
func TestExplanationOfAnEngineStartsWithItsHome(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	all := []instance.Status{status("x", nil), status("y", nil), status("z", nil), status("cold", func(s *instance.Status) { s.Cold = true })}
	for prefix := range uint64(20) {
		chosen, _ := balance.ChooseEngine(all, balance.Need{Prefix: prefix + 1}, random)
		choice := balance.ExplainEngine(all, balance.Need{Prefix: prefix + 1})
		require.Equal(t, string(chosen.ID), choice.Candidates[0].Upstream)
		require.Equal(t, "cold", choice.Excluded[0].Upstream)
	}
}
