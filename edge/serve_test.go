package edge_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

func TestPlainRequestReachesItsUpstreamUnchanged(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	got := f.send(n, http.MethodPost, "/read/a%2fb?x=1&y=%20", "r1", "Tenant", "someone-else", "Hold", "h", "X-Own", "kept")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, u.Body("r1"), got.body)
	require.Equal(t, "stamp-of-u1", got.header.Get("Server-Stamp"))
	runs := u.Runs()
	require.Len(t, runs, 1)
	require.Equal(t, "/read/a%2fb?x=1&y=%20", runs[0].Target)
	require.Equal(t, "body of r1", runs[0].Body)
	require.Equal(t, "welders", runs[0].Header.Get("Tenant"))
	require.Equal(t, "u1", runs[0].Header.Get("Expect-Instance"))
	require.Equal(t, "kept", runs[0].Header.Get("X-Own"))
	require.Empty(t, runs[0].Header.Get("Authorization"))
	require.Empty(t, runs[0].Header.Get("Hold"))
	left, err := strconv.Atoi(runs[0].Header.Get("Deadline-Ms"))
	require.NoError(t, err)
	require.InDelta(t, 2900, left, 150)
}

func TestGatewayRejectsUnroutableAndUnauthenticatedRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	require.Equal(t, http.StatusNotFound, f.send(n, http.MethodGet, "/nowhere/", "r1").status)
	require.Equal(t, http.StatusUnauthorized, f.send(n, http.MethodGet, "/read/", "r2", "Authorization", "Bearer other").status)
	require.Empty(t, u.Runs())
}

func TestRequestShedByUpstreamIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	b := f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain"})
	n := f.start()
	a.QueueFaults(platformtest.Shed, platformtest.Shed)
	b.QueueFaults(platformtest.Shed)
	got := f.send(n, http.MethodPost, "/order/1", "r1")
	if got.status == http.StatusServiceUnavailable {
		require.Empty(t, append(a.Runs(), b.Runs()...))
		require.NotEmpty(t, got.header.Get("Retry-After"))
	} else {
		require.Equal(t, http.StatusOK, got.status)
		require.Len(t, append(a.Runs(), b.Runs()...), 1)
	}
}

func TestNonIdempotentCallIsNotRetriedAfterLostAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	b := f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain"})
	n := f.start()
	a.QueueFaults(platformtest.Drop)
	b.QueueFaults(platformtest.Drop)
	got := f.send(n, http.MethodPost, "/order/1", "r1")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Len(t, append(a.Runs(), b.Runs()...), 1)
}

func TestIdempotentCallIsRetriedAfterLostAnswer(t *testing.T) {
	t.Parallel()
	for _, fault := range []platformtest.UpstreamFault{platformtest.Drop, platformtest.Fail, platformtest.TruncateAnswer, platformtest.Unsigned} {
		f := newFleet(t)
		f.configure(1, nil)
		a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
		b := f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain"})
		n := f.start()
		a.QueueFaults(fault)
		first := f.send(n, http.MethodGet, "/read/1", "r1")
		second := f.send(n, http.MethodGet, "/read/1", "r2")
		require.Equal(t, http.StatusOK, first.status, "fault %d", fault)
		require.Equal(t, http.StatusOK, second.status)
		require.Contains(t, []string{a.Body("r1"), b.Body("r1")}, first.body)
	}
}

func TestUpstreamErrorIsForwardedWithoutAlternative(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	u.QueueFaults(platformtest.Fail)
	got := f.send(n, http.MethodGet, "/read/1", "r1")
	require.Equal(t, http.StatusInternalServerError, got.status)
	require.Equal(t, "stamp-of-u1", got.header.Get("Server-Stamp"))
}

func TestExtraAnswerOnConnectionReachesNoOtherCaller(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	u.QueueFaults(platformtest.SendExtraAnswer)
	for i := range 4 {
		id := "r" + strconv.Itoa(i)
		got := f.send(n, http.MethodGet, "/read/1", id)
		require.Equal(t, u.Body(id), got.body)
	}
}

func TestStreamIsForwardedWhole(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 8, EventPause: 5 * time.Millisecond})
	n := f.start()
	got := f.send(n, http.MethodPost, "/tell/1", "r1")
	require.NoError(t, got.err)
	require.Equal(t, eventsOf(8), got.body)
}

