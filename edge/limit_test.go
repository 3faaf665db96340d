package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// The promise on limits that upstreams name.
const (
	limitKnownTime = 3 * time.Second // from the first answer that names a limit until it holds
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5 // requests
)

// mostAllowed returns how many requests an upstream may get within limitWindow.
func mostAllowed(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
}

// sendSteadily sends requests to hosts in turn until ctx ends, and returns the status of
// each.
func (f *fleet) sendSteadily(ctx context.Context, path, name string, pause time.Duration) (statuses []int) {
	var senders sync.WaitGroup
	var mu sync.Mutex
	for i := 0; ctx.Err() == nil; i++ {
		id := name + strconv.Itoa(i)
		n := f.hosts[i%len(f.hosts)]
		senders.Go(func() {
			got := f.send(n, http.MethodPost, path+id, id, "Chunks", "1,1", "Chunk-Key", "k")
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, got.status)
		})
		time.Sleep(pause)
	}
	senders.Wait()
	return statuses
}

// An engine that had named a limit of one request a second got as many requests as before
// from all hosts. The limit is on their sum, for each kind of call, and ends when the
// upstream no longer names it.
func TestUpstreamGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	t.Parallel()
	const limit = 1.0
	for name, c := range map[string]struct {
		path, service string
		events        int
		engines       bool
	}{
		"plain calls": {"/read/", "plain", 0, false}, "calls that run once": {"/order/", "plain", 0, false},
		"streams": {"/talk/", "events", 3, false}, "engines": {"/talk/", "events", 3, true}, "stage calls": {"/staged/", "pieces", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, func(config map[string]any) {
				if c.engines {
					withEngines(config)
				}
			})
			if c.service == "pieces" {
				f.upstream(&platformtest.Upstream{ID: "engine", Service: "events", Events: 3})
			}
			// The faster upstream is the limited one, so that hosts prefer it while they may.
			limited := f.upstream(&platformtest.Upstream{ID: "u0", Service: c.service, Events: c.events, Work: 5 * time.Millisecond})
			other := f.upstream(&platformtest.Upstream{ID: "u1", Service: c.service, Events: c.events, Work: 15 * time.Millisecond})
			for range 4 {
				f.start()
			}
			limited.NameLimit(fmt.Sprint(limit))
			named := time.Now()
			ctx, stop := context.WithTimeout(t.Context(), limitKnownTime+2*limitWindow)
			defer stop()
			statuses := f.sendSteadily(ctx, c.path, "a", 20*time.Millisecond)
			until := time.Now()
			require.LessOrEqual(t, limited.MostCalls(limitWindow, named.Add(limitKnownTime), until), mostAllowed(limit))
			require.Positive(t, limited.MostCalls(limitWindow, named.Add(limitKnownTime), until), "the limited upstream gets none")
			require.Positive(t, other.MostCalls(limitWindow, named, until))
			served := 0
			for _, status := range statuses {
				if status == http.StatusOK {
					served++
				}
			}
			require.Greater(t, float64(served), 0.95*float64(len(statuses)))

			limited.NameLimit("")
			ctx, stop = context.WithTimeout(t.Context(), 2*limitWindow)
			defer stop()
			f.sendSteadily(ctx, c.path, "b", 20*time.Millisecond)
			require.Greater(t, limited.MostCalls(limitWindow, until, time.Now()), mostAllowed(limit), "the limit was withdrawn")
		})
	}
}

// An upstream that had named a limit of 0 got five staged requests at once from a host that had
// had no answer of it. Guards against hosts that know limits and pauses only from their own
// answers, also a host that has just started.
func TestHostsKnowWhatUpstreamsToldOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	limited := f.upstream(&platformtest.Upstream{ID: "u0", Service: "plain", Work: 5 * time.Millisecond})
	refuses := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain", Work: 5 * time.Millisecond, RetryAfter: "20"})
	for i := range 3 {
		f.upstream(&platformtest.Upstream{ID: fmt.Sprint("v", i), Service: "plain", Work: 5 * time.Millisecond})
	}
	asked, other := f.start(), f.start()
	limited.NameLimit("0")
	refuses.QueueFaults(platformtest.Shed)
	const path = "/read/1"
	sendAtOnce := func(n *node, name string) {
		var senders sync.WaitGroup
		for i := range 24 {
			senders.Go(func() { f.send(n, http.MethodPost, path, name+strconv.Itoa(i)) })
		}
		senders.Wait()
	}
	sendAtOnce(asked, "first")
	require.Positive(t, limited.Arrived(path))
	require.Positive(t, refuses.Arrived(path))
	time.Sleep(time.Second)
	for name, n := range map[string]*node{"other": other, "new": f.start()} {
		atLimited, atRefusing := limited.Arrived(path), refuses.Arrived(path)
		sendAtOnce(n, name)
		require.LessOrEqual(t, limited.Arrived(path), atLimited+2, "%s host", name)
		require.Equal(t, atRefusing, refuses.Arrived(path), "%s host", name)
	}
}
