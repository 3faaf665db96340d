package edge_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/edge"
	"github.com/galenaseam/galenaseam/platform/platformtest"
	"github.com/galenaseam/galenaseam/resume"
)

// versionedEvents is the length of the streams in these tests.
const versionedEvents = 12

// changeTime is well above the time in which hosts learn of a change in the store.
const changeTime = time.Second

// withEngines makes the upstreams of the service of streams engines.
func withEngines(c map[string]any) {
	c["services"].([]map[string]any)[1]["engine"] = map[string]any{"concurrency": 8, "kv_capacity": 100_000}
}

// versionedFleet is a fleet whose streams are served by two upstreams of each of
// two software versions.
type versionedFleet struct {
	*fleet
	upstreams []*platformtest.Upstream
}

func newVersionedFleet(t *testing.T, engines bool) *versionedFleet {
	f := &versionedFleet{fleet: newFleet(t)}
	change := func(map[string]any) {}
	if engines {
		change = withEngines
	}
	f.configure(1, change)
	for i, version := range []string{"v1", "v1.1", "v1", "v1.1"} {
		f.upstreams = append(f.upstreams, f.upstream(&platformtest.Upstream{
			ID: fmt.Sprint("u", i), Service: "events", Version: version, Events: versionedEvents, EventPause: 10 * time.Millisecond,
		}))
	}
	return f
}

// runs returns how many requests the upstreams have run.
func (f *versionedFleet) runs() int {
	n := 0
	for _, u := range f.upstreams {
		n += len(u.Runs())
	}
	return n
}

// leave sends a request for a stream and leaves after some of its events. It
// returns these events, or what arrived before an error.
func (f *versionedFleet) leave(n *node, id string, events int, header ...string) (string, error) {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+n.settings.CallerAddr.String()+"/talk/1", strings.NewReader("x"))
	require.NoError(f.t, err)
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer key-of-welders")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var got strings.Builder
	reader := bufio.NewReader(response.Body)
	for events > 0 {
		line, err := reader.ReadString('\n')
		got.WriteString(line)
		if err != nil {
			return got.String(), err
		}
		if line == "\n" {
			events--
		}
	}
	return got.String(), nil
}

// begin sends a request for a stream and leaves after its first three events. It
// returns these events.
func (f *versionedFleet) begin(n *node, id string) string {
	begun, err := f.leave(n, id, 3)
	require.NoError(f.t, err, id)
	return begun
}

// resume sends a request that goes on with a stream after one of its events.
func (f *versionedFleet) resume(n *node, id, resumes string, lastEvent int) callerResponse {
	return f.send(n, http.MethodPost, "/talk/1", id, "Resumes", resumes, "Last-Event-Id", strconv.Itoa(lastEvent))
}

