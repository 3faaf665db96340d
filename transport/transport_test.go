package transport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/transport"
)

// server starts a server that answers its n-th request, counted over all
// connections, with the raw bytes that answer returns; "" closes the connection.
func server(t *testing.T, answer func(n int, r *http.Request) string) (addr netip.AddrPort, accepted *atomic.Int32) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted = &atomic.Int32{}
	var requests atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if r.Header.Get("Early") == "" {
						_, _ = io.Copy(io.Discard, r.Body)
					}
					text := answer(int(requests.Add(1)), r)
					if text == "" {
						return
					}
					_, _ = io.WriteString(c, text)
					if strings.Contains(text, "until the end") {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), accepted
}

func plain(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + twoDigits(len(body)) + "\r\n\r\n" + body
}

func twoDigits(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func do(t *testing.T, c *transport.Client, call *transport.Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if call.Matches == nil {
		call.Matches = func(r *http.Response) bool { return r.Header.Get("Id") == call.Header.Get("Id") }
	}
	a, err := c.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func get(addr netip.AddrPort, id string) *transport.Call {
	return &transport.Call{Addr: addr, Method: http.MethodGet, Target: "/x%2fy?z", Host: "h", Header: http.Header{"Id": {id}}}
}

func TestConnectionsAreReused(t *testing.T) {
	addr, accepted := server(t, func(_ int, r *http.Request) string { return plain(r.Header.Get("Id"), r.RequestURI) })
	c := transport.New(nil)
	for range 5 {
		body, err := do(t, c, get(addr, "a"))
		require.NoError(t, err)
		require.Equal(t, "/x%2fy?z", body)
	}
	require.EqualValues(t, 1, accepted.Load())
	fresh := get(addr, "a")
	fresh.NewConnection = true
	_, err := do(t, c, fresh)
	require.NoError(t, err)
	require.EqualValues(t, 2, accepted.Load())
}

func TestAnswerToEarlierCallIsDiscarded(t *testing.T) {
	addr, _ := server(t, func(n int, r *http.Request) string {
		if n == 2 {
			return plain("stray", "of another") + plain(r.Header.Get("Id"), "own")
		}
		return plain(r.Header.Get("Id"), "own")
	})
	c := transport.New(nil)
	for _, id := range []string{"a", "b", "c"} {
		body, err := do(t, c, get(addr, id))
		require.NoError(t, err)
		require.Equal(t, "own", body)
	}
}

func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	addr, accepted := server(t, func(n int, r *http.Request) string {
		if n == 1 {
			return plain(r.Header.Get("Id"), "own") + plain(r.Header.Get("Id"), "again")
		}
		return plain(r.Header.Get("Id"), "own")
	})
	c := transport.New(nil)
	for range 2 {
		body, err := do(t, c, get(addr, "a"))
		require.NoError(t, err)
		require.Equal(t, "own", body)
		time.Sleep(20 * time.Millisecond)
	}
	require.EqualValues(t, 2, accepted.Load())
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	addr, accepted := server(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 0\r\nX: until the end\r\n\r\n"
	})
	c := transport.New(nil)
	for range 3 {
		_, err := do(t, c, get(addr, "a"))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.EqualValues(t, 3, accepted.Load())
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	addr, _ := server(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\n\r\nuntil the end"
	})
	body, err := do(t, transport.New(nil), get(addr, "a"))
	require.NoError(t, err)
	require.Equal(t, "until the end", body)
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	addr, _ := server(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Length: 99\r\n\r\nuntil the end"
	})
	_, err := do(t, transport.New(nil), get(addr, "a"))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestOnlyAnUnsentCallReturnsErrNotSent(t *testing.T) {
	addr, _ := server(t, func(int, *http.Request) string { return "" })
	_, err := do(t, transport.New(nil), get(addr, "a"))
	require.Error(t, err)
	require.NotErrorIs(t, err, transport.ErrNotSent)
	_, err = do(t, transport.New(nil), get(ports.ForTest(t), "a"))
	require.ErrorIs(t, err, transport.ErrNotSent)
}

