package tunnel

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

const (
	// maxPeersAsked is how many hosts are asked for one tunnel.
	maxPeersAsked = 8
	// maxUnreachable is how many hosts may fail to connect to an upstream before it is
	// taken to be down for a moment.
	maxUnreachable = 3
)

// Config configures a Dialer and a Server, which share what is known of the upstreams.
// Registerer is optional.
type Config struct {
	// Direct opens a connection to an upstream. It must bound the time that takes.
	Direct func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Fleet  host.View
	Opener link.StreamOpener
	// IsUpstream reports whether an upstream has an address.
	IsUpstream func(addr netip.AddrPort) bool
	// OnLost is called without a lock when an upstream was found to be out of reach of
	// this host, so that connections to it are of no use.
	OnLost func(addr netip.AddrPort)
	// OnAllLost is called without a lock when this host was found to have lost its links to
	// all upstreams.
	OnAllLost  func()
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Dialer opens connections to upstreams. It is safe for concurrent use.
type Dialer struct {
	config  Config
	paths   *paths
	peers   peers
	tunnels *prometheus.CounterVec
}

// New creates a dialer, and the server for the tunnels of other hosts.
func New(config Config, mux *link.Mux) (*Dialer, *Server) {
	d := &Dialer{
		config: config, paths: newPaths(), peers: peers{fleet: config.Fleet},
		tunnels: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_tunnels_total", Help: "Tunnels to upstreams that this host has asked other hosts for, by what they said.",
		}, []string{"result"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(d.tunnels, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "seam_upstreams_out_of_reach", Help: "Upstreams that only other hosts could connect to.",
		}, func() float64 { return float64(d.paths.lostCount()) }))
	}
	return d, newServer(d, mux)
}

// opened is the end of one way of opening a connection.
type opened struct {
	conn      net.Conn
	err       error
	tunnelled bool
}

// Dial opens a connection to an upstream. A connection through another host is a *Conn. An
// error means that the upstream has received nothing.
func (d *Dialer) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return d.dial(ctx, addr, d.paths.plan(addr, time.Now()), maxUnreachable)
}

// Probe is Dial for finding out whether any host reaches an upstream. It asks more hosts,
// since those of a data centre may lose their links together.
func (d *Dialer) Probe(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	plan := d.paths.plan(addr, time.Now())
	plan.noTunnel = false
	return d.dial(ctx, addr, plan, maxPeersAsked)
}

func (d *Dialer) dial(ctx context.Context, addr netip.AddrPort, p plan, maxUnreachable int) (net.Conn, error) {
	r := &race{dialer: d, ctx: ctx, addr: addr, plan: p, maxUnreachable: maxUnreachable, results: make(chan opened, 2)}
	defer r.abandon()
	return r.run()
}

// race opens one connection, in one way or both.
type race struct {
	dialer  *Dialer
	ctx     context.Context
	addr    netip.AddrPort
	plan    plan
	results chan opened
	pending int
	// maxUnreachable is how many hosts may fail to connect before no other is asked.
	maxUnreachable int

	directBegun  time.Time // zero if no direct connection was begun
	directErr    error
	tunnelErr    error
	cancelDirect context.CancelFunc
	tunnelBegun  bool
	cancelTunnel context.CancelFunc
	peer         string // host of the tunnel that has won, "" if none has
}

// run returns the first connection that opens.
func (r *race) run() (net.Conn, error) {
	if r.plan.direct {
		r.beginDirect()
	}
	var tunnelDue <-chan time.Time
	if !r.plan.noTunnel {
		timer := time.NewTimer(r.plan.tunnelAfter)
		defer timer.Stop()
		tunnelDue = timer.C
	}
	for {
		select {
		case <-r.ctx.Done():
			return nil, r.ctx.Err()
		case <-tunnelDue:
			tunnelDue = nil
			r.beginTunnel()
		case got := <-r.results:
			r.pending--
			if got.err == nil {
				r.won(got)
				return got.conn, nil
			}
			if got.tunnelled {
				r.tunnelErr = got.err
			} else {
				r.directErr = got.err
			}
			if !r.beginOther(got.tunnelled) && r.pending == 0 {
				return nil, errs.Combine(r.directErr, r.tunnelErr)
			}
		}
	}
}

// beginOther begins the way that was not tried yet after the other has failed.
func (r *race) beginOther(tunnelFailed bool) (begun bool) {
	switch {
	case tunnelFailed && r.directBegun.IsZero():
		r.beginDirect()
	case !tunnelFailed && !r.tunnelBegun && !r.plan.noTunnel:
		r.beginTunnel()
	default:
		return false
	}
	return true
}

// won records what the connection that was opened first says of the path. A tunnel that is
// open before a direct connection says nothing unless that has had its time.
func (r *race) won(got opened) {
	if !got.tunnelled {
		return
	}
	r.peer = got.conn.(*Conn).Peer()
	if r.directErr != nil || !r.directBegun.IsZero() && time.Since(r.directBegun) >= tunnelDelay {
		r.dialer.lost(r.addr, r.peer)
	}
}

// beginDirect begins a direct connection.
func (r *race) beginDirect() {
	r.directBegun = time.Now()
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.ctx))
	r.cancelDirect = cancel
	r.pending++
	go func() {
		conn, err := r.dialer.config.Direct(ctx, r.addr)
		if err == nil {
			r.dialer.reached(r.addr)
		}
		r.results <- opened{conn: conn, err: err}
	}()
}

