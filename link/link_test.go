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
)

const patience = 10 * time.Second

type echo struct {
	Seq  int    `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

var fleetKey = []byte("a key for tests")

// served is a server on loopback with a way to end it.
type served struct {
	*Server
	addr netip.AddrPort
	stop context.CancelFunc
	done chan error
}

func serve(t testing.TB, mux *Mux, config ServerConfig) *served {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	config.Mux = mux
	ctx, cancel := context.WithCancel(context.Background())
	s := &served{
		Server: NewServer(config),
		addr:   listener.Addr().(*net.TCPAddr).AddrPort(),
		stop:   cancel,
		done:   make(chan error, 1),
	}
	go func() { s.done <- s.Serve(ctx, listener) }()
	t.Cleanup(cancel)
	return s
}

func (s *served) wait(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.done:
		require.NoError(t, err)
	case <-time.After(patience):
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

func TestManyCallersGetTheirOwnLargeAnswers(t *testing.T) {
	defer goleak.VerifyNone(t)
	server := serve(t, echoMux(), ServerConfig{Key: fleetKey})
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

// cutting passes connections on to a server and cuts all at will.
type cutting struct {
	net.Listener
	mu   sync.Mutex // guards open
	open []net.Conn
}

func (c *cutting) Accept() (net.Conn, error) {
	accepted, err := c.Listener.Accept()
	if err == nil {
		c.mu.Lock()
		c.open = append(c.open, accepted)
		c.mu.Unlock()
	}
	return accepted, err
}

func (c *cutting) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.(*net.TCPConn).SetLinger(0) // so that the close resets
		_ = conn.Close()
	}
	c.open = nil
}

// TestRepeatableCallOutlivesItsConnection resets every connection while calls
// are under way, once: repeatable ones are made again, others say that they
// broke.
func TestRepeatableCallOutlivesItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	connections := &cutting{Listener: listener}
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
			got, err := CallRepeatable[echo, echo](t.Context(), client, addr, "test.Cut", echo{Seq: i})
			if err != nil || got.Seq != i {
				t.Errorf("repeatable call %d: %v", i, err)
			}
		})
	}
	require.Eventually(t, func() bool { return runs.Load() == 4 }, patience, time.Millisecond)
	connections.cut()
	calls.Wait()
	close(cut)
	require.EqualValues(t, 7, runs.Load())
	stop()
	require.NoError(t, <-done)
}

func TestPeerWithoutTheKeyIsRefusedAndCounted(t *testing.T) {
	server := serve(t, echoMux(), ServerConfig{Key: fleetKey})
	stranger := NewClient(ClientConfig{Key: []byte("another key")})
	err := stranger.Call(context.Background(), server.addr, "test.Echo", echo{}, &echo{})
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, ErrUnauthenticated)

	raw, err := net.Dial("tcp", server.addr.String())
	require.NoError(t, err)
	defer raw.Close()
	_, err = raw.Write(bytes.Repeat([]byte("x"), 200))
	require.NoError(t, err)
	refused := server.metrics.refused.WithLabelValues(refusedUnauthenticated)
	require.Eventually(t, func() bool { return testutil.ToFloat64(refused) == 2 }, patience, time.Millisecond)
}

// A server that does not have the key must not learn anything it could use,
// and the client must not send it the call.
func TestImpostorServerGetsNoCall(t *testing.T) {
	impostor := serve(t, echoMux(), ServerConfig{Key: []byte("another key")})
	err := newTestClient(t).Call(context.Background(), impostor.addr, "test.Echo", echo{}, &echo{})
	require.ErrorIs(t, err, ErrNotSent)
}

func TestErrorsSayWhetherTheCallWasSent(t *testing.T) {
	mux := echoMux()
	HandleTyped(mux, "test.Fail", func(context.Context, echo) (echo, error) { return echo{}, errors.New("no stock") })
	HandleTyped(mux, "test.Panic", func(context.Context, echo) (echo, error) { panic("bad call") })
	server := serve(t, mux, ServerConfig{Key: fleetKey, MaxMessageBytes: 1 << 20})
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
	server := serve(t, mux, ServerConfig{Key: fleetKey})
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
	case <-time.After(patience):
		require.Fail(t, "the handler was not cancelled")
	}
}

// A draining server lets the running call end, refuses new ones as not sent,
// and a restarted peer is reached again although old connections are pooled.
func TestDrainCutsNoCallAndRestartIsMet(t *testing.T) {
	mux := echoMux()
	started, release := make(chan struct{}), make(chan struct{})
	HandleTyped(mux, "test.Slow", func(_ context.Context, in echo) (echo, error) {
		close(started)
		<-release
		return in, nil
	})
	server := serve(t, mux, ServerConfig{Key: fleetKey})
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
	}, patience, time.Millisecond)
	close(release)
	require.NoError(t, <-slow)
	server.wait(t)

	listener, err := net.Listen("tcp", server.addr.String())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(ServerConfig{Mux: echoMux(), Key: fleetKey}).Serve(ctx, listener) }()
	// A pooled connection to the former server may break under a call, and the
	// contract then leaves open whether it ran; the next call must succeed.
	require.Eventually(t, func() bool {
		return client.Call(context.Background(), server.addr, "test.Echo", echo{}, &echo{}) == nil
	}, patience, time.Millisecond)
	cancel()
	require.NoError(t, <-done)
}

// BenchmarkCall measures one call between two hosts on loopback.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{100, 1 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			server := serve(b, echoMux(), ServerConfig{Key: fleetKey})
			client := newTestClient(b)
			in := echo{Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, client.Call(context.Background(), server.addr, "test.Echo", in, &echo{}))
			}
		})
	}
}
