package edge_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// pauseSpan is the pause that an upstream has asked for in an answer to a request:
// it ends between earliest and latest.
type pauseSpan struct{ earliest, latest time.Time }

// pauseOf sends a request that the only upstream turns away for a time.
func pauseOf(d time.Duration, send func() callerResponse) (pauseSpan, callerResponse) {
	begun := time.Now()
	got := send()
	return pauseSpan{begun.Add(d), time.Now().Add(d)}, got
}

// requireRefused checks that a request is refused at once, with a wait until the
// end of the pause.
func (p pauseSpan) requireRefused(t *testing.T, send func() callerResponse) {
	t.Helper()
	begun := time.Now()
	got := send()
	ended := time.Now()
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Less(t, ended.Sub(begun), time.Second)
	p.requireWait(t, got, begun, ended)
}

// requireWait checks the wait in a refusal that was sent between two times.
func (p pauseSpan) requireWait(t *testing.T, got callerResponse, begun, ended time.Time) {
	t.Helper()
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	const rounding = 0.001
	require.GreaterOrEqual(t, seconds, p.earliest.Sub(ended).Seconds()-rounding)
	require.LessOrEqual(t, seconds, p.latest.Sub(begun).Seconds()+rounding)
}

// An upstream that has asked for a pause must get nothing until its end, also if it
// is the only one. Callers are refused at once and told when it is back.
func TestOnlyUpstreamGetsNothingWhileItIsPaused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureEngines(1)
	n := f.start()
	for path, c := range map[string]struct {
		service string
		events  int
	}{"/read/1": {"plain", 0}, "/order/1": {"plain", 0}, "/talk/1": {"events", 3}, "/tell/1": {"events", 3}} {
		t.Run(path, func(t *testing.T) {
			a := f.upstream(&platformtest.Upstream{ID: "u" + strings.Trim(path, "/1"), Service: c.service, Events: c.events, RetryAfter: "1.5"})
			defer time.Sleep(removalTime)
			defer f.store.Delete("servers/" + a.ID)
			time.Sleep(removalTime)
			a.QueueFaults(platformtest.Shed)
			begun := time.Now()
			span, got := pauseOf(1500*time.Millisecond, func() callerResponse { return f.send(n, http.MethodPost, path, "r0") })
			require.Equal(t, 1, a.Arrived(path))
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			span.requireWait(t, got, begun, time.Now())
			for time.Until(span.earliest) > 300*time.Millisecond {
				span.requireRefused(t, func() callerResponse { return f.send(n, http.MethodPost, path, "r1") })
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, 1, a.Arrived(path))
			time.Sleep(time.Until(span.latest))
			require.Equal(t, http.StatusOK, f.send(n, http.MethodPost, path, "r2").status)
		})
	}
}

// The other upstreams must take over, whichever the placement owner on another host
// chooses: it need not know of the pause yet.
func TestPausedUpstreamIsReplacedByAnother(t *testing.T) {
	t.Parallel()
	for path, service := range map[string]string{"/read/1": "plain", "/talk/1": "events"} {
		t.Run(path, func(t *testing.T) {
			f := newFleet(t)
			f.configureEngines(1)
			events := map[string]int{"plain": 0, "events": 3}[service]
			a := f.upstream(&platformtest.Upstream{ID: "u1", Service: service, Events: events, RetryAfter: "30"})
			f.upstream(&platformtest.Upstream{ID: "u2", Service: service, Events: events, Work: 100 * time.Millisecond})
			hosts := []*node{f.start(), f.start(), f.start()}
			send := func(n *node, id string, prefix int) callerResponse {
				return f.send(n, http.MethodPost, path, id, "Token-Usage", "50100,10", "Prompt-Prefix", fmt.Sprintf("a%x:50000,b:100", prefix))
			}
			prefix := 0 // of a prompt that u1 has cached
			for send(hosts[0], "r"+strconv.Itoa(prefix), prefix).header.Get("Server-Stamp") != "stamp-of-u1" {
				prefix++
			}
			a.QueueFaults(platformtest.Shed, platformtest.Shed, platformtest.Shed)
			before := a.Arrived(path)
			for i := range 10 {
				for _, n := range hosts {
					require.Equal(t, http.StatusOK, send(n, "s"+strconv.Itoa(i), prefix).status)
				}
			}
			require.LessOrEqual(t, a.Arrived(path), before+3, "one of each host")
			require.Greater(t, a.Arrived(path), before)
		})
	}
}

// Stage servers that have asked for a pause get no pieces until its end; the
// request is refused at once and its caller told when the first is back.
func TestPausedStageServerGetsNoPieces(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 3})
	a := f.upstream(&platformtest.Upstream{ID: "p1", Service: "pieces", RetryAfter: "4.5"})
	hosts := []*node{f.start(), f.start()}
	send := func(n *node, id string) callerResponse {
		return f.send(n, http.MethodPost, "/staged/1", id, "Chunks", "1,1", "Chunk-Key", "k")
	}
	require.Equal(t, http.StatusOK, send(hosts[0], "r0").status)
	require.Eventually(t, func() bool { return len(a.Freed()) == 2 }, waitTimeout, time.Millisecond)
	a.QueueFaults(platformtest.Shed)
	before := a.Arrived("/v1/stage-run")
	span, got := pauseOf(4500*time.Millisecond, func() callerResponse { return send(hosts[0], "s0") })
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	for i := range 20 {
		span.requireRefused(t, func() callerResponse { return send(hosts[i%2], "s"+strconv.Itoa(i)) })
	}
	require.Equal(t, before+1, a.Arrived("/v1/stage-run"))
	time.Sleep(time.Until(span.latest))
	require.Equal(t, http.StatusOK, send(hosts[1], "t").status)
}
