package edge_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
	"github.com/galenaseam/galenaseam/retry"
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
	t.Parallel()
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
	t.Parallel()
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
	t.Parallel()
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
	t.Parallel()
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
	t.Parallel()
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
	t.Parallel()
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
	t.Parallel()
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

// A silent upstream must not be replaced beyond the retry budget, and its stream must
// not be cut for that.
func TestReplacementOfSilentUpstreamNeedsRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.retries = retry.Bounds{Window: 10 * time.Second}
	f.configure(1, eachRoute("timeout_ms", 8000))
	a, b := silentUpstream("u1"), silentUpstream("u2")
	a.Silence = 3 * time.Second
	f.upstream(a).QueueFaults(platformtest.FallSilentMidway)
	f.secondChoice(b)
	n := f.start()
	got := f.send(n, http.MethodPost, "/talk/1", "r1", "Deadline-Ms", "8000")
	require.NoError(t, got.err)
	require.Equal(t, eventsOf(8), got.body)
	require.Empty(t, b.Runs())
}

// After stages ran again, an attempt that is refused must not free their results: the
// next one needs them.
func TestResultsOfRerunStagesOutliveARefusal(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, eachRoute("timeout_ms", 8000))
	a, b := silentUpstream("u1"), silentUpstream("u2")
	b.Work = 500 * time.Millisecond
	f.upstream(a).QueueFaults(platformtest.LoseInputs, platformtest.Shed)
	f.secondChoice(b)
	s := f.upstream(&platformtest.Upstream{ID: "u3", Service: "pieces"})
	n := f.start()
	done := make(chan callerResponse, 1)
	go func() {
		done <- f.send(n, http.MethodPost, "/staged/1", "r1", "Chunks", "1,1", "Chunk-Key", "k", "Deadline-Ms", "8000")
	}()
	require.Eventually(t, func() bool { return len(b.Runs()) == 1 }, waitTimeout, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	in := b.Runs()[0].Header.Get("Inputs")
	freed := 0
	for _, h := range s.Freed() {
		if h == in {
			freed++
		}
	}
	got := <-done
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Len(t, s.Calls(), 4)
	require.Equal(t, 1, freed, "both runs make the same handle; only that of the first may be freed")
}

// A stream whose upstream hangs between events must go on at another one before its
// caller gives up.
func TestHungUpstreamIsReplacedBeforeItsCallerGivesUp(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/talk/1", "/staged/1"} {
		t.Run(path[1:5], func(t *testing.T) {
			f := newFleet(t)
			f.configure(1, eachRoute("timeout_ms", 8000))
			a, b := silentUpstream("u1"), silentUpstream("u2")
			a.Silence = time.Minute
			f.upstream(a).QueueFaults(platformtest.FallSilentMidway)
			f.secondChoice(b)
			f.upstream(&platformtest.Upstream{ID: "u3", Service: "pieces"})
			n := f.start()
			r, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddr.String()+path, strings.NewReader("x"))
			require.NoError(t, err)
			r.Host = "shop.example"
			for k, v := range map[string]string{"Attempt-Id": "r1", "Deadline-Ms": "8000", "Authorization": "Bearer key-of-welders", "Chunks": "1,1", "Chunk-Key": "k"} {
				r.Header.Set(k, v)
			}
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
			require.NoError(t, err)
			defer resp.Body.Close()
			br := bufio.NewReader(resp.Body)
			last, gap := time.Now(), time.Duration(0)
			for {
				_, err := br.ReadString('\n')
				gap = max(gap, time.Since(last))
				last = time.Now()
				if err != nil {
					break
				}
			}
			require.Len(t, b.Runs(), 1)
			require.Less(t, gap, 2*time.Second, "callers of this route give up after 2 s")
		})
	}
}

// A request that is suspected of crashing upstreams must not be sent to a second one
// because the first is silent.
func TestSuspectOfACrashRunsOnOneUpstreamAtATime(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, eachRoute("timeout_ms", 8000))
	var ups []*platformtest.Upstream
	for _, id := range []string{"u1", "u2", "u3"} {
		u := f.upstream(&platformtest.Upstream{ID: id, Service: "plain", Silence: time.Second})
		u.QueueFaults(platformtest.Hang)
		ups = append(ups, u)
	}
	n := f.start()
	done := make(chan callerResponse, 1)
	go func() { done <- f.send(n, http.MethodPost, "/read/x", "same", "Deadline-Ms", "8000") }()
	var hit *platformtest.Upstream
	require.Eventually(t, func() bool {
		for _, u := range ups {
			if len(u.Runs()) == 1 {
				hit = u
				return true
			}
		}
		return false
	}, waitTimeout, time.Millisecond)
	for _, u := range ups {
		if u != hit {
			u.QueueFaults()
		}
	}
	hit.StopAccepting()
	hit.Close()
	<-done
	time.Sleep(300 * time.Millisecond)
	base := 0
	for _, u := range ups {
		base += len(u.Runs())
		u.QueueFaults(platformtest.FallSilent)
	}
	got := f.send(n, http.MethodPost, "/read/x", "same", "Deadline-Ms", "8000")
	total := 0
	for _, u := range ups {
		total += len(u.Runs())
	}
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, 1, total-base)
}