// requireRefused requires that a request was refused before any upstream ran it.
func (f *versionedFleet) requireRefused(got callerResponse, runsBefore int) {
	require.NoError(f.t, got.err)
	require.Equal(f.t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(f.t, got.header.Get("Retry-After"))
	time.Sleep(50 * time.Millisecond)
	require.Equal(f.t, runsBefore, f.runs(), "503 says that no upstream ran the request")
}

// requireComplete requires that a stream has all events, each once and all of one
// software version.
func requireComplete(t *testing.T, stream, id string) {
	require.Len(t, platformtest.WritersOf(stream), 1, "versions that wrote %s", id)
	var unmarked strings.Builder
	for line := range strings.Lines(stream) {
		if !strings.HasPrefix(line, ":") {
			unmarked.WriteString(line)
		}
	}
	require.Equal(t, eventsOf(versionedEvents), unmarked.String(), id)
}

// eachKindOfService runs a test with plain upstreams and with engines.
func eachKindOfService(t *testing.T, test func(t *testing.T, engines bool)) {
	t.Run("upstreams", func(t *testing.T) { test(t, false) })
	t.Run("engines", func(t *testing.T) { test(t, true) })
}

// Guards against an answer that joins events of two software versions after its
// first upstream broke off.
func TestBrokenStreamContinuesAtTheVersionThatBeganIt(t *testing.T) {
	t.Parallel()
	eachKindOfService(t, func(t *testing.T, engines bool) {
		f := newVersionedFleet(t, engines)
		n := f.start()
		f.start()
		for i := range 12 {
			for _, u := range f.upstreams {
				u.QueueFaults(platformtest.TruncateNewStream)
			}
			id := fmt.Sprint("r", i)
			got := f.send(n, http.MethodPost, "/talk/1", id)
			require.NoError(t, got.err)
			requireComplete(t, got.body, id)
		}
		require.Equal(t, 24, f.runs(), "each stream broke once")
	})
}

// Guards against a stream whose caller goes on with it at another host, where an
// upstream of another software version takes it up or none does.
func TestCallerContinuesItsStreamAtTheVersionThatBeganIt(t *testing.T) {
	t.Parallel()
	eachKindOfService(t, func(t *testing.T, engines bool) {
		f := newVersionedFleet(t, engines)
		hosts := []*node{f.start(), f.start(), f.start(), f.start(), f.start(), f.start()}
		var streams [20]string
		var group sync.WaitGroup
		for i := range streams {
			group.Go(func() {
				id := fmt.Sprint("r", i)
				begun, _ := f.leave(hosts[i%6], id, 3)
				more := ""
				// A take-up may be refused: its host may not find out in time which version began it.
				for try := 0; more == "" && try < 5; try++ {
					more, _ = f.leave(hosts[(i+1)%6], fmt.Sprint(id, "-second-", try), 3, "Resumes", id, "Last-Event-Id", "2")
				}
				streams[i] = begun + more + f.resume(hosts[(i+3)%6], id+"-third", id, 5).body
			})
		}
		group.Wait()
		for i, stream := range streams {
			requireComplete(t, stream, fmt.Sprint("r", i))
		}
	})
}

// Guards against the loss of the version with the host that began the stream.
func TestStreamContinuesAtItsVersionAfterItsHostIsGone(t *testing.T) {
	t.Parallel()
	f := newVersionedFleet(t, false)
	hosts := []*node{f.start(), f.start(), f.start(), f.start()}
	begun := make(map[string]string)
	for i := range 10 {
		id := fmt.Sprint("r", i)
		begun[id] = f.begin(hosts[0], id)
	}
	hosts[0].stop()
	require.NoError(t, <-hosts[0].result)
	for i := range 10 {
		id := fmt.Sprint("r", i)
		rest := f.resume(hosts[1+i%3], id+"-second", id, 2)
		require.Equal(t, http.StatusOK, rest.status)
		requireComplete(t, begun[id]+rest.body, id)
	}
}

// Guards against the refusal of every stream that is taken up after all hosts are lost, since
// only they knew its version.
func TestStreamContinuesAtItsVersionAfterAllHostsAreLost(t *testing.T) {
	t.Parallel()
	f := newVersionedFleet(t, false)
	hosts := []*node{f.start(), f.start()}
	begun := make(map[string]string)
	for i := range 10 {
		id := fmt.Sprint("r", i)
		begun[id] = f.begin(hosts[i%2], id)
	}
	require.Eventually(t, func() bool { return len(f.store.Keys(resume.ArchivePrefix)) > 0 }, waitTimeout, 5*time.Millisecond)
	time.Sleep(changeTime)
	for _, h := range hosts {
		h.stop()
		require.NoError(t, <-h.result)
	}
	n := f.start()
	for i := range 10 {
		id := fmt.Sprint("r", i)
		rest := f.resume(n, id+"-second", id, 2)
		require.Equal(t, http.StatusOK, rest.status, id)
		requireComplete(t, begun[id]+rest.body, id)
	}
}

// Guards against a stream that goes on at any version because no host knows which
// one began it.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	t.Parallel()
	f := newVersionedFleet(t, false)
	n := f.start()
	f.start()
	f.requireRefused(f.resume(n, "r1", "attempt-that-no-host-saw", 2), 0)
	f.requireRefused(f.send(n, http.MethodPost, "/talk/1", "r2", "Last-Event-Id", "2"), 0)
	f.requireRefused(f.send(n, http.MethodPost, "/talk/1", "r3", "Resumes", "attempt-that-no-host-saw"), 0)
}

