package transport_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/transport"
)

// earlyServer starts a server that answers each request as soon as it has read the head, and
// then ends the connection as end does.
func earlyServer(t *testing.T, answer string, end func(*net.TCPConn)) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				time.Sleep(uploadTime)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

const (
	// uploadTime is longer than it takes to fill the buffers of a connection.
	uploadTime = 50 * time.Millisecond
	// longUpload is more than the buffers of a connection hold.
	longUpload = 32 << 20
)

// Guards against a part of an answer that is taken for the whole: an upstream answers a long
// upload at once, without a length, and resets the connection while the body is still being
// written. The reset is reported to the write, so that reading ends as after a whole answer.
func TestUnframedAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	addr := earlyServer(t, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart", func(c *net.TCPConn) { _ = c.SetLinger(0) })
	for _, pause := range []time.Duration{0, 4 * uploadTime} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		call := get(addr, "a")
		call.Method, call.Body = http.MethodPost, make([]byte, longUpload)
		a, err := transport.New(nil).Do(ctx, call)
		require.NoError(t, err)
		time.Sleep(pause)
		body, err := io.ReadAll(a.Body)
		require.Error(t, err, "complete with %q", body)
		a.Close()
		cancel()
	}
}

// Guards against an answer without a length that counts as cut although its upstream has read
// the whole request.
func TestUnframedAnswerToALongUploadIsWhole(t *testing.T) {
	addr, _ := server(t, func(int, *http.Request) string { return "HTTP/1.1 200 OK\r\nId: a\r\n\r\nuntil the end" })
	call := get(addr, "a")
	call.Method, call.Body = http.MethodPost, make([]byte, longUpload)
	body, err := do(t, transport.New(nil), call)
	require.NoError(t, err)
	require.Equal(t, "until the end", body)
}

// Guards against an answer whose status is no status: it counted as informational, and what
// followed it on the connection was taken for the answer.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00"} {
		addr, _ := server(t, func(_ int, r *http.Request) string {
			return "HTTP/1.1 " + status + " Trouble\r\nId: a\r\n\r\n" + plain(r.Header.Get("Id"), "own")
		})
		body, err := do(t, transport.New(nil), get(addr, "a"))
		require.Error(t, err, "status %s was answered with %q", status, body)
	}
}
