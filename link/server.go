package link

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/defaults"
	"github.com/galenaseam/galenaseam/internal/sockopt"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// userTimeout is how long the kernel waits for a peer's acknowledgement before it closes a
// connection, at both ends: a peer that has lost power does not close its connections. It is
// longer than hosts stand still.
const userTimeout = 20 * time.Second

// Defaults and limits of a Server. frameOverheadBytes and retainedBufferBytes also
// apply to a Client.
const (
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultDrainTimeout     = 30 * time.Second
	DefaultMaxConnections   = 8192
	acceptRetryDelay        = 50 * time.Millisecond
	frameOverheadBytes      = 64 << 10
	retainedBufferBytes     = 64 << 10
)

// ServerConfig configures a Server. Mux, and one of TLS and Key, must be set.
type ServerConfig struct {
	Mux *Mux
	// TLS, when set, requires a certificate from each client.
	TLS *tls.Config
	// Key is the fleet's shared secret.
	Key []byte
	// MaxMessageBytes bounds one request or response.
	MaxMessageBytes int
	// MaxConnections bounds the open connections. Further ones are closed.
	MaxConnections int
	// HandshakeTimeout bounds the handshake of a connection.
	HandshakeTimeout time.Duration
	// DrainTimeout bounds how long Serve waits for running calls once its context
	// has ended.
	DrainTimeout time.Duration
	Logger       *slog.Logger
	Registerer   prometheus.Registerer
}

// Server serves the calls of other hosts.
type Server struct {
	config    ServerConfig
	auth      authenticator
	codec     *codec
	rpc       *drpcserver.Server
	metrics   *serverMetrics
	connSlots chan struct{}

	callsMu  sync.Mutex
	draining bool
	running  int
	idle     chan struct{} // closed when draining and no call is running
}

// NewServer returns a server. Call Serve to start it.
func NewServer(config ServerConfig) *Server {
	defaults.Set(&config.MaxMessageBytes, DefaultMaxMessageBytes)
	defaults.Set(&config.MaxConnections, DefaultMaxConnections)
	defaults.Set(&config.HandshakeTimeout, DefaultHandshakeTimeout)
	defaults.Set(&config.DrainTimeout, DefaultDrainTimeout)
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		config:    config,
		auth:      authenticator{tls: config.TLS, key: config.Key, timeout: config.HandshakeTimeout},
		codec:     newCodec(config.MaxMessageBytes),
		metrics:   newServerMetrics(config.Registerer),
		connSlots: make(chan struct{}, config.MaxConnections),
		idle:      make(chan struct{}),
	}
	s.rpc = drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions(config.MaxMessageBytes)})
	return s
}

func managerOptions(maxMessageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes + frameOverheadBytes},
		Stream: drpcstream.Options{MaximumBufferSize: retainedBufferBytes},
	}
}

// Serve accepts connections until ctx ends. Then it refuses new calls, waits up to
// the drain timeout for running calls, and closes the connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if err := s.auth.checkCredentials(); err != nil {
		return errs.Combine(err, listener.Close())
	}
	connCtx, closeConns := context.WithCancel(context.WithoutCancel(ctx))
	defer closeConns()
	stopAccepting := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stopAccepting()

	var conns sync.WaitGroup
	err := s.accept(ctx, listener, func(conn net.Conn) {
		conns.Go(func() { s.serveConn(connCtx, conn) })
	})
	s.drain()
	closeConns()
	conns.Wait()
	return err
}

// accept passes each connection to start until ctx ends or the listener is closed.
// It closes connections beyond MaxConnections, and retries after other errors.
func (s *Server) accept(ctx context.Context, listener net.Listener, start func(net.Conn)) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return Error.Wrap(err)
		default:
			s.config.Logger.Warn("failed to accept link connection", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.connSlots <- struct{}{}:
			start(conn)
		default:
			s.metrics.refused.WithLabelValues(refusedFull).Inc()
			_ = conn.Close()
		}
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer func() { <-s.connSlots }()
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stopClosing()
	defer conn.Close()
	if err := sockopt.SetUserTimeout(conn, userTimeout); err != nil {
		s.config.Logger.Warn("failed to set the user timeout of a link connection", "peer", conn.RemoteAddr().String(), "error", err)
	}
	secure, err := s.auth.serverHandshake(conn)
	if err != nil {
		s.recordRefusal(conn, err)
		return
	}
	s.metrics.connections.Inc()
	defer s.metrics.connections.Dec()
	err = s.rpc.ServeOne(ctx, secure)
	s.config.Logger.Debug("link connection ended", "peer", conn.RemoteAddr().String(), "error", err)
}

func (s *Server) recordRefusal(conn net.Conn, err error) {
	cause := refusedBroken
	if errors.Is(err, ErrUnauthenticated) {
		cause = refusedUnauthenticated
	}
	s.metrics.refused.WithLabelValues(cause).Inc()
	s.config.Logger.Warn("link connection refused", "peer", conn.RemoteAddr().String(), "error", err)
}

// HandleRPC serves one call. It implements drpc.Handler and is called by drpc only.
func (s *Server) HandleRPC(stream drpc.Stream, name string) error {
	if !s.beginCall() {
		return drpcerr.WithCode(errs.New("draining"), codeDraining)
	}
	defer s.endCall()
	started := time.Now()
	err := s.config.Mux.serve(stream, Method(name), s.codec)
	s.metrics.observe(err, time.Since(started))
	if err != nil {
		return err
	}
	return stream.CloseSend()
}

// beginCall counts a call as running, and returns false if the server is draining.
func (s *Server) beginCall() bool {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	if s.draining {
		return false
	}
	s.running++
	return true
}

func (s *Server) endCall() {
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.running--
	s.signalIdle()
}

// signalIdle closes idle if the server is draining and no call is running. callsMu
// must be held.
func (s *Server) signalIdle() {
	if !s.draining || s.running > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

func (s *Server) drain() {
	s.callsMu.Lock()
	s.draining = true
	s.signalIdle()
	s.callsMu.Unlock()

	limit := time.NewTimer(s.config.DrainTimeout)
	defer limit.Stop()
	select {
	case <-s.idle:
	case <-limit.C:
		s.config.Logger.Warn("link drain timed out, cancelling running calls")
	}
}
