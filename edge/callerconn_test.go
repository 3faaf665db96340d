package edge

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/routing"
)

// connClosedWhileReading is a connection that is closed when its first bytes arrive, as
// http.Server.Shutdown does with a connection that seems idle.
type connClosedWhileReading struct {
	net.Conn
	close func() error
}

func (c *connClosedWhileReading) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		_ = c.close()
	}
	return n, err
}

// singleListener returns one connection.
type singleListener struct{ conns chan net.Conn }

func (l singleListener) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l singleListener) Close() error   { close(l.conns); return nil }
func (l singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// A request must not run if a shutdown closed its connection just as it was read: the
// caller could not get its answer.
func TestRequestOnConnectionClosedByShutdownDoesNotRun(t *testing.T) {
	t.Parallel()
	var served atomic.Int32
	callers := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }),
		func() *routing.Table { return nil }, slog.New(slog.DiscardHandler))
	caller, host := net.Pipe()
	reading := &connClosedWhileReading{Conn: host}
	conn := &callerConn{Conn: reading}
	reading.close = conn.Close
	listener := singleListener{make(chan net.Conn, 1)}
	listener.conns <- conn
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = callers.server.Serve(listener)
	}()
	_, err := io.WriteString(caller, "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	require.NoError(t, err)
	_, err = caller.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, callers.server.Shutdown(t.Context()))
	<-ended
	require.Zero(t, served.Load())
}