// Guards against a stream that goes on at any version at a host that can't ask the
// others, nor the store, which one began it.
func TestHostCutOffFromOthersRefusesStreamsItDidNotBegin(t *testing.T) {
	t.Parallel()
	f := newVersionedFleet(t, false)
	n := f.start()
	front := platformtest.NewFaultProxy(f.store.Addr())
	t.Cleanup(front.Close)
	alone := f.startWith(front.Addr(), func(s *edge.Settings) { s.FleetKey = []byte("key of another fleet") })
	require.Eventually(t, alone.Ready, waitTimeout, 5*time.Millisecond)
	front.SetFault(platformtest.FaultSilent)
	f.begin(n, "r1")
	start := time.Now()
	f.requireRefused(f.resume(alone, "r2", "r1", 2), 1)
	require.Less(t, time.Since(start), time.Second, "the caller is not kept waiting")
	begun := f.begin(alone, "r3")
	rest := f.resume(alone, "r4", "r3", 2)
	require.Equal(t, http.StatusOK, rest.status, "a host knows the streams that it began")
	requireComplete(t, begun+rest.body, "r3")
}

// Guards against a stream that goes on at another software version because no
// upstream of its own is left.
func TestStreamIsRefusedWhenItsVersionIsGone(t *testing.T) {
	t.Parallel()
	eachKindOfService(t, func(t *testing.T, engines bool) {
		f := newVersionedFleet(t, engines)
		n := f.start()
		m := f.start()
		version := platformtest.WritersOf(f.begin(n, "r1"))[0]
		for _, u := range f.upstreams {
			if u.Version == version {
				u.Register(f.store, "draining")
			}
		}
		time.Sleep(changeTime)
		f.requireRefused(f.resume(m, "r2", "r1", 2), 1)
		f.requireRefused(f.resume(n, "r3", "r1", 2), 1)
	})
}

// Guards against a stream that goes on at the only version that a host has seen since
// it started, when another one may have begun it before.
func TestHostThatHasJustStartedRefusesStreamsWithoutRecord(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Version: "v1", Events: versionedEvents})
	n := f.start()
	for _, header := range [][]string{{"Last-Event-Id", "2"}, {"Last-Event-Id", "2", "Resumes", "attempt-that-no-host-saw"}} {
		got := f.send(n, http.MethodPost, "/talk/1", "r1", header...)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	}
	require.Empty(t, u.Runs())
}

// Guards against a stream of an unknown version that goes on at the only version
// left, when another one was served a moment ago.
func TestVersionServedAMomentAgoStillCounts(t *testing.T) {
	t.Parallel()
	f := newVersionedFleet(t, false)
	n := f.start()
	for _, u := range f.upstreams {
		if u.Version == "v1" {
			f.store.Delete("servers/" + u.ID)
		}
	}
	time.Sleep(changeTime)
	f.requireRefused(f.resume(n, "r1", "attempt-that-no-host-saw", 2), 0)
}

// Guards against a stream of a route with several services that another service
// goes on with, because each of the caller's tries chooses a service anew.
func TestStreamStaysWithTheServiceThatBeganIt(t *testing.T) {
	t.Parallel()
	f := &versionedFleet{fleet: newFleet(t)}
	f.configure(1, func(c map[string]any) {
		c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": "more-events", "max_conns": 50})
		for _, route := range c["routes"].([]map[string]any) {
			if route["name"] == "talk" {
				route["split"] = []map[string]any{{"service": "events", "weight": 1}, {"service": "more-events", "weight": 1}}
			}
		}
	})
	for _, service := range []string{"events", "more-events"} {
		f.upstreams = append(f.upstreams, f.upstream(&platformtest.Upstream{
			ID: "of-" + service, Service: service, Version: "v1", Events: versionedEvents, EventPause: 10 * time.Millisecond,
		}))
	}
	n := f.start()
	m := f.start()
	for i := range 10 {
		id := fmt.Sprint("r", i)
		begun := f.begin(n, id)
		rest := f.resume(m, id+"-second", id, 2)
		require.Equal(t, http.StatusOK, rest.status)
		requireComplete(t, begun+rest.body, id)
	}
	for _, u := range f.upstreams {
		byID := make(map[string]bool)
		for _, run := range u.Runs() {
			byID[strings.TrimSuffix(run.RequestID, "-second")] = true
		}
		require.Len(t, u.Runs(), 2*len(byID), "each stream began and went on here")
		require.NotEmpty(t, byID)
	}
}
