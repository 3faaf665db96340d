package staging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Two updates at one instant, or one that is late, as when results are freed during a tick.
// Guards against a rate of 0/0, with which no overload is noticed and no group is refused, and
// against arrivals that are not counted.
func TestRatesSurviveUpdatesAtOneInstant(t *testing.T) {
	now := time.Unix(1000, 0)
	var served rateEstimator
	var arriving arrivalRate
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		for _, late := range []time.Duration{0, 0, time.Millisecond} {
			served.add(5)
			served.update(now.Add(-late), true, 100)
			arriving.add(5)
			arriving.update(now.Add(-late))
		}
	}
	require.InDelta(t, 300, served.rate, 10)
	require.InDelta(t, 300, arriving.rate, 10)
}
