package tunnel

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/link"
)

var fleetKey = []byte("a key for tests")

// testHost is a host that may have lost its links to upstreams.
type testHost struct {
	*Dialer
	server *Server
	info   host.Info
	cut    atomic.Bool
	dials  atomic.Int32 // direct connections that it has tried to open
	stop   context.CancelFunc
	lost   atomic.Int32 // upstreams that it found out of reach
}

func (h *testHost) direct(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	h.dials.Add(1)
	if h.cut.Load() {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return nil, errors.New("no link")
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", addr.String())
}

// startHosts starts n hosts that know each other. Every address but that of notUpstream is
// an upstream's.
func startHosts(t testing.TB, n int, notUpstream netip.AddrPort) []*testHost {
	hosts := make([]*testHost, n)
	listeners := make([]net.Listener, n)
	for i := range hosts {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i] = l
		hosts[i] = &testHost{info: host.Info{ID: host.ID(fmt.Sprint("h", i)), LinkAddr: l.Addr().(*net.TCPAddr).AddrPort()}}
	}
	for i, h := range hosts {
		fleet := hosttest.Fleet{{Info: h.info}}
		for _, other := range hosts {
			if other != h {
				fleet = append(fleet, host.Member{Info: other.info})
			}
		}
		client, mux := link.NewClient(link.ClientConfig{Key: fleetKey}), link.NewMux()
		h.Dialer, h.server = New(Config{
			Direct: h.direct, Fleet: fleet, Opener: client, IsUpstream: func(a netip.AddrPort) bool { return a != notUpstream },
			OnLost: func(netip.AddrPort) { h.lost.Add(1) }, OnAllLost: func() {}, Logger: slog.New(slog.DiscardHandler),
		}, mux)
		ctx, stop := context.WithCancel(context.Background())
		h.stop = stop
		server := link.NewServer(link.ServerConfig{Mux: mux, Key: fleetKey, DrainTimeout: time.Millisecond})
		done := make(chan error, 1)
		go func() { done <- server.Serve(ctx, listeners[i]) }()
		t.Cleanup(func() { stop(); require.NoError(t, <-done); require.NoError(t, client.Close()) })
	}
	return hosts
}

// upstream starts a server that passes each connection to serve.
func upstream(t testing.TB, serve func(*net.TCPConn)) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); serve(c.(*net.TCPConn)) }()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func dial(t *testing.T, h *testHost, addr netip.AddrPort) net.Conn {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := h.Dial(ctx, addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestConnectionThroughAnotherHostCarriesAllBytes(t *testing.T) {
	hosts := startHosts(t, 2, netip.AddrPort{})
	addr := upstream(t, func(c *net.TCPConn) { _, _ = io.Copy(c, io.LimitReader(c, 1<<20)) })
	hosts[0].cut.Store(true)
	conn := dial(t, hosts[0], addr)
	require.Equal(t, "h1", conn.(*Conn).Peer())
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	go func() { _, _ = conn.Write(sent) }()
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, bytes.Equal(sent, got))
}

// An answer without a length ends with its connection. Guards against a connection that
// broke, or whose host was lost, being taken for a complete answer.
func TestBrokenTunnelIsNoOrderlyEnd(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn, peer *testHost){
		"upstream resets": func(c *net.TCPConn, _ *testHost) { _ = c.SetLinger(0); _ = c.Close() },
		"host is lost":    func(_ *net.TCPConn, peer *testHost) { peer.stop(); time.Sleep(time.Second) },
		"host stops": func(_ *net.TCPConn, peer *testHost) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			peer.server.Drain()
			peer.server.Shutdown(ctx)
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			hosts := startHosts(t, 2, netip.AddrPort{})
			addr := upstream(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, "first part")
				time.Sleep(20 * time.Millisecond)
				end(c, hosts[1])
			})
			hosts[0].cut.Store(true)
			got, err := io.ReadAll(dial(t, hosts[0], addr))
			require.Error(t, err)
			require.Equal(t, "first part", string(got))
		})
	}
}