// A request must not be quarantined because its upstreams were silent and accepted no
// connection: none of them has crashed.
func TestSilenceOfAnUpstreamDoesNotCountAsACrash(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, eachRoute("timeout_ms", 8000))
	var status []int
	var ups []*platformtest.Upstream
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		u := f.upstream(&platformtest.Upstream{ID: id, Service: "plain", Silence: 2500 * time.Millisecond})
		u.QueueFaults(platformtest.FallSilent, platformtest.FallSilent, platformtest.FallSilent)
		ups = append(ups, u)
	}
	n := f.start()
	for range 4 {
		time.AfterFunc(300*time.Millisecond, func() {
			for _, u := range ups {
				if len(u.Runs()) > 0 {
					u.StopAccepting()
				}
			}
		})
		got := f.send(n, http.MethodPost, "/order/1", "same", "Deadline-Ms", "8000")
		status = append(status, got.status)
		time.Sleep(900 * time.Millisecond)
	}
	require.NotContains(t, status, 503)
}

// A request must not be refused because a stage server is silent for a second and the
// retry budget is empty.
func TestSilentStageServerDoesNotFailRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.retries = retry.Bounds{Window: 10 * time.Second}
	f.configure(1, eachRoute("timeout_ms", 8000))
	f.upstream(silentUpstream("u1"))
	s := f.upstream(&platformtest.Upstream{ID: "u3", Service: "pieces", Silence: time.Second})
	n := f.start()
	s.QueueFaults(platformtest.FallSilent)
	got := f.send(n, http.MethodPost, "/staged/1", "r1", "Chunks", "1,1", "Chunk-Key", "k", "Deadline-Ms", "8000")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
}

// A stream must continue if the attempt that serves it breaks off soon after a silence: the other
// one, which was started after the silence or was silent itself, can continue it. Soak seeds 104 and 42004
// had such streams cut. With stages, their results must outlive the first attempt's first event.
func TestStreamGoesOnWhenItsAttemptBreaksOffAfterASilence(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"/talk/1", "/staged/1"} {
		for name, c := range map[string]struct {
			first, second platformtest.UpstreamFault
			silences      [2]time.Duration // of the two upstreams, between the head and the first event
			signer        string           // whose headers the caller gets
		}{
			"the silent one resumes and breaks off": {first: platformtest.TruncateAnswer, silences: [2]time.Duration{1400 * time.Millisecond, 400 * time.Millisecond}, signer: "u1"},
			"its replacement breaks off":            {second: platformtest.TruncateAnswer, silences: [2]time.Duration{1600 * time.Millisecond, 100 * time.Millisecond}, signer: "u2"},
		} {
			t.Run(route[1:5]+"/"+name, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.configure(1, eachRoute("timeout_ms", 8000))
				a, b := f.upstream(silentUpstream("u1")), f.secondChoice(silentUpstream("u2"))
				f.upstream(&platformtest.Upstream{ID: "u3", Service: "pieces"})
				for i, u := range []*platformtest.Upstream{a, b} {
					u.QueueFaults([]platformtest.UpstreamFault{c.first, c.second}[i])
					u.QueueSilences(platformtest.Silence{Place: platformtest.BeforeBody, Length: c.silences[i]})
				}
				n := f.start()
				got := f.send(n, http.MethodPost, route, "r1", "Chunks", "1,1", "Chunk-Key", "k", "Deadline-Ms", "8000")
				require.NoError(t, got.err)
				require.Equal(t, eventsOf(8), got.body)
				require.Equal(t, "stamp-of-"+c.signer, got.header.Get("Server-Stamp"))
				require.Len(t, a.Runs(), 1)
				require.Len(t, b.Runs(), 1)
			})
		}
	}
}

// Guards against answers that are cut while their leaving upstream is at work: it has closed its
// listener, and is silent for a while on the connection that it serves.
func TestLeavingUpstreamThatAcceptsNoConnectionCompletesItsAnswers(t *testing.T) {
	t.Parallel()
	for _, leave := range []func(f *fleet, u *platformtest.Upstream){
		func(f *fleet, u *platformtest.Upstream) { u.Register(f.store, "draining") },
		func(f *fleet, u *platformtest.Upstream) { f.store.Delete("servers/" + u.ID) },
	} {
		for path, u := range map[string]*platformtest.Upstream{
			"/tell/1":  {ID: "u", Service: "events", Events: 4, Silence: 1900 * time.Millisecond},
			"/order/1": {ID: "u", Service: "plain", Silence: 1900 * time.Millisecond},
		} {
			f := newFleet(t)
			f.configure(1, nil)
			f.upstream(u).QueueFaults(map[string]platformtest.UpstreamFault{"/tell/1": platformtest.FallSilentMidway, "/order/1": platformtest.FallSilent}[path])
			n := f.start()
			answer := make(chan callerResponse, 1)
			go func() { answer <- f.send(n, http.MethodPost, path, "r") }()
			require.Eventually(t, func() bool { return len(u.Runs()) == 1 }, waitTimeout, time.Millisecond)
			leave(f, u)
			u.StopAccepting()
			got := <-answer
			require.NoError(t, got.err, path)
			require.Equal(t, http.StatusOK, got.status, path)
			require.Len(t, u.Runs(), 1)
		}
	}
}
