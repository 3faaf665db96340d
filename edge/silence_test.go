package edge_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// upstreamSilence is longer than every silence after which a host looks for another
// upstream, and short enough to be no sign of a failure.
const upstreamSilence = 1800 * time.Millisecond

// silentUpstream returns an upstream of streams that can fall silent.
func silentUpstream(id string) *platformtest.Upstream {
	return &platformtest.Upstream{ID: id, Service: "events", Events: 8, EventPause: 5 * time.Millisecond, Silence: upstreamSilence}
}

// secondChoice starts an upstream that hosts choose only if the others can't be used:
// it is in another data centre.
func (f *fleet) secondChoice(u *platformtest.Upstream) *platformtest.Upstream {
	u.Zone = "riga-b"
	u.Start()
	f.t.Cleanup(u.Close)
	u.Register(f.store, "ready")
	return u
}

// eachRoute sets a field of every route.
func eachRoute(field string, value any) func(config map[string]any) {
	return func(config map[string]any) {
		for _, r := range config["routes"].([]map[string]any) {
			r[field] = value
		}
	}
}

// A stream must not be cut because its upstream is silent when no other may run it.
func TestStreamIsNotCutWhenItsAttemptsAreUsedUp(t *testing.T) {
	for name, fault := range map[string]platformtest.UpstreamFault{
		"before the first event": platformtest.FallSilent,
		"between events":         platformtest.FallSilentMidway,
	} {
		f := newFleet(t)
		f.configure(1, eachRoute("max_attempts", 1))
		a, b := f.upstream(silentUpstream("u1")), f.secondChoice(silentUpstream("u2"))
		n := f.start()
		a.QueueFaults(fault)
		got := f.send(n, http.MethodPost, "/talk/1", "r1")
		require.NoError(t, got.err, name)
		require.Equal(t, eventsOf(8), got.body, name)
		require.Empty(t, b.Runs(), name)
	}
}

// A stream must not be cut because its upstream is silent when there is no other.
func TestStreamIsNotCutWhenItsOnlyUpstreamFallsSilent(t *testing.T) {
	for name, fault := range map[string]platformtest.UpstreamFault{
		"before the first event": platformtest.FallSilent,
		"between events":         platformtest.FallSilentMidway,
	} {
		f := newFleet(t)
		f.configure(1, nil)
		u := f.upstream(silentUpstream("u1"))
		n := f.start()
		u.QueueFaults(fault)
		got := f.send(n, http.MethodPost, "/talk/1", "r1")
		require.NoError(t, got.err, name)
		require.Equal(t, eventsOf(8), got.body, name)
	}
}

// A stream must not be cut because its upstream is silent when the other one refuses it.
func TestStreamIsNotCutWhenTheOtherUpstreamRefuses(t *testing.T) {
	f := newFleet(t)
	f.configure(1, nil)
	a, b := f.upstream(silentUpstream("u1")), f.secondChoice(silentUpstream("u2"))
	n := f.start()
	a.QueueFaults(platformtest.FallSilentMidway)
	b.QueueFaults(platformtest.Shed, platformtest.Shed, platformtest.Shed)
	got := f.send(n, http.MethodPost, "/talk/1", "r1")
	require.NoError(t, got.err)
	require.Equal(t, eventsOf(8), got.body)
}

// A stream with stages must not be cut because its upstream is silent after the time in
// which a stream may begin: the results of its stages are no longer there.
func TestStreamWithStagesIsNotCutWhenItsUpstreamFallsSilent(t *testing.T) {
	f := newFleet(t)
	f.configure(1, eachRoute("timeout_ms", 8000))
	a, b := silentUpstream("u1"), silentUpstream("u2")
	a.EventPause = 200 * time.Millisecond
	f.upstream(a).QueueFaults(platformtest.FallSilentMidway)
	f.secondChoice(b).QueueFaults(platformtest.LoseInputs, platformtest.LoseInputs)
	f.upstream(&platformtest.Upstream{ID: "u3", Service: "pieces"})
	n := f.start()
	got := f.send(n, http.MethodPost, "/staged/1", "r1", "Chunks", "1,1", "Chunk-Key", "k", "Deadline-Ms", "8000")
	require.NoError(t, got.err)
	require.Equal(t, eventsOf(8), got.body)
}

// A call that may be repeated must get the answer of its silent upstream when the
// other one refuses it.
func TestIdempotentCallGetsLateAnswerWhenTheOtherUpstreamRefuses(t *testing.T) {
	f := newFleet(t)
	f.configure(1, nil)
	a := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain", Silence: upstreamSilence})
	b := f.secondChoice(&platformtest.Upstream{ID: "u2", Service: "plain"})
	n := f.start()
	a.QueueFaults(platformtest.FallSilent)
	b.QueueFaults(platformtest.Shed, platformtest.Shed, platformtest.Shed)
	got := f.send(n, http.MethodGet, "/read/1", "r1")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, a.Body("r1"), got.body)
}

// A silent upstream must not be told to stop before another one has an event.
func TestSilentUpstreamIsReplacedOnlyByOneThatHasAnEvent(t *testing.T) {
	f := newFleet(t)
	f.configure(1, nil)
	a, b := f.upstream(silentUpstream("u1")), f.secondChoice(silentUpstream("u2"))
	n := f.start()
	a.QueueFaults(platformtest.FallSilentMidway)
	b.QueueFaults(platformtest.Hang)
	got := f.send(n, http.MethodPost, "/talk/1", "r1")
	require.NoError(t, got.err)
	require.Equal(t, eventsOf(8), got.body)
}

// A stream must still move to another upstream when its own stays silent.
func TestStreamMovesAwayFromUpstreamThatStaysSilent(t *testing.T) {
	f := newFleet(t)
	f.configure(1, eachRoute("timeout_ms", 8000))
	a, b := silentUpstream("u1"), silentUpstream("u2")
	a.Silence = time.Minute
	f.upstream(a).QueueFaults(platformtest.FallSilentMidway)
	f.secondChoice(b)
	n := f.start()
	got := f.send(n, http.MethodPost, "/talk/1", "r1", "Deadline-Ms", "8000")
	require.NoError(t, got.err)
	require.Equal(t, eventsOf(8), got.body)
	require.Len(t, b.Runs(), 1)
	require.Eventually(t, func() bool { return a.CancelledRequests() == 1 }, waitTimeout, 5*time.Millisecond)
}