// Guards against an upstream that works on for a caller who has left.
func TestClosingATunnelClosesTheUpstreamsConnection(t *testing.T) {
	hosts := startHosts(t, 2, netip.AddrPort{})
	closed := make(chan struct{})
	addr := upstream(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c); close(closed) })
	hosts[0].cut.Store(true)
	require.NoError(t, dial(t, hosts[0], addr).Close())
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "the connection is still open")
	}
	require.Eventually(t, func() bool { return hosts[1].server.count() == 0 }, time.Second, time.Millisecond)
}

// Three of four hosts have lost their links. Guards against tunnels through hosts that have
// none, and against a connection that waits out the time-out of each.
func TestTunnelsGoThroughHostsWithLinks(t *testing.T) {
	hosts := startHosts(t, 4, netip.AddrPort{})
	var addrs []netip.AddrPort
	for range 3 {
		addrs = append(addrs, upstream(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) }))
	}
	for _, h := range hosts[:3] {
		h.cut.Store(true)
		for _, addr := range addrs { // as after requests of its own
			h.paths.lose(addr, time.Now())
		}
	}
	for round := range 3 {
		for _, addr := range addrs {
			begun := time.Now()
			require.Equal(t, "h3", dial(t, hosts[0], addr).(*Conn).Peer())
			require.Less(t, time.Since(begun), tunnelDelay, "the path is known to be lost, round %d", round)
		}
	}
	require.Zero(t, hosts[1].dials.Load()+hosts[2].dials.Load(), "connections tried by hosts without links")
}

// Two of three hosts have lost their links, and the second has no requests that would tell
// it so. Guards against tunnels that are tried through it again and again.
func TestHostThatFailsForOthersLearnsOfItsOwnCut(t *testing.T) {
	hosts := startHosts(t, 3, netip.AddrPort{})
	var addrs []netip.AddrPort
	for range 2 {
		addrs = append(addrs, upstream(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) }))
	}
	hosts[0].cut.Store(true)
	hosts[1].cut.Store(true)
	require.Eventually(t, func() bool {
		for _, addr := range addrs {
			require.Equal(t, "h2", dial(t, hosts[0], addr).(*Conn).Peer())
			hosts[0].peers.avoided.Clear() // so that the second host is asked again
		}
		return hosts[1].paths.expected(addrs[0], time.Now()) == noPath
	}, 10*time.Second, time.Millisecond)
}

// Crashed upstreams are asked for through both other hosts. Guards against sound upstreams
// being out of reach because of them.
func TestCrashedUpstreamsDoNotTakeAwayTheWayToOthers(t *testing.T) {
	hosts := startHosts(t, 3, netip.AddrPort{})
	sound := upstream(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	var crashed []netip.AddrPort
	for range 4 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		crashed = append(crashed, l.Addr().(*net.TCPAddr).AddrPort())
		require.NoError(t, l.Close())
	}
	hosts[0].cut.Store(true)
	for range 5 {
		for _, addr := range crashed {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			_, err := hosts[0].Dial(ctx, addr)
			cancel()
			require.Error(t, err)
		}
		require.IsType(t, &Conn{}, dial(t, hosts[0], sound))
	}
}

// A host must not be usable as a way to addresses that are no upstream's.
func TestTunnelToAnythingButAnUpstreamIsRefused(t *testing.T) {
	addr := upstream(t, func(*net.TCPConn) {})
	hosts := startHosts(t, 2, addr)
	hosts[0].cut.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := hosts[0].Dial(ctx, addr)
	require.Error(t, err)
	require.Zero(t, hosts[1].dials.Load())
}

