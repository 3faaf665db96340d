package attempt

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/upstream"
)

// serve starts an upstream and returns a call to it.
func serve(t *testing.T, h http.HandlerFunc) Call {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return callTo(server.Listener.Addr().String())
}

func callTo(addr string) Call {
	return Call{
		Identity: Identity{RequestID: "r1", Stage: "answer", Attempt: 1},
		Upstream: upstream.Upstream{ID: upstream.ID(addr), Addr: netip.MustParseAddrPort(addr)},
		Method:   http.MethodPost,
		Path:     "/x",
		Body:     []byte(`{}`),
	}
}

// echoIdentity repeats the identity headers, as upstreams do.
func echoIdentity(w http.ResponseWriter, r *http.Request) {
	for _, name := range []string{HeaderRequestID, HeaderStage, HeaderAttempt} {
		w.Header().Set(name, r.Header.Get(name))
	}
}

// writeEvent writes one server-sent event.
func writeEvent(w http.ResponseWriter, data string) {
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

func textEvent(id, text string) string {
	return fmt.Sprintf(`{"id":%q,"choices":[{"delta":{"content":%q},"finish_reason":null}]}`, id, text)
}

const finishEvent = `{"id":"c1","choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}`

func TestDoClassifiesFailures(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    dispatch.Failure
	}{
		{"foreign answer", func(w http.ResponseWriter, r *http.Request) {
			echoIdentity(w, r)
			w.Header().Set(HeaderRequestID, "r2")
		}, dispatch.WrongAnswer},
		{"answer of an earlier attempt", func(w http.ResponseWriter, r *http.Request) {
			echoIdentity(w, r)
			w.Header().Set(HeaderAttempt, "0")
		}, dispatch.WrongAnswer},
		{"refused by a leaving upstream", func(w http.ResponseWriter, r *http.Request) {
			echoIdentity(w, r)
			w.Header().Set(HeaderRan, "no")
			w.Header().Set(upstream.StateHeader, "leaving")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, dispatch.RefusedByUpstream},
		{"cut in the body", func(w http.ResponseWriter, r *http.Request) {
			echoIdentity(w, r)
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
		}, dispatch.ConnectionLost},
		{"reset before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dispatch.ConnectionLost},
		{"answer over the bound", func(w http.ResponseWriter, r *http.Request) {
			echoIdentity(w, r)
			_, _ = w.Write(make([]byte, 2000))
		}, dispatch.WrongAnswer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := New(Config{MaxAnswerBytes: 1000})
			defer client.Close()
			_, err := client.Do(context.Background(), serve(t, tt.handler))
			require.Error(t, err)
			require.Equal(t, tt.want, AsFailed(err).Failure, err)
		})
	}
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	call := callTo(ports.ForTest(t).String())
	client := New(Config{})
	defer client.Close()
	_, err := client.Do(context.Background(), call)
	failed := AsFailed(err)
	require.True(t, failed.NothingRan())
	require.Equal(t, upstream.RefusedConnection, failed.Evidence)
}

func TestTimeoutAfterSendingDoesNotProveThatNothingRan(t *testing.T) {
	release := make(chan struct{})
	call := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	defer close(release)
	client := New(Config{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, call)
	require.Equal(t, dispatch.TimedOut, AsFailed(err).Failure)
	require.False(t, AsFailed(err).NothingRan())
}

// net/http itself resends a call with an Idempotency-Key when a reused connection
// breaks before the answer. A call with Once must be sent once even then.
func TestOnceCallIsNotResentWhenAReusedConnectionBreaks(t *testing.T) {
	sent := func(once bool) int64 {
		var runs atomic.Int64
		var cut atomic.Bool
		call := serve(t, func(w http.ResponseWriter, r *http.Request) {
			echoIdentity(w, r)
			if r.URL.Path == "/x" {
				runs.Add(1)
				if cut.CompareAndSwap(false, true) {
					panic(http.ErrAbortHandler)
				}
			}
		})
		client := New(Config{})
		defer client.Close()
		warm := call
		warm.Path = "/warm"
		_, err := client.Do(context.Background(), warm)
		require.NoError(t, err)
		call.Once = once
		call.Header = http.Header{"Idempotency-Key": {"k"}}
		_, _ = client.Do(context.Background(), call)
		return runs.Load()
	}
	require.EqualValues(t, 2, sent(false), "net/http no longer resends calls: the singleUse transport may be removed")
	require.EqualValues(t, 1, sent(true))
}

func TestStreamRequiresFinishReasonAndDoneEvent(t *testing.T) {
	tests := []struct {
		name   string
		events []string
		want   dispatch.Failure
		text   string
	}{
		{"whole", []string{textEvent("c1", "a"), textEvent("c1", "b"), finishEvent, "[DONE]"}, dispatch.Succeeded, "ab"},
		{"cut after text", []string{textEvent("c1", "a")}, dispatch.ConnectionLost, "a"},
		{"no closing event", []string{textEvent("c1", "a"), finishEvent}, dispatch.ConnectionLost, "a"},
		{"no finish reason", []string{textEvent("c1", "a"), "[DONE]"}, dispatch.WrongAnswer, "a"},
		{"event of another completion", []string{textEvent("c1", "a"), textEvent("c2", "b")}, dispatch.WrongAnswer, "a"},
		{"malformed event", []string{"{"}, dispatch.WrongAnswer, ""},
		{"engine's own error", []string{textEvent("c1", "a"), `{"id":"c1","error":{"message":"out of memory"}}`}, dispatch.UpstreamError, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			call := serve(t, func(w http.ResponseWriter, r *http.Request) {
				echoIdentity(w, r)
				for _, e := range tt.events {
					writeEvent(w, e)
				}
			})
			client := New(Config{})
			defer client.Close()
			var text strings.Builder
			end, err := client.Stream(context.Background(), call, func(s string) error {
				text.WriteString(s)
				return nil
			})
			require.Equal(t, tt.text, text.String())
			if tt.want == dispatch.Succeeded {
				require.NoError(t, err)
				require.Equal(t, "stop", end.FinishReason)
				require.Equal(t, 3, end.InputTokens)
				return
			}
			require.Equal(t, tt.want, AsFailed(err).Failure, err)
		})
	}
}

func TestStreamCancelsUpstreamWhenEmitFails(t *testing.T) {
	ended := make(chan struct{})
	call := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoIdentity(w, r)
		writeEvent(w, textEvent("c1", "a"))
		<-r.Context().Done()
		close(ended)
	})
	client := New(Config{})
	defer client.Close()
	_, err := client.Stream(context.Background(), call, func(string) error { return fmt.Errorf("caller gone") })
	require.Equal(t, dispatch.Cancelled, AsFailed(err).Failure)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the upstream's request context was not cancelled")
	}
}

