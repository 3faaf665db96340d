package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/directory"
	"github.com/galenaseam/galenaseam/internal/sleep"
)

const (
	// DefaultLeaveRotation outlasts the balancer's two misses, a second apart.
	DefaultLeaveRotation = 2600 * time.Millisecond
	// endMargin is left of the grace when requests that still run are cut.
	endMargin = 600 * time.Millisecond
	// transportSweep is how often idle connections to upstreams are looked at.
	transportSweep = time.Second
)

// Run serves until ctx ends and then drains: it says that it is not ready, goes
// on serving until the balancer has noticed, lets requests end, and leaves the
// fleet. It returns nil after a graceful end.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(inner)
	h.startParts(group, inner, listeners)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
			return nil
		}
		h.drain()
		stop()
		return nil
	})
	h.logger.Info("host started", "callers", h.settings.Callers.String(), "readiness", h.settings.Readiness.String(),
		"peers", h.settings.Peers.String(), "data_centre", string(h.settings.Place.DataCentre))
	err = group.Wait()
	h.transport.Close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	h.logger.Info("host ended", "graceful", err == nil, "error", errText(err))
	return Error.Wrap(err)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sockets are the host's open listeners.
type sockets struct {
	callers, readiness, links, metrics net.Listener
}

// listen opens every listener.
func (h *Host) listen() (s sockets, err error) {
	metrics := netip.AddrPortFrom(h.settings.Peers.Addr(), h.settings.MetricsPort)
	for _, l := range []struct {
		into *net.Listener
		addr netip.AddrPort
	}{{&s.callers, h.settings.Callers}, {&s.readiness, h.settings.Readiness}, {&s.links, h.settings.Peers}, {&s.metrics, metrics}} {
		if *l.into, err = listen(l.addr); err != nil {
			return s, err
		}
	}
	return s, nil
}

// startParts runs what works in the background.
func (h *Host) startParts(group *errgroup.Group, ctx context.Context, s sockets) {
	readiness := &http.Server{Handler: http.HandlerFunc(h.ServeReadiness), ReadHeaderTimeout: defaultHeaderTimeout}
	metrics := &http.Server{
		Handler:           promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{}),
		ReadHeaderTimeout: defaultHeaderTimeout,
	}
	for _, part := range []func() error{
		func() error { return serve(ctx, h.callers.server, callerListener{s.callers}) },
		func() error { return serve(ctx, readiness, s.readiness) },
		func() error { return serve(ctx, metrics, s.metrics) },
		func() error { return h.links.Serve(ctx, s.links) },
		func() error { return h.members.Run(ctx) },
		func() error { return h.directory.Run(ctx) },
		func() error { return h.gatherer.Run(ctx) },
		func() error { return h.callers.sweep(ctx) },
		func() error { return h.sweepTransport(ctx) },
		func() error { return h.register(ctx) },
	} {
		group.Go(part)
	}
}

// serve serves until ctx ends or the server is shut down.
func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// idlePart is the part of the connections an upstream takes that hosts keep
// idle; the rest is for calls under way.
const idlePart = 2

// idleShare is how many idle connections to one upstream are this host's share.
func (h *Host) idleShare() int {
	table, least := h.directory.Routes(), 0
	if table == nil {
		return 1
	}
	for _, s := range table.Services() {
		if s.MaxConnections > 0 && (least == 0 || s.MaxConnections < least) {
			least = s.MaxConnections
		}
	}
	return least / idlePart / h.hostCount()
}

func (h *Host) sweepTransport(ctx context.Context) error {
	return sleep.Every(ctx, transportSweep, func(now time.Time) {
		h.transport.Sweep(now)
		h.transport.LimitIdle(h.idleShare())
	})
}

// register keeps the host's entry in the store, by which others find it.
func (h *Host) register(ctx context.Context) error {
	value, err := cbor.Marshal(h.info)
	if err != nil {
		return Error.Wrap(err)
	}
	return h.platform.Register(ctx, directory.HostPrefix+string(h.info.ID), value, h.logger)
}

// drain ends the host's service without cutting a request.
func (h *Host) drain() {
	begun := time.Now()
	grace := h.grace()
	h.draining.Store(true)
	h.gateway.Drain()
	h.logger.Info("draining", "grace_ms", grace.Milliseconds())
	leave, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := h.members.Leave(leave); err != nil {
		h.logger.Warn("fleet not told of the leave", "error", err.Error())
	}
	time.Sleep(time.Until(begun.Add(h.settings.LeaveRotation)))
	end, cancelEnd := context.WithDeadline(context.Background(), begun.Add(grace-endMargin))
	defer cancelEnd()
	if err := h.callers.server.Shutdown(end); err != nil {
		h.logger.Warn("requests cut at the end of the grace", "error", err.Error())
	}
}
