package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenaseam/galenaseam/internal/ports"
)

const waitTimeout = 10 * time.Second

type echo struct {
	Seq  int    `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

var fleetKey = []byte("a key for tests")

// testServer is a running server on loopback and the means to stop it.
type testServer struct {
	*Server
	addr netip.AddrPort
	stop context.CancelFunc
	done chan error
}

func startServer(t testing.TB, mux *Mux, config ServerConfig) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", ports.ForTest(t).String())
	require.NoError(t, err)
	config.Mux = mux
	ctx, cancel := context.WithCancel(context.Background())
	s := &testServer{
		Server: NewServer(config),
		addr:   listener.Addr().(*net.TCPAddr).AddrPort(),
		stop:   cancel,
		done:   make(chan error, 1),
	}
	go func() { s.done <- s.Serve(ctx, listener) }()
	t.Cleanup(cancel)
	return s
}

func (s *testServer) wait(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.done:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "server did not end")
	}
}

func newTestClient(t testing.TB) *Client {
	client := NewClient(ClientConfig{Key: fleetKey})
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func echoMux() *Mux {
	mux := NewMux()
	HandleTyped(mux, "test.Echo", func(_ context.Context, in echo) (echo, error) { return in, nil })
	return mux
}

func TestConcurrentCallersGetTheirOwnLargeAnswers(t *testing.T) {
	defer goleak.VerifyNone(t)
	server := startServer(t, echoMux(), ServerConfig{Key: fleetKey})
	client := NewClient(ClientConfig{Key: fleetKey})
	var callers sync.WaitGroup
	for worker := range 8 {
		callers.Go(func() {
			for round := range 10 {
				want := echo{Seq: worker*1000 + round, Body: bytes.Repeat([]byte{byte(worker)}, 700_000*round+1)}
				got, err := CallTyped[echo, echo](context.Background(), client, server.addr, "test.Echo", want)
				if err != nil || got.Seq != want.Seq || !bytes.Equal(got.Body, want.Body) {
					t.Errorf("call %d: %v, got %d", want.Seq, err, got.Seq)
				}
			}
		})
	}
	callers.Wait()
	require.NoError(t, client.Close())
	server.stop()
	server.wait(t)
}

// resettableListener keeps the connections that it accepts, so that a test can
// reset them all.
type resettableListener struct {
	net.Listener
	mu   sync.Mutex // guards open
	open []net.Conn
}

func (l *resettableListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.open = append(l.open, accepted)
		l.mu.Unlock()
	}
	return accepted, err
}

func (l *resettableListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.open {
		_ = conn.(*net.TCPConn).SetLinger(0) // so that the close sends a reset
		_ = conn.Close()
	}
	l.open = nil
}

// Guards against idempotent calls failing with their connection. All connections
// are reset once while calls are running: an idempotent call must be repeated, and
// any other must return ErrBroken.
func TestRepeatableCallRetriedAfterConnectionReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	connections := &resettableListener{Listener: listener}
	var runs atomic.Int64
	cut := make(chan struct{})
	mux := NewMux()
	HandleTyped(mux, "test.Cut", func(_ context.Context, in echo) (echo, error) {
		if runs.Add(1) <= 4 {
			<-cut
		}
		return in, nil
	})
	ctx, stop := context.WithCancel(t.Context())
	server := NewServer(ServerConfig{Mux: mux, Key: fleetKey})
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, connections) }()
	client, addr := newTestClient(t), listener.Addr().(*net.TCPAddr).AddrPort()
	var calls sync.WaitGroup
	for i := range 4 {
		calls.Go(func() {
			if i == 0 {
				_, err := CallTyped[echo, echo](t.Context(), client, addr, "test.Cut", echo{Seq: i})
				if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
					t.Errorf("call that may not be repeated: %v", err)
				}
				return
			}
			got, err := CallIdempotent[echo, echo](t.Context(), client, addr, "test.Cut", echo{Seq: i})
			if err != nil || got.Seq != i {
				t.Errorf("idempotent call %d: %v", i, err)
			}
		})
	}
	require.Eventually(t, func() bool { return runs.Load() == 4 }, waitTimeout, time.Millisecond)
	connections.resetAll()
	calls.Wait()
	close(cut)
	require.EqualValues(t, 7, runs.Load())
	stop()
	require.NoError(t, <-done)
}

func TestPeerWithoutTheKeyIsRefusedAndCounted(t *testing.T) {
	server := startServer(t, echoMux(), ServerConfig{Key: fleetKey})
	outsider := NewClient(ClientConfig{Key: []byte("another key")})
	err := outsider.Call(context.Background(), server.addr, "test.Echo", echo{}, &echo{})
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, ErrUnauthenticated)

	raw, err := net.Dial("tcp", server.addr.String())
	require.NoError(t, err)
	defer raw.Close()
	_, err = raw.Write(bytes.Repeat([]byte("x"), 200))
	require.NoError(t, err)
	refused := server.metrics.refused.WithLabelValues(refusedUnauthenticated)
	require.Eventually(t, func() bool { return testutil.ToFloat64(refused) == 2 }, waitTimeout, time.Millisecond)
}

// Guards against a server that does not have the key: it must learn nothing useful
// from the handshake, and the client must not send it the call.
func TestImpostorServerGetsNoCall(t *testing.T) {
	impostor := startServer(t, echoMux(), ServerConfig{Key: []byte("another key")})
	err := newTestClient(t).Call(context.Background(), impostor.addr, "test.Echo", echo{}, &echo{})
	require.ErrorIs(t, err, ErrNotSent)
}

func TestErrorsSayWhetherTheCallWasSent(t *testing.T) {
	mux := echoMux()
	HandleTyped(mux, "test.Fail", func(context.Context, echo) (echo, error) { return echo{}, errors.New("no stock") })
	HandleTyped(mux, "test.Panic", func(context.Context, echo) (echo, error) { panic("bad call") })
	server := startServer(t, mux, ServerConfig{Key: fleetKey, MaxMessageBytes: 1 << 20})
	client := newTestClient(t)
	call := func(addr netip.AddrPort, method Method, in echo) error {
		return client.Call(context.Background(), addr, method, in, &echo{})
	}

	var remote *RemoteError
	err := call(server.addr, "test.Fail", echo{})
	require.ErrorAs(t, err, &remote)
	require.NotErrorIs(t, err, ErrNotSent)
	require.ErrorAs(t, call(server.addr, "test.Panic", echo{}), &remote)
	require.ErrorIs(t, call(server.addr, "test.Missing", echo{}), ErrUnknownMethod)
	require.NotErrorIs(t, call(server.addr, "test.Echo", echo{Body: make([]byte, 4<<20)}), ErrNotSent,
		"the server cut the connection after some of the call had gone out")
	require.NoError(t, call(server.addr, "test.Echo", echo{}), "the server must serve on")

	closed := netip.MustParseAddrPort("127.0.0.1:1")
	require.ErrorIs(t, call(closed, "test.Echo", echo{}), ErrNotSent)
	tooLarge := echo{Body: make([]byte, DefaultMaxMessageBytes+1)}
	require.ErrorIs(t, call(server.addr, "test.Echo", tooLarge), ErrNotSent)
	require.ErrorIs(t, NewClient(ClientConfig{}).Call(context.Background(), server.addr, "test.Echo", echo{}, nil), ErrNoCredentials)
}

func TestCancelReachesTheHandler(t *testing.T) {
	mux := NewMux()
	started, cancelled := make(chan struct{}), make(chan struct{})
	HandleTyped(mux, "test.Hang", func(ctx context.Context, _ echo) (echo, error) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return echo{}, ctx.Err()
	})
	server := startServer(t, mux, ServerConfig{Key: fleetKey})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	err := newTestClient(t).Call(ctx, server.addr, "test.Hang", echo{}, &echo{})
	require.ErrorIs(t, err, context.Canceled)
	require.NotErrorIs(t, err, ErrNotSent)
	select {
	case <-cancelled:
	case <-time.After(waitTimeout):
		require.Fail(t, "the handler was not cancelled")
	}
}

// A draining server must let a running call end and refuse new ones with
// ErrNotSent. After a restart the client must reach the server again, although
// connections to the former one are still pooled.
func TestDrainCompletesCallsAndClientReconnectsAfterRestart(t *testing.T) {
	mux := echoMux()
	started, release := make(chan struct{}), make(chan struct{})
	HandleTyped(mux, "test.Slow", func(_ context.Context, in echo) (echo, error) {
		close(started)
		<-release
		return in, nil
	})
	server := startServer(t, mux, ServerConfig{Key: fleetKey})
	client := newTestClient(t)
	require.NoError(t, client.Call(context.Background(), server.addr, "test.Echo", echo{}, &echo{}))

	slow := make(chan error, 1)
	go func() {
		var got echo
		err := client.Call(context.Background(), server.addr, "test.Slow", echo{Seq: 7}, &got)
		if err == nil && got.Seq != 7 {
			err = errors.New("wrong answer")
		}
		slow <- err
	}()
	<-started
	server.stop()
	require.Eventually(t, func() bool {
		err := client.Call(context.Background(), server.addr, "test.Echo", echo{}, &echo{})
		return errors.Is(err, ErrNotSent)
	}, waitTimeout, time.Millisecond)
	close(release)
	require.NoError(t, <-slow)
	server.wait(t)

	listener, err := net.Listen("tcp", server.addr.String())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(ServerConfig{Mux: echoMux(), Key: fleetKey}).Serve(ctx, listener) }()
	// A call on a pooled connection to the former server may fail with ErrBroken,
	// so the call is retried until it succeeds.
	require.Eventually(t, func() bool {
		return client.Call(context.Background(), server.addr, "test.Echo", echo{}, &echo{}) == nil
	}, waitTimeout, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

// BenchmarkCall measures one call between two hosts on loopback.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 1 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			server := startServer(b, echoMux(), ServerConfig{Key: fleetKey})
			client := newTestClient(b)
			in := echo{Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, client.Call(context.Background(), server.addr, "test.Echo", in, &echo{}))
			}
		})
	}
}
