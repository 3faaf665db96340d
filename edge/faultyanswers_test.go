package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// rawUpstream registers an upstream that answers each request with the bytes that answer
// returns, in parts with a pause after each. onConn counts the requests of a connection from
// 1. The connection closes after an answer whose last part is "".
func (f *fleet) rawUpstream(id, service string, answer func(onConn int, r *http.Request) []string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, answer)
		}
	}()
	f.upstream(&platformtest.Upstream{ID: id, Service: service, Public: l.Addr().(*net.TCPAddr).AddrPort()})
}

func serveRaw(c net.Conn, answer func(onConn int, r *http.Request) []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for onConn := 1; ; onConn++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		for _, part := range answer(onConn, r) {
			if part == "" {
				return
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(part, platformtest.ID, r.Header.Get("Attempt-Id")))
			time.Sleep(20 * time.Millisecond)
		}
	}
}

const (
	// namelessRefusal says that a request has not run, and not which.
	namelessRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	eventStreamHead = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n"
)

// A faulty upstream writes an earlier refusal once more on a kept connection. Guards against
// "not run" for a request that runs.
func TestRepeatedRefusalOfAnEarlierRequestIsNoProof(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/read/", "/order/", "/talk/", "/tell/"} {
		for name, refusal := range map[string]string{
			"nameless": namelessRefusal,
			"named":    strings.Replace(namelessRefusal, "Not-", "Attempt-Id: first\r\nNot-", 1),
		} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.configure(1, nil)
				var mu sync.Mutex
				refused, ran := false, false
				service, body := "plain", "Content-Length: 2\r\n\r\nok"
				if path == "/talk/" || path == "/tell/" {
					service, body = "events", "Content-Length: 17\r\n\r\nid: 0\ndata: one\n\n"
				}
				f.rawUpstream("u", service, func(onConn int, _ *http.Request) []string {
					mu.Lock()
					defer mu.Unlock()
					if !refused {
						refused = true
						return []string{refusal}
					}
					ran = true
					own := "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n" + body
					if onConn > 1 {
						return []string{refusal, own}
					}
					return []string{own}
				})
				n := f.start()
				require.Eventually(t, func() bool {
					f.send(n, http.MethodPost, path+"first", "first")
					mu.Lock()
					defer mu.Unlock()
					return refused
				}, waitTimeout, 10*time.Millisecond)
				got := f.send(n, http.MethodPost, path+"second", "second")
				mu.Lock()
				defer mu.Unlock()
				require.NoError(t, got.err)
				require.True(t, ran)
				require.NotEqual(t, http.StatusServiceUnavailable, got.status, "it has run")
			})
		}
	}
}

// A stream has begun and breaks off, and the next upstream answers with an error. Guards
// against the error, or its head, in the caller's stream, and against an end that makes the
// stream look complete.
func TestErrorOfAReplacementIsNoPartOfTheStream(t *testing.T) {
	t.Parallel()
	first := []string{eventStreamHead + "Transfer-Encoding: chunked\r\n\r\n", "11\r\nid: 0\ndata: 000\n\n\r\n", ""}
	begun := "id: 0\ndata: 000\n\n"
	const text = "event: error\ndata: no memory\n\n"
	signed := "Attempt-Id: {id}\r\nServer-Stamp: s\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	for name, second := range map[string][]string{
		"500":                   {"HTTP/1.1 500 Internal Server Error\r\n" + signed + length},
		"500 without length":    {"HTTP/1.1 500 Internal Server Error\r\n" + signed + "\r\n" + text, ""},
		"503":                   {"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + signed + length},
		"404":                   {"HTTP/1.1 404 Not Found\r\n" + signed + length},
		"unsigned":              {"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n" + length},
		"200 with an error":     {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + signed + length},
		"200 with nothing":      {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + signed + "Content-Length: 0\r\n\r\n"},
		"head within a head":    {"HTTP/1.1 200 OK\r\n" + "HTTP/1.1 500 Internal Server Error\r\n" + signed + length},
		"head that breaks off":  {eventStreamHead, ""},
		"events, then an error": {eventStreamHead + "\r\n", "HTTP/1.1 500 Internal Server Error\r\n" + signed + length, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, nil)
			var mu sync.Mutex
			arrived := map[string]int{}
			for _, id := range []string{"u-0", "u-1"} {
				f.rawUpstream(id, "events", func(_ int, r *http.Request) []string {
					mu.Lock()
					defer mu.Unlock()
					request := r.Header.Get("Attempt-Id")
					if arrived[request]++; arrived[request] == 1 {
						return first
					}
					return second
				})
			}
			n := f.start()
			var got callerResponse
			require.Eventually(t, func() bool { // until the host knows both upstreams
				id := fmt.Sprint("r-", time.Now().UnixNano())
				got = f.send(n, http.MethodPost, "/talk/1", id)
				mu.Lock()
				defer mu.Unlock()
				return arrived[id] == 2
			}, waitTimeout, 10*time.Millisecond)
			require.Error(t, got.err, "the stream looks complete: %q", got.body)
			require.Equal(t, begun, got.body)
		})
	}
}
