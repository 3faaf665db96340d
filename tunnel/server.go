package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/link"
)

// maxTunnels bounds the tunnels that a host serves at once, so that its own callers'
// requests have descriptors and memory left. Each takes two descriptors.
const maxTunnels = 256

// Server serves the tunnels of other hosts. It is safe for concurrent use.
type Server struct {
	config Config
	dialer *Dialer // knows the paths of this host
	served *prometheus.CounterVec

	mu       sync.Mutex // guards the fields below
	open     map[net.Conn]bool
	reserved int // tunnels that are open or being opened
	draining bool
	idle     chan struct{} // closed when draining and no tunnel is open

	stopped chan struct{} // closed when Shutdown has closed the tunnels that were left
}

func newServer(d *Dialer, mux *link.Mux) *Server {
	s := &Server{
		config: d.config, dialer: d, open: make(map[net.Conn]bool), idle: make(chan struct{}), stopped: make(chan struct{}),
		served: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_tunnels_served_total", Help: "Tunnels that other hosts have asked this host for, by what it said.",
		}, []string{"result"}),
	}
	if d.config.Registerer != nil {
		d.config.Registerer.MustRegister(s.served, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "seam_tunnels_open", Help: "Tunnels that this host serves now.",
		}, func() float64 { return float64(s.count()) }))
	}
	mux.HandleStream(openMethod, s.serve)
	return s
}

// Drain refuses further tunnels.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.signalIdle()
}

// Shutdown waits for the open tunnels to end, and closes those that are left when ctx ends.
// Drain must have been called.
func (s *Server) Shutdown(ctx context.Context) {
	select {
	case <-s.idle:
		return
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Logger.Warn("tunnels of other hosts closed at the end of the grace period", "tunnels", s.reserved)
	for conn := range s.open {
		_ = conn.Close()
	}
	close(s.stopped)
}

// serve serves one tunnel.
func (s *Server) serve(ctx context.Context, stream link.Stream) error {
	var request openRequest
	if err := stream.Recv(&request); err != nil {
		return err
	}
	if !s.reserve() {
		s.served.WithLabelValues(full.String()).Inc()
		return stream.Send(openReply{Result: full})
	}
	defer s.release()
	conn, reply := s.connect(ctx, request.Addr)
	s.served.WithLabelValues(reply.Result.String()).Inc()
	if conn == nil {
		return stream.Send(reply)
	}
	s.track(conn)
	defer s.untrack(conn)
	ctx, cancel := context.WithTimeout(ctx, request.Lifetime)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := stream.Send(reply); err != nil {
		return err
	}
	if err := pass(stream, conn); err != nil {
		return err
	}
	select { // the other host may not have read the end yet
	case <-ctx.Done():
	case <-s.stopped:
	}
	return nil
}

// connect opens the connection of a tunnel. It never goes through a third host.
func (s *Server) connect(ctx context.Context, addr netip.AddrPort) (net.Conn, openReply) {
	if !s.config.IsUpstream(addr) {
		return nil, openReply{Result: unknown}
	}
	if expected := s.dialer.paths.expected(addr, time.Now()); expected != connected {
		return nil, openReply{Result: expected}
	}
	dialCtx, cancel := context.WithTimeout(ctx, serverDialTimeout)
	defer cancel()
	conn, err := s.config.Direct(dialCtx, addr)
	if err != nil {
		if ctx.Err() == nil && s.dialer.paths.mustVerify(addr, time.Now()) {
			go s.dialer.verify(addr)
		}
		return nil, openReply{Result: unreachable, Error: err.Error()}
	}
	s.dialer.reached(addr)
	return conn, openReply{}
}

// pass passes bytes on in both directions until the upstream closes the connection. If the
// connection breaks, the error tells the host that opened the tunnel so.
func pass(stream link.Stream, conn net.Conn) error {
	upload := &upload{conn: conn}
	go func() {
		var f frame
		for stream.Recv(&f) == nil && upload.write(f.Data) {
			f = frame{}
		}
	}()
	buffer := make([]byte, maxFrameBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.Send(frame{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && upload.broke():
			return Error.New("the upstream closed the connection while it was being written to")
		case errors.Is(err, io.EOF):
			return stream.Send(frame{End: true})
		case err != nil:
			return Error.Wrap(err)
		}
	}
}

// reserve takes one of the tunnels that the host may serve at once.
func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.reserved >= maxTunnels {
		return false
	}
	s.reserved++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved--
	s.signalIdle()
}

// count returns how many tunnels are open or being opened.
func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserved
}

// signalIdle closes idle if the server is draining and no tunnel is left. The caller holds
// mu.
func (s *Server) signalIdle() {
	if !s.draining || s.reserved > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[conn] = true
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}