func TestStalledStreamTimesOut(t *testing.T) {
	call := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoIdentity(w, r)
		writeEvent(w, textEvent("c1", "a"))
		<-r.Context().Done()
	})
	client := New(Config{StallTimeout: 50 * time.Millisecond})
	defer client.Close()
	_, err := client.Stream(context.Background(), call, func(string) error { return nil })
	require.Equal(t, dispatch.TimedOut, AsFailed(err).Failure)
}

// BenchmarkStream reads streams of two lengths. The difference between them is
// the cost of 1,000 tokens, including the work of the sending server.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{10, 1010} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				echoIdentity(w, r)
				for range tokens {
					writeEvent(w, textEvent("c1", " token"))
				}
				writeEvent(w, finishEvent)
				writeEvent(w, "[DONE]")
			}))
			defer server.Close()
			client := New(Config{})
			defer client.Close()
			call := callTo(server.Listener.Addr().String())
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Stream(context.Background(), call, func(string) error { return nil }); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// serveRaw starts an upstream that reads the head of each request, answers with raw bytes, and
// resets the connection.
func serveRaw(t *testing.T, answer string) Call {
	t.Helper()
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer))
		time.Sleep(20 * time.Millisecond) // a long body fills the buffers of the connection
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
}

const identityHeaders = HeaderRequestID + ": r1\r\n" + HeaderStage + ": answer\r\n" + HeaderAttempt + ": 1\r\n"

// Guards against a part of an answer that is taken for the whole: the answer has no length, and
// its connection is reset while a long body is being written.
func TestUnframedAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	call := serveRaw(t, "HTTP/1.1 200 OK\r\n"+identityHeaders+"\r\npart")
	call.Body = make([]byte, 16<<20)
	client := New(Config{})
	defer client.Close()
	for range 20 {
		answer, err := client.Do(t.Context(), call)
		require.Error(t, err, "complete with %q", answer.Body)
		require.False(t, AsFailed(err).NothingRan())
	}
}

// Guards against an answer with the status 000, which is no status.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	client := New(Config{})
	defer client.Close()
	_, err := client.Do(t.Context(), serveRaw(t, "HTTP/1.1 000 Trouble\r\n"+identityHeaders+"Content-Length: 2\r\n\r\nno"))
	require.Error(t, err)
	require.False(t, AsFailed(err).NothingRan())
}
