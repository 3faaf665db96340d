package experiment_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenaseam/galenaseam/experiment"
	"github.com/galenaseam/galenaseam/policy"
	"github.com/stretchr/testify/require"
)

const seed = 7

// measure runs one cell on a virtual clock.
func measure(t *testing.T, load float64, fault experiment.Fault, v experiment.Variant) *experiment.Result {
	t.Helper()
	d := experiment.Deployments()[1]
	cell := &experiment.Cell{
		Deployment: d.Name, Load: load, Fault: fault, Variant: v, Seed: seed,
		Warmup: 5 * time.Second, Measure: 8 * time.Second,
	}
	var result *experiment.Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		result, err = cell.Run(t.Context(), &d)
		require.NoError(t, err)
	})
	require.Zero(t, result.Doubled, "a non-idempotent call ran twice")
	return result
}

func baseline() experiment.Variant {
	return experiment.Variant{Name: "least", Settings: policy.Baseline(policy.ChoiceLeastInFlight), Baseline: true}
}

// At 150% load the quick lookups go on, the engines stay busy with work that
// is of use, and what can't be done is mostly refused before it runs. The same
// arrivals swamp a plain balancer.
func TestOverload(t *testing.T) {
	t.Parallel()
	whole := measure(t, 1.5, experiment.FaultNone, experiment.Whole())
	require.GreaterOrEqual(t, whole.Classes[experiment.ClassLookup].Attainment(), 0.97)
	require.Greater(t, whole.Goodput, 0.9)
	require.Less(t, whole.Wasted, 0.05)
	summary := whole.Classes[experiment.ClassSummary]
	require.Greater(t, summary.InTime, 0, "long summaries starve")
	require.Greater(t, summary.Early, summary.Late)

	plain := measure(t, 1.5, experiment.FaultNone, baseline())
	require.Less(t, plain.Classes[experiment.ClassLookup].Attainment(), 0.5)
	require.Greater(t, whole.Attainment(), plain.Attainment())
}

// One slow upstream at any stage costs less than a point of attainment.
func TestStragglers(t *testing.T) {
	t.Parallel()
	for _, fault := range experiment.Faults() {
		if !fault.Straggler() {
			continue
		}
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			require.GreaterOrEqual(t, measure(t, 0.7, fault, experiment.Whole()).Attainment(), 0.985)
		})
	}
}

// After a burst of twice the capacity the host recovers within seconds, where
// a plain balancer still works through its queues.
func TestBurstIsOverWithinSeconds(t *testing.T) {
	t.Parallel()
	whole := measure(t, 0.7, experiment.FaultBurst, experiment.Whole())
	plain := measure(t, 0.7, experiment.FaultBurst, baseline())
	require.LessOrEqual(t, whole.Recovery, 3*time.Second)
	require.Greater(t, whole.Attainment(), plain.Attainment())
}

// Losing a data centre, its upstreams and hosts, doubles nothing and leaves
// the lookups of the others whole.
func TestDataCentreLost(t *testing.T) {
	t.Parallel()
	whole := measure(t, 0.6, experiment.FaultDataCentre, experiment.Whole())
	require.GreaterOrEqual(t, whole.Classes[experiment.ClassLookup].Attainment(), 0.95)
}