// beginTunnel begins to look for a host that reaches the upstream.
func (r *race) beginTunnel() {
	if r.tunnelBegun {
		return
	}
	r.tunnelBegun = true
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), tunnelTimeout)
	r.cancelTunnel = cancel
	r.pending++
	go func() {
		conn, err := r.dialer.dialTunnel(ctx, openRequest{Addr: r.addr, Lifetime: r.lifetime()}, r.maxUnreachable)
		got := opened{err: err, tunnelled: true}
		if err == nil {
			got.conn = conn
		}
		r.results <- got
	}()
}

// lifetime returns how long the connection may be needed.
func (r *race) lifetime() time.Duration {
	deadline, bounded := r.ctx.Deadline()
	if !bounded {
		return defaultLifetime
	}
	return time.Until(deadline) + lifetimeSlack
}

// abandon ends the way that is still under way. After a tunnel was opened, a direct
// connection is awaited until it opens or fails, since that shows whether the path is lost.
func (r *race) abandon() {
	if r.cancelTunnel != nil {
		r.cancelTunnel()
	}
	cancelDirect := r.cancelDirect
	if cancelDirect == nil {
		cancelDirect = func() {}
	}
	if r.pending == 0 {
		cancelDirect()
		return
	}
	canceled := r.ctx.Err() != nil
	if canceled {
		cancelDirect()
	}
	go func(pending int) {
		defer cancelDirect()
		for range pending {
			late := <-r.results
			switch {
			case late.conn != nil:
				_ = late.conn.Close()
			case !late.tunnelled && r.peer != "" && !canceled:
				r.dialer.lost(r.addr, r.peer)
			}
		}
	}(r.pending)
}

// reached records a direct connection.
func (d *Dialer) reached(addr netip.AddrPort) {
	wasLost, wasCutOff := d.paths.directOpened(addr, time.Now())
	if wasLost {
		d.config.Logger.Info("upstream within reach again", "addr", addr.String())
	}
	if wasCutOff {
		d.config.Logger.Info("links to upstreams restored")
	}
}

// lost records that a host connected to an upstream to which this one could not.
func (d *Dialer) lost(addr netip.AddrPort, peer string) {
	wasReached, isCutOff := d.paths.lose(addr, time.Now())
	if wasReached {
		d.config.Logger.Warn("upstream out of reach, connecting through other hosts", "addr", addr.String(), "peer", peer)
		d.config.OnLost(addr)
	}
	if isCutOff {
		d.config.Logger.Warn("links to upstreams lost")
		d.config.OnAllLost()
	}
}

// verify finds out through another host whether an upstream, to which no direct connection
// could be opened, is out of reach of this host alone.
func (d *Dialer) verify(addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), tunnelTimeout)
	defer cancel()
	conn, err := d.dialTunnel(ctx, openRequest{Addr: addr, Lifetime: tunnelTimeout}, maxUnreachable)
	if err != nil {
		return
	}
	d.lost(addr, conn.Peer())
	_ = conn.Close()
}

// dialTunnel opens a connection through another host. It asks no further host once
// maxUnreachable could not connect either.
func (d *Dialer) dialTunnel(ctx context.Context, request openRequest, maxUnreachable int) (*Conn, error) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	tried := make(map[host.ID]bool)
	var failed []host.ID // hosts that could not connect
	last := Error.New("no other host to connect through")
	for range maxPeersAsked {
		now := time.Now()
		peer, found := d.peers.choose(tried, random, now)
		if !found || ctx.Err() != nil {
			break
		}
		tried[peer.ID] = true
		conn, said, err := d.openAt(ctx, peer, request)
		if err == nil {
			for _, id := range failed { // they seem to lack the way to the upstream
				d.peers.avoided.Add(id, now)
			}
			return conn, nil
		}
		last = err
		switch {
		case ctx.Err() != nil:
		case said == unreachable:
			if failed = append(failed, peer.ID); len(failed) == maxUnreachable {
				d.paths.down(request.Addr, now)
				return nil, last
			}
		case said != unknown:
			d.peers.avoided.Add(peer.ID, now)
		}
	}
	return nil, last
}

// openAt asks one host for a connection to an upstream. After a failure, said is what the
// host said; connected if it said nothing.
func (d *Dialer) openAt(ctx context.Context, peer host.Info, request openRequest) (conn *Conn, said result, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	stream, err := d.config.Opener.Open(ctx, peer.LinkAddr, openMethod)
	if err != nil {
		d.tunnels.WithLabelValues("peer_failed").Inc()
		return nil, connected, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	var reply openReply
	if err = stream.Send(request); err == nil {
		err = stream.Recv(&reply)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = stream.Close()
		d.tunnels.WithLabelValues("peer_failed").Inc()
		return nil, connected, Error.Wrap(err)
	}
	d.tunnels.WithLabelValues(reply.Result.String()).Inc()
	if reply.Result != connected {
		_ = stream.Close()
		return nil, reply.Result, Error.New("host %q says %s: %s", peer.ID, reply.Result, reply.Error)
	}
	return &Conn{stream: stream, peer: peer, addr: request.Addr}, connected, nil
}
