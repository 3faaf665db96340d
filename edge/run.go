package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/directory"
	"github.com/galenaseam/galenaseam/gateway"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/internal/sockopt"
	"github.com/galenaseam/galenaseam/throttle"
)

const (
	// DefaultDrainDelay is longer than the load balancer takes to see two failed
	// readiness checks, one second apart.
	DefaultDrainDelay = 2600 * time.Millisecond
	// shutdownMargin is the part of the grace period that remains when requests
	// still in flight are aborted.
	shutdownMargin = 600 * time.Millisecond
	// transportSweepInterval is how often idle connections to upstreams are
	// checked.
	transportSweepInterval = time.Second
)

// Run serves until ctx ends and then drains the host: it reports not ready,
// leaves the fleet, keeps serving until the load balancer has noticed, and waits
// for requests in flight. It returns nil after a graceful shutdown.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	h.startComponents(group, runCtx, listeners)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return nil
		}
		h.drain()
		stop()
		return nil
	})
	h.logger.Info("host started", "callers", listeners.callers.Addr().String(), "readiness", listeners.readiness.Addr().String(),
		"peers", listeners.peers.Addr().String(), "metrics", listeners.metrics.Addr().String(), "data_centre", string(h.settings.Place.DataCentre))
	err = group.Wait()
	h.transport.Close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	h.logger.Info("host stopped", "graceful", err == nil, "error", errText(err))
	return Error.Wrap(err)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// listeners are the host's open sockets.
type listeners struct {
	callers, readiness, peers, metrics net.Listener
}

// listen opens all listeners. If one fails, it closes the others.
func (h *Host) listen() (s listeners, err error) {
	metrics := netip.AddrPortFrom(h.settings.PeerAddr.Addr(), h.settings.MetricsPort)
	var opened []net.Listener
	for _, l := range []struct {
		purpose string
		into    *net.Listener
		addr    netip.AddrPort
	}{
		{"callers", &s.callers, h.settings.CallerAddr}, {"readiness checks", &s.readiness, h.settings.ReadinessAddr},
		{"other hosts", &s.peers, h.settings.PeerAddr}, {"metrics", &s.metrics, metrics},
	} {
		if *l.into, err = net.Listen("tcp4", l.addr.String()); err != nil {
			for _, other := range opened {
				_ = other.Close() // the host ends with the error of listening
			}
			return listeners{}, Error.New("open the listener for %s: %w", l.purpose, err)
		}
		opened = append(opened, *l.into)
	}
	// The options pass to the connections that are accepted, so that they cost no call each.
	if err := sockopt.SetBuffers(s.callers, callerSocketBytes); err != nil {
		h.logger.Warn("failed to bound the buffers of callers' connections", "error", err.Error())
	}
	return s, nil
}

// startComponents starts the servers and the periodic tasks in group.
func (h *Host) startComponents(group *errgroup.Group, ctx context.Context, s listeners) {
	registerCtx, unregister := context.WithCancel(ctx)
	h.unregister = unregister
	readiness := &http.Server{Handler: http.HandlerFunc(h.ServeReadiness), ReadHeaderTimeout: defaultHeaderTimeout}
	metrics := &http.Server{
		Handler:           h.metricsHandler(),
		ReadHeaderTimeout: defaultHeaderTimeout,
	}
	for _, run := range []func() error{
		func() error { return h.callers.serveOn(ctx, s.callers) },
		func() error { return serve(ctx, readiness, s.readiness) },
		func() error { return serve(ctx, metrics, s.metrics) },
		func() error { return h.peerServer.Serve(ctx, s.peers) },
		func() error { return h.members.Run(ctx) },
		func() error { return h.directory.Run(ctx) },
		func() error { return h.gatherer.Run(ctx) },
		func() error { return h.streams.Run(ctx) },
		func() error { return h.parts.Run(ctx) },
		func() error { return h.suspects.Run(ctx) },
		func() error { return h.callers.closeExpiredPeriodically(ctx) },
		func() error { return h.sweepTransport(ctx) },
		func() error { return h.learnNotices(ctx) },
		func() error { return sleep.Every(ctx, throttle.NoticeInterval, h.shared.Flush) },
		func() error { return h.register(registerCtx) },
	} {
		group.Go(run)
	}
}

// serve serves connections until ctx ends or the server is shut down.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// idleConnDivisor divides an upstream's connection limit to get the number of idle
// connections that all hosts together keep: half. The rest is for calls in
// progress.
const idleConnDivisor = 2

// maxIdleConns returns this host's share of the idle connections to one upstream,
// by the smallest connection limit of all services.
func (h *Host) maxIdleConns() int {
	table, smallest := h.directory.Routes(), 0
	if table == nil {
		return 1
	}
	for _, s := range table.Services() {
		if s.MaxConnections > 0 && (smallest == 0 || s.MaxConnections < smallest) {
			smallest = s.MaxConnections
		}
	}
	return smallest / idleConnDivisor / h.hostCount()
}

func (h *Host) sweepTransport(ctx context.Context) error {
	return sleep.Every(ctx, transportSweepInterval, func(now time.Time) {
		h.transport.Sweep(now)
		h.transport.LimitIdle(h.maxIdleConns())
		h.brittle.Expire(now)
		h.shared.Expire(now)
		h.checkCold(now)
	})
}

// register keeps the host's entry in the store, through which other hosts find
// it.
func (h *Host) register(ctx context.Context) error {
	value, err := cbor.Marshal(h.info)
	if err != nil {
		return Error.Wrap(err)
	}
	return h.platform.Register(ctx, directory.HostPrefix+string(h.info.ID), value, h.logger)
}

// drain stops serving. Requests in flight complete. Those that would take longer than the
// grace period get a refusal while there is time to send it.
func (h *Host) drain() {
	start := time.Now()
	grace := h.grace()
	h.draining.Store(true)
	stopAt := start.Add(grace - shutdownMargin)
	h.gateway.Drain(gateway.Drain{RoutedUntil: start.Add(h.settings.DrainDelay), StopAt: stopAt})
	h.tunnels.Drain()
	h.unregister() // now, since the store may take longer to answer than there is time at the end
	h.logger.Info("draining", "grace_ms", grace.Milliseconds())
	leaveCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := h.members.Leave(leaveCtx); err != nil {
		h.logger.Warn("failed to announce leaving the fleet", "error", err.Error())
	}
	time.Sleep(time.Until(start.Add(h.settings.DrainDelay)))
	shutdownCtx, cancelShutdown := context.WithDeadline(context.Background(), stopAt)
	defer cancelShutdown()
	if err := h.callers.shutdown(shutdownCtx); err != nil {
		h.logger.Warn("requests ended at the end of the grace period", "requests", h.callers.inProgress.Load(), "error", err.Error())
		h.gateway.Stop()
		h.callers.awaitRequests()
		h.callers.abort()
	}
	h.tunnels.Shutdown(shutdownCtx)
}