// An upstream that is down for all hosts must fail about as fast as without tunnels.
func TestUpstreamThatRefusesAllFailsAtOnce(t *testing.T) {
	hosts := startHosts(t, 4, netip.AddrPort{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(t, l.Close())
	sound := upstream(t, func(*net.TCPConn) {})
	for _, h := range hosts { // whose links are whole
		dial(t, h, sound)
		h.dials.Store(0)
	}
	begun := time.Now()
	for range 20 {
		_, err := hosts[0].Dial(t.Context(), addr)
		require.Error(t, err)
	}
	require.Less(t, time.Since(begun), tunnelTimeout)
	served := 0
	for _, h := range hosts[1:] {
		served += int(h.dials.Load())
	}
	require.LessOrEqual(t, served, maxUnreachable*(1+int(time.Since(begun)/downTime)))
}

// A direct connection that opens late must be used again, and the tunnel's bytes must not
// end up in it.
func TestPathThatIsBackIsUsedAgain(t *testing.T) {
	hosts := startHosts(t, 2, netip.AddrPort{})
	addr := upstream(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	hosts[0].cut.Store(true)
	require.IsType(t, &Conn{}, dial(t, hosts[0], addr))
	hosts[0].cut.Store(false)
	require.Eventually(t, func() bool {
		_, direct := dial(t, hosts[0], addr).(*net.TCPConn)
		return direct
	}, 4*trialInterval, 20*time.Millisecond)
	require.Zero(t, hosts[0].paths.lostCount())
}

// A draining host finishes the tunnels that it serves and takes no others.
func TestDrainingHostFinishesItsTunnels(t *testing.T) {
	hosts := startHosts(t, 2, netip.AddrPort{})
	addr := upstream(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	hosts[0].cut.Store(true)
	conn := dial(t, hosts[0], addr)
	hosts[1].server.Drain()
	done := make(chan struct{})
	go func() { hosts[1].server.Shutdown(context.Background()); close(done) }()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := hosts[0].Dial(ctx, addr)
	require.Error(t, err)
	_, err = io.WriteString(conn, "still open")
	require.NoError(t, err)
	got := make([]byte, 10)
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.False(t, isClosed(done))
	require.NoError(t, conn.Close())
	require.Eventually(t, func() bool { return isClosed(done) }, time.Second, time.Millisecond)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// A host that loses power closes nothing. Guards against its tunnels taking the descriptors
// of the host that serves them for good.
func TestTunnelEndsWhenItsCallIsOver(t *testing.T) {
	hosts := startHosts(t, 2, netip.AddrPort{})
	closed := make(chan struct{})
	addr := upstream(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c); close(closed) })
	hosts[0].cut.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	conn, err := hosts[0].Dial(ctx, addr)
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, func() bool { return isClosed(closed) }, time.Second+2*lifetimeSlack, 10*time.Millisecond)
}

// BenchmarkConnection opens a connection, sends 1 KiB back and forth and closes it. The
// upstream's and, through another host, that host's work are included.
func BenchmarkConnection(b *testing.B) {
	for name, cut := range map[string]bool{"direct": false, "tunnel": true} {
		b.Run(name, func(b *testing.B) {
			hosts := startHosts(b, 2, netip.AddrPort{})
			addr := upstream(b, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
			hosts[0].cut.Store(cut)
			buffer := make([]byte, 1<<10)
			for b.Loop() {
				conn, err := hosts[0].Dial(b.Context(), addr)
				require.NoError(b, err)
				_, err = conn.Write(buffer)
				require.NoError(b, err)
				_, err = io.ReadFull(conn, buffer)
				require.NoError(b, err)
				require.NoError(b, conn.Close())
			}
		})
	}
}

// Guards against a reset connection that looks as if the upstream had closed it in order: the
// kernel reports a reset once, here to the write of a long upload, so that reading ends cleanly.
func TestResetDuringAnUploadIsNoOrderlyEnd(t *testing.T) {
	const attempts = 40
	hosts := startHosts(t, 2, netip.AddrPort{})
	addr := upstream(t, func(c *net.TCPConn) {
		_, _ = io.ReadFull(c, make([]byte, 1))
		_, _ = c.Write([]byte("part"))
		time.Sleep(5 * time.Millisecond) // the upload fills the buffers of the connection
		_ = c.SetLinger(0)
	})
	hosts[0].cut.Store(true)
	for range attempts {
		conn := dial(t, hosts[0], addr)
		go func() { _, _ = conn.Write(make([]byte, 16<<20)) }()
		got, err := io.ReadAll(conn)
		require.Error(t, err, "ended in order after %q", got)
		_ = conn.Close()
	}
}
