package edge_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

const (
	signedHead  = "HTTP/1.1 200 OK\r\nAttempt-Id: " + platformtest.ID + "\r\nServer-Stamp: s\r\n"
	notRunHead  = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
	strayHead   = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: s\r\n\r\n"
	trickleStep = 10 * time.Millisecond
)

// endlessBytes are answers that never end, by where they do not.
var endlessBytes = map[string]platformtest.EndlessAnswer{
	"no answer":        {Repeat: "x"},
	"headers":          {Start: signedHead, Repeat: "X: x\r\n"},
	"informational":    {Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
	"body":             {Start: signedHead + "\r\n", Repeat: "x"},
	"chunk extension":  {Start: signedHead + "Transfer-Encoding: chunked\r\n\r\n1;", Repeat: "x"},
	"error body":       {Start: "HTTP/1.1 500 Internal Server Error\r\nServer-Stamp: s\r\n\r\n", Repeat: "x"},
	"body of refusal":  {Start: notRunHead + "\r\n", Repeat: "x"},
	"stray body":       {Start: strayHead, Repeat: "x"},
	"trickled head":    {Start: signedHead + "X: ", Repeat: "x", Pause: trickleStep},
	"trickled nothing": {Repeat: "\r\n", Pause: trickleStep},
	"trickled 1xx":     {Repeat: "HTTP/1.1 100 Continue\r\n\r\n", Pause: 60 * time.Millisecond},
	"trickled body":    {Start: signedHead + "\r\n", Repeat: "x", Pause: trickleStep},
	"trickled stray":   {Start: strayHead, Repeat: "x", Pause: trickleStep},
}

// endlessUpstream starts and registers an upstream whose answers never end. stop
// removes it.
func (f *fleet) endlessUpstream(id, service string, answer platformtest.EndlessAnswer) (e *platformtest.EndlessServer, stop func()) {
	e = platformtest.StartEndless(answer)
	f.t.Cleanup(e.Close)
	f.upstream(&platformtest.Upstream{ID: id, Service: service, Public: e.Addr()})
	return e, func() {
		f.store.Delete("servers/" + id)
		time.Sleep(removalTime)
	}
}

// removalTime is longer than a host takes to learn that an entry was written or
// removed.
const removalTime = 400 * time.Millisecond

// slow is the work of a sound upstream that makes a new one seem faster.
const slow = 60 * time.Millisecond

// An answer that never ends must not hold a request that another upstream may
// serve until its deadline, and nothing of it may reach the caller.
func TestRequestIsServedElsewhereWhenAnAnswerNeverEnds(t *testing.T) {
	t.Parallel()
	for path, service := range map[string]string{"/read/1": "plain", "/talk/1": "events"} {
		f := newFleet(t)
		f.configure(1, nil)
		events := map[string]int{"plain": 0, "events": 3}[service]
		sound := f.upstream(&platformtest.Upstream{ID: "sound", Service: service, Events: events, Work: slow})
		n := f.start()
		for name, answer := range endlessBytes {
			t.Run(name+" "+path, func(t *testing.T) {
				e, stop := f.endlessUpstream(name, service, answer)
				defer stop()
				for i := 0; e.Requests() == 0 && i < 50; i++ {
					id := "r" + strconv.Itoa(i)
					begun := time.Now()
					got := f.send(n, http.MethodPost, path, id)
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, map[string]string{"plain": sound.Body(id), "events": eventsOf(3)}[service], got.body)
					require.Less(t, time.Since(begun), 2500*time.Millisecond, "the deadline is 3 s")
				}
				require.Positive(t, e.Requests())
			})
		}
	}
}

// Without another upstream the refusal must tell the truth: 503 only if the
// upstream has said that the request did not run.
func TestRefusalTellsTheTruthWhenAnAnswerNeverEnds(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	n := f.start()
	for name, answer := range endlessBytes {
		if answer.Pause > 0 {
			continue // it may still end, so the request waits until its deadline
		}
		for path, service := range map[string]string{"/order/1": "plain", "/tell/1": "events"} {
			t.Run(name+" "+path, func(t *testing.T) {
				e, stop := f.endlessUpstream(name+service, service, answer)
				defer stop()
				for i := 0; e.Requests() == 0 && i < 200; i++ {
					begun := time.Now()
					got := f.send(n, http.MethodPost, path, name+strconv.Itoa(i))
					switch {
					case e.Requests() == 0, name == "body of refusal":
						require.Equal(t, http.StatusServiceUnavailable, got.status)
					default:
						require.Equal(t, http.StatusBadGateway, got.status)
					}
					require.Less(t, time.Since(begun), 2500*time.Millisecond)
					time.Sleep(10 * time.Millisecond)
				}
				require.Equal(t, 1, e.Requests(), "it may have run and is not sent again")
			})
		}
	}
}

// A stream that goes over into an event without end must not look complete.
func TestStreamThatNeverEndsItsEventIsBroken(t *testing.T) {
	t.Parallel()
	answers := platformtest.EndlessAnswer{Start: signedHead + "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: event 0\n\ndata: ", Repeat: "x"}
	f := newFleet(t)
	f.configure(1, nil)
	_, stop := f.endlessUpstream("u1", "events", answers)
	defer stop()
	n := f.start()
	got := f.send(n, http.MethodPost, "/tell/1", "r1")
	require.Error(t, got.err)
	require.Equal(t, eventsOf(1), got.body, "the whole events only")
	sound := f.upstream(&platformtest.Upstream{ID: "u2", Service: "events", Events: 3})
	require.Eventually(t, func() bool {
		got = f.send(n, http.MethodPost, "/talk/1", "r2")
		return len(sound.Runs()) > 0
	}, waitTimeout, time.Millisecond)
	require.NoError(t, got.err)
	require.Equal(t, eventsOf(3), got.body, "another upstream continues it")
}

// A stage server whose answers never end must not keep a request from the other
// servers, in calls that run pieces, report or free.
func TestStagesRunElsewhereWhenAnAnswerNeverEnds(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 3})
	f.upstream(&platformtest.Upstream{ID: "sound", Service: "pieces", Work: slow})
	n := f.start()
	for name, answer := range endlessBytes {
		t.Run(name, func(t *testing.T) {
			e, stop := f.endlessUpstream(name, "pieces", answer)
			defer stop()
			for i := 0; e.Requests() < 3 && i < 50; i++ {
				got := f.send(n, http.MethodPost, "/staged/1", "r"+strconv.Itoa(i), "Chunks", "1,1", "Chunk-Key", "k")
				require.NoError(t, got.err)
				if name == "error body" && got.status == http.StatusServiceUnavailable {
					// Each 500 is an answer of the server itself and uses up a retry.
					continue
				}
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, eventsOf(3), got.body)
			}
			require.Positive(t, e.Requests())
		})
	}
}