func TestResumableStreamContinuesOnAnotherUpstream(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 8, EventPause: time.Millisecond})
	b := f.upstream(&platformtest.Upstream{ID: "u2", Service: "events", Events: 8, EventPause: time.Millisecond})
	n := f.start()
	a.QueueFaults(platformtest.TruncateAnswer)
	b.QueueFaults(platformtest.ServeNormally)
	for i := range 3 {
		got := f.send(n, http.MethodPost, "/talk/1", "r"+strconv.Itoa(i))
		require.NoError(t, got.err)
		require.Equal(t, eventsOf(8), got.body)
	}
}

func TestBrokenNonResumableStreamIsNotReportedComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 8, EventPause: time.Millisecond})
	n := f.start()
	a.QueueFaults(platformtest.TruncateAnswer)
	got := f.send(n, http.MethodPost, "/tell/1", "r1")
	require.Error(t, got.err)
	require.Len(t, a.Runs(), 1)
}

func TestStagesRunBeforeTheRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	engine := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 3})
	pieces := f.upstream(&platformtest.Upstream{ID: "u2", Service: "pieces", Work: 20 * time.Millisecond})
	n := f.start()
	m := f.start()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			at := n
			if i%2 == 1 {
				at = m
			}
			got := f.send(at, http.MethodPost, "/staged/1", "r"+strconv.Itoa(i), "Chunks", "2,1", "Chunk-Key", "k")
			require.Equal(t, eventsOf(3), got.body)
		})
	}
	group.Wait()
	for _, run := range engine.Runs() {
		require.Equal(t, pieces.Addr().String()+"/"+run.RequestID+"-1-0", run.Header.Get("Inputs"))
	}
	total := 0
	for _, n := range pieces.Calls() {
		total += n
	}
	require.Equal(t, 36, total)
	require.Less(t, len(pieces.Calls()), 24, "pieces of both hosts are batched into shared calls")
	require.Eventually(t, func() bool { return len(pieces.Freed()) == 36 }, waitTimeout, 10*time.Millisecond)
}

func TestExtraAnswerOfStageServerReachesNoOtherRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	engine := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 3})
	pieces := f.upstream(&platformtest.Upstream{ID: "u2", Service: "pieces"})
	n := f.start()
	pieces.QueueFaults(platformtest.SendExtraAnswer, platformtest.SendExtraAnswer, platformtest.SendExtraAnswer, platformtest.SendExtraAnswer)
	for i := range 4 {
		got := f.send(n, http.MethodPost, "/staged/1", "r"+strconv.Itoa(i), "Chunks", "1,1", "Chunk-Key", "k")
		require.Equal(t, eventsOf(3), got.body)
	}
	for _, run := range engine.Runs() {
		require.Equal(t, pieces.Addr().String()+"/"+run.RequestID+"-1-0", run.Header.Get("Inputs"))
	}
}

func TestLostStageResultsAreRecomputedOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	engine := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 3})
	pieces := f.upstream(&platformtest.Upstream{ID: "u2", Service: "pieces"})
	n := f.start()
	engine.QueueFaults(platformtest.LoseInputs)
	got := f.send(n, http.MethodPost, "/staged/1", "r1", "Chunks", "1,1", "Chunk-Key", "k")
	require.Equal(t, eventsOf(3), got.body)
	require.Len(t, pieces.Calls(), 4)
	engine.QueueFaults(platformtest.LoseInputs, platformtest.LoseInputs)
	got = f.send(n, http.MethodPost, "/staged/1", "r2", "Chunks", "1,1", "Chunk-Key", "k")
	require.Equal(t, http.StatusServiceUnavailable, got.status, "the request did not run, and the status tells the caller so")
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Len(t, engine.Runs(), 1)
}

func TestFailedPiecesAreRetried(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 3})
	pieces := f.upstream(&platformtest.Upstream{ID: "u2", Service: "pieces"})
	n := f.start()
	pieces.QueueFaults(platformtest.Fail, platformtest.Drop, platformtest.Shed)
	got := f.send(n, http.MethodPost, "/staged/1", "r1", "Chunks", "1,1", "Chunk-Key", "k")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, eventsOf(3), got.body)
}
