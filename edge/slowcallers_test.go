package edge

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/routing"
)

// pipeConn returns a caller's connection of a server that has bytes for heads, and the
// caller's end.
func pipeConn(t *testing.T, headMemory int64) (*callerConn, net.Conn) {
	server := newCallerServer(nil, func() *routing.Table { return nil }, slog.New(slog.DiscardHandler))
	server.limitTo(memory.New(headMemory, 0, slog.New(slog.DiscardHandler), nil), 0, nil)
	listener := singleListener{make(chan net.Conn, 1)}
	host, caller := net.Pipe()
	listener.conns <- host
	accepted, err := callerListener{Listener: listener, server: server}.Accept()
	require.NoError(t, err)
	return accepted.(*callerConn), caller
}

// Guards against a caller that reads nothing and holds its answer, and against the cut of one
// that reads slowly but steadily. Load: 10 bytes in 5 s, for 100 s.
func TestOnlyCallersThatReadNothingAreCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, caller := pipeConn(t, 0)
		go func() {
			for range 20 {
				time.Sleep(5 * time.Second)
				_, _ = io.ReadFull(caller, make([]byte, 10))
			}
		}()
		n, err := conn.Write(make([]byte, 200))
		require.NoError(t, err)
		require.Equal(t, 200, n)
		start := time.Now()
		_, err = conn.Write(make([]byte, 200))
		require.ErrorIs(t, err, errCut)
		require.InDelta(t, maxWriteStall.Seconds(), time.Since(start).Seconds(), 1)
	})
}

// Guards against a write that continues after its request was evicted.
func TestWriteEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, _ := pipeConn(t, 0)
		start := time.Now()
		time.AfterFunc(time.Second, func() { _ = conn.SetWriteDeadline(start) })
		_, err := conn.Write([]byte("x"))
		require.Error(t, err)
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against heads of many short fields, which take much more memory than their bytes, and
// against memory that a closed connection or an answered request keeps.
func TestHeadsTakeTheirMemory(t *testing.T) {
	conn, caller := pipeConn(t, 100<<10)
	send := func(text string) error {
		go func() { _, _ = io.WriteString(caller, text) }()
		_, err := conn.Read(make([]byte, 4<<10))
		return err
	}
	require.NoError(t, send("GET / HTTP/1.1\r\nHost: x\r\n"))
	require.Zero(t, conn.server.memory.Held(memory.Head), "usual heads are not counted")
	many := make([]byte, 100)
	for i := range many {
		many[i] = '\n'
	}
	require.NoError(t, send(string(many)))
	require.Greater(t, conn.server.memory.Held(memory.Head), int64(100*fieldCost/2))
	require.True(t, conn.beginRequest())
	conn.markIdle(time.Now())
	require.Zero(t, conn.server.memory.Held(memory.Head))
	for range 10 {
		_ = send(string(many))
	}
	require.ErrorIs(t, send(string(many)), io.ErrClosedPipe, "the connection was closed")
}
