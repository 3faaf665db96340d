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

// measure runs one cell on a virtual clock. It also checks that no non-idempotent
// call ran twice.
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
	require.Zero(t, result.RanTwice, "a non-idempotent call ran twice")
	return result
}

func baseline() experiment.Variant {
	return experiment.Variant{Name: "least", Settings: policy.Baseline(policy.ChoiceLeastInFlight), Baseline: true}
}

// TestOverload checks that at 150% load the full policy keeps serving lookups,
// keeps the engines busy with useful work, and refuses most of the excess before it
// runs. Under the same arrivals a plain load balancer misses most lookups.
func TestOverload(t *testing.T) {
	t.Parallel()
	full := measure(t, 1.5, experiment.FaultNone, experiment.FullPolicy())
	require.GreaterOrEqual(t, full.Classes[experiment.ClassLookup].Attainment(), 0.97)
	require.Greater(t, full.Goodput, 0.9)
	require.Less(t, full.Wasted, 0.05)
	summary := full.Classes[experiment.ClassSummary]
	require.Greater(t, summary.InTime, 0, "no long summary was served in time")
	require.Greater(t, summary.RefusedEarly, summary.Missed)

	plain := measure(t, 1.5, experiment.FaultNone, baseline())
	require.Less(t, plain.Classes[experiment.ClassLookup].Attainment(), 0.5)
	require.Greater(t, full.Attainment(), plain.Attainment())
}

// TestStragglers checks that one slow upstream at any stage does not reduce
// attainment below 98.5%.
func TestStragglers(t *testing.T) {
	t.Parallel()
	for _, fault := range experiment.Faults() {
		if !fault.Straggler() {
			continue
		}
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			require.GreaterOrEqual(t, measure(t, 0.7, fault, experiment.FullPolicy()).Attainment(), 0.985)
		})
	}
}

// TestRecoveryAfterBurst checks that the full policy recovers within three seconds
// from a burst of twice the capacity and attains more than a plain load balancer,
// which still has full queues after the burst.
func TestRecoveryAfterBurst(t *testing.T) {
	t.Parallel()
	full := measure(t, 0.7, experiment.FaultBurst, experiment.FullPolicy())
	plain := measure(t, 0.7, experiment.FaultBurst, baseline())
	require.LessOrEqual(t, full.Recovery, 3*time.Second)
	require.Greater(t, full.Attainment(), plain.Attainment())
}

// TestDataCentreLost checks that after the loss of a data centre, with its hosts
// and upstreams, no non-idempotent call runs twice (see measure) and most lookups
// are still served in time.
func TestDataCentreLost(t *testing.T) {
	t.Parallel()
	full := measure(t, 0.6, experiment.FaultDataCentreLost, experiment.FullPolicy())
	require.GreaterOrEqual(t, full.Classes[experiment.ClassLookup].Attainment(), 0.95)
}
