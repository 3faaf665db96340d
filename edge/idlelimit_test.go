package edge

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/routing"
)

// A connection that became idle before the limit was lowered must not be closed by the
// lower one: its caller may still send a request on it.
func TestLowerIdleLimitSparesConnectionsThatWereIdleBefore(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	var l idleLimit
	l.set(30*time.Second, start)
	l.set(5*time.Second, start.Add(20*time.Second))
	require.False(t, l.exceeded(start.Add(15*time.Second), start.Add(25*time.Second)))
	require.True(t, l.exceeded(start.Add(15*time.Second), start.Add(46*time.Second)))
	require.True(t, l.exceeded(start.Add(21*time.Second), start.Add(27*time.Second)))
	l.set(40*time.Second, start.Add(50*time.Second))
	require.False(t, l.exceeded(start.Add(45*time.Second), start.Add(80*time.Second)), "a higher limit applies at once")
}

// A connection whose next request has arrived and was not read yet must not be closed as
// idle.
func TestConnectionWithAWaitingRequestIsNotClosedAsIdle(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	conn := &callerConn{Conn: accepted, idleSince: time.Now().Add(-time.Minute)}
	callers := newCallerServer(nil, func() *routing.Table { return nil }, slog.New(slog.DiscardHandler))
	callers.open[conn] = struct{}{}
	_, err = caller.Write([]byte("GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // for the bytes to arrive
	callers.closeExpired(time.Now(), routing.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second})
	require.True(t, conn.beginRequest())
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err)
}