// A server may answer before it has read a long body. The connection must not be
// reused then, or the server would take the rest of the body for a request.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	addr, accepted := server(t, func(_ int, r *http.Request) string { return plain(r.Header.Get("Id"), "too long") })
	c := transport.New(nil)
	for range 2 {
		call := get(addr, "a")
		call.Method, call.Body = http.MethodPost, make([]byte, 16<<20)
		call.Header.Set("Early", "1")
		body, err := do(t, c, call)
		require.NoError(t, err)
		require.Equal(t, "too long", body)
	}
	require.EqualValues(t, 2, accepted.Load())
}

func TestContextCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = transport.New(nil).Do(ctx, get(l.Addr().(*net.TCPAddr).AddrPort(), "a"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is still open after its context ended")
	}
}

func TestChunkedBodyArrivesWhole(t *testing.T) {
	addr, _ := server(t, func(_ int, r *http.Request) string {
		return plain(r.Header.Get("Id"), strings.Join(r.TransferEncoding, ",")+" "+r.Header.Get("Host"))
	})
	call := get(addr, "a")
	call.Method, call.Body, call.Chunked = http.MethodPost, []byte("body"), true
	body, err := do(t, transport.New(nil), call)
	require.NoError(t, err)
	require.Equal(t, "chunked ", body)
}

// An answer that is discarded, as it answers another call, must still be seen by
// OnAnswer, and so must informational ones.
func TestDiscardedAnswersAreReported(t *testing.T) {
	addr, _ := server(t, func(_ int, r *http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\nId: early\r\n\r\n" + plain("stray", "of another") + plain(r.Header.Get("Id"), "own")
	})
	c := transport.New(nil)
	var seen []string
	c.OnAnswer(func(call *transport.Call, r *http.Response) {
		seen = append(seen, string(call.Upstream.ID)+" "+r.Header.Get("Id"))
	})
	call := get(addr, "a")
	call.Upstream.ID = "u"
	body, err := do(t, c, call)
	require.NoError(t, err)
	require.Equal(t, "own", body)
	require.Equal(t, []string{"u early", "u stray", "u a"}, seen)
}

// A call must not reach an upstream that may get none, whether that was known
// before or became known while connecting, and the caller must learn that it was
// not sent.
func TestWithheldCallIsNotSent(t *testing.T) {
	for _, admitted := range []int{0, 1} {
		var requests atomic.Int32
		addr, accepted := server(t, func(_ int, r *http.Request) string {
			requests.Add(1)
			return plain(r.Header.Get("Id"), "own")
		})
		c := transport.New(nil)
		asked := 0
		c.Admit(func(*transport.Call) bool {
			asked++
			return asked <= admitted
		})
		_, err := do(t, c, get(addr, "a"))
		require.ErrorIs(t, err, transport.ErrWithheld)
		require.ErrorIs(t, err, transport.ErrNotSent)
		// The server may accept the connection only after the call has returned.
		require.Eventually(t, func() bool { return accepted.Load() >= int32(admitted) }, 5*time.Second, time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		require.Zero(t, requests.Load())
		require.EqualValues(t, admitted, accepted.Load())
	}
}

// brokenOff starts a server that answers with some bytes and closes the connection.
func brokenOff(t *testing.T, text string) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// A server stops in the middle of the head of its answer and closes. Guards against an
// answer that looks whole and has an empty or short body.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nId: a\nContent-Length: 2\n\n",
		"HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n",
	} {
		for length := range len(head) {
			text := head[:length]
			_, err := do(t, transport.New(nil), get(brokenOff(t, text), "a"))
			require.Error(t, err, "%q", text)
			require.NotErrorIs(t, err, transport.ErrNotSent, "%q", text)
		}
	}
}
