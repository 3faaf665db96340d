package edge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Guards against a refused request whose body stops short of its end and holds its connection
// for ever, and against a head over the limit that gets no answer.
func TestRefusedRequestsDoNotHoldTheirConnection(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	for text, status := range map[string]int{
		"POST /nowhere/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n": http.StatusNotFound,
		"POST /read/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: b\r\nContent-Length: 9\r\n\r\nx":                      http.StatusUnauthorized,
		"GET /read/ HTTP/1.1\r\nX: " + strings.Repeat("x", 30<<10):                                                       http.StatusRequestHeaderFieldsTooLarge,
	} {
		c, err := net.Dial("tcp4", n.settings.CallerAddr.String())
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, status)
		require.Equal(t, status, answer.StatusCode)
		_, err = io.Copy(io.Discard, c)
		require.NoError(t, err, "the connection is closed")
		require.NoError(t, c.Close())
	}
}
