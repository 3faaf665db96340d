package edge_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Load: 4 hosts send 50 requests a second to two upstreams; a cold one takes 4. Guards against
// a bound that does not reach the calls: an upstream that has just registered, and one that
// says in its answers that it is cold again, get no more than they take, the other one serves
// the rest, and both are used again when they are warm. Some invalid statements change nothing.
func TestColdUpstreamGetsNoMoreThanItTakes(t *testing.T) {
	t.Parallel()
	const (
		perSecond, factor, slack = 4, 1.5, 5
		most                     = perSecond*factor + slack
		warmup                   = 4 * time.Second
		knownTime                = time.Second // from the first answer that says so, at each host
	)
	f := newFleet(t)
	f.configure(1, func(config map[string]any) {
		for _, s := range config["services"].([]map[string]any) {
			if s["name"] == "plain" {
				s["warmup_s"], s["warmup_per_s"] = warmup.Seconds(), perSecond
			} else {
				s["warmup_s"], s["warmup_per_s"] = "soon", -1
			}
		}
	})
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain", Work: 15 * time.Millisecond})
	for range 4 {
		f.start()
	}
	time.Sleep(warmup) // u1 may have registered after the first listing
	send := func(name string, length time.Duration) (from time.Time) {
		from = time.Now()
		ctx, stop := context.WithTimeout(t.Context(), length)
		defer stop()
		served := 0
		statuses := f.sendSteadily(ctx, "/read/", name, 20*time.Millisecond)
		for _, status := range statuses {
			if status == http.StatusOK {
				served++
			}
		}
		require.Greater(t, float64(served), 0.95*float64(len(statuses)), name)
		return from
	}
	faster := f.upstream(&platformtest.Upstream{ID: "u0", Service: "plain", Work: 5 * time.Millisecond})
	from := send("new", warmup-500*time.Millisecond)
	require.LessOrEqual(t, faster.MostCalls(time.Second, from, time.Now()), int(most))
	require.Positive(t, faster.MostCalls(time.Second, from, time.Now()), "it helps out")
	time.Sleep(time.Second)
	from = send("warm", 2*time.Second)
	require.Greater(t, faster.MostCalls(time.Second, from, time.Now()), int(most))
	faster.StateWarmup("60000")
	from = send("again", 4*time.Second)
	require.LessOrEqual(t, faster.MostCalls(time.Second, from.Add(knownTime), time.Now()), int(most))
	require.Equal(t, 1, f.hosts[0].log.count("warm-up out of bounds", "events"))
}
