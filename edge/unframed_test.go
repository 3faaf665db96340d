package edge_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Answers may have neither a length nor chunks and end with their connection. They must
// reach their callers whole.
func TestAnswerThatEndsWithItsConnectionIsForwardedWhole(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	plain := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	events := f.upstream(&platformtest.Upstream{ID: "u2", Service: "events", Events: 8})
	n := f.start()
	for _, path := range []string{"/read/1", "/order/1"} {
		plain.QueueUnframed(platformtest.EndWhole)
		got := f.send(n, http.MethodPost, path, "r"+path[1:2])
		require.NoError(t, got.err, path)
		require.Equal(t, plain.Body("r"+path[1:2]), got.body, path)
	}
	for _, path := range []string{"/talk/1", "/tell/1"} {
		events.QueueUnframed(platformtest.EndWhole)
		got := f.send(n, http.MethodPost, path, "r"+path[1:2])
		require.NoError(t, got.err, path)
		require.Equal(t, eventsOf(8), got.body, path)
	}
}

// An unframed answer whose connection is reset is not complete.
func TestUnframedAnswerThatIsResetIsNotComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	other := f.secondChoice(&platformtest.Upstream{ID: "u2", Service: "plain"})
	n := f.start()
	u.QueueUnframed(platformtest.ResetMidway)
	require.Equal(t, http.StatusBadGateway, f.send(n, http.MethodPost, "/order/1", "r1").status)
	u.QueueUnframed(platformtest.ResetMidway)
	got := f.send(n, http.MethodPost, "/read/1", "r2")
	require.Contains(t, []string{u.Body("r2"), other.Body("r2")}, got.body)
}

// An unframed stream whose connection closes inside an event, or before the first one, was
// broken off, although the close alone looks like the end of the answer.
func TestUnframedStreamThatIsBrokenOffIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]platformtest.UnframedEnd{
		"in an event": platformtest.CloseInEvent, "after the head": platformtest.CloseAfterHead, "reset": platformtest.ResetMidway,
	} {
		f := newFleet(t)
		f.configure(1, nil)
		u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 8})
		n := f.start()
		u.QueueUnframed(end)
		got := f.send(n, http.MethodPost, "/tell/1", "r1")
		require.False(t, got.err == nil && got.status == http.StatusOK, "%s: complete with %q", name, got.body)
		f.secondChoice(&platformtest.Upstream{ID: "u2", Service: "events", Events: 8})
		require.Eventually(t, func() bool {
			u.QueueUnframed(end)
			got := f.send(n, http.MethodPost, "/talk/1", "r2")
			return got.err == nil && got.body == eventsOf(8)
		}, waitTimeout, changeTime/10, name)
	}
}
