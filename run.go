package galenaseam

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/settings"
)

// leaveTimeout bounds the time that a shutdown takes, after the last request has
// ended, to hand off claim shards and to announce that the host leaves.
const leaveTimeout = 5 * time.Second

// Run serves until Drain is called, ctx ends or a component fails, and then shuts
// the host down gracefully. The host reports that it is not ready but accepts new
// work for the drain delay. Then it waits for the requests in flight, hands off
// its claim shards and leaves the fleet. Run returns nil after a graceful
// shutdown.
func (h *Host) Run(ctx context.Context) error {
	// The components must outlive ctx, because the shutdown needs them.
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, componentCtx := errgroup.WithContext(componentCtx)
	h.startComponents(group, componentCtx)
	callers := h.newCallerServer()
	operators := &http.Server{Handler: h.operatorServer, ReadHeaderTimeout: h.options.Settings.Limits.ReadHeaderTimeout.Std()}
	group.Go(func() error { return serve(callers, h.callerListener()) })
	group.Go(func() error { return serve(operators, h.listeners.operator) })
	group.Go(func() error {
		h.waitForShutdown(ctx, componentCtx)
		err := h.shutDown(callers)
		_ = operators.Close()
		stop()
		return err
	})
	err := group.Wait()
	h.linkClient.Close() //nolint:errcheck // nothing is left to do with idle connections
	h.attemptClient.Close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	h.logger.Info("host stopped", "error", errText(err))
	return Error.Wrap(err)
}

// errText returns the text of an error, or "" for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// startComponents starts the components that run in the background.
func (h *Host) startComponents(group *errgroup.Group, ctx context.Context) {
	components := []func(context.Context) error{
		func(ctx context.Context) error { return h.linkServer.Serve(ctx, h.listeners.link) },
		h.membership.Run,
		h.upstreams.Run,
		h.configSyncer.Run,
		h.limiter.Run,
		h.dispatcher.Run,
		h.claims.Run,
		h.planners.run,
		h.promptParts.Run,
		h.quarantine.Run,
		h.publishReadiness,
	}
	for _, component := range components {
		group.Go(func() error { return component(ctx) })
	}
}

// waitForShutdown waits until Drain is called, ctx ends or a component fails,
// which ends componentCtx. In the last two cases it calls Drain itself.
func (h *Host) waitForShutdown(ctx, componentCtx context.Context) {
	select {
	case <-h.drainRequested:
	case <-ctx.Done():
		h.Drain()
	case <-componentCtx.Done():
		h.Drain()
	}
}

// shutDown drains the host. It returns an error if requests were still in flight
// at the drain timeout.
func (h *Host) shutDown(callers *http.Server) error {
	d := h.options.Settings.Drain
	h.logger.Info("draining", "delay", d.Delay.Std().String(), "timeout", d.Timeout.Std().String())
	time.Sleep(d.Delay.Std())
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout.Std())
	defer cancel()
	err := callers.Shutdown(ctx)
	if err != nil {
		h.logger.Error("drain timeout expired with requests in flight", "error", err.Error())
	}
	ctx, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := h.claims.Drain(ctx); err != nil {
		h.logger.Warn("claim shards not all handed off", "error", err.Error())
	}
	if err := h.membership.Leave(ctx); err != nil {
		h.logger.Warn("leave not announced to the fleet", "error", err.Error())
	}
	return err
}

// newCallerServer returns the HTTP server for callers.
func (h *Host) newCallerServer() *http.Server {
	l := h.options.Settings.Limits
	return &http.Server{
		Handler:           h.countInFlight(h.frontend),
		ReadHeaderTimeout: l.ReadHeaderTimeout.Std(),
		ReadTimeout:       l.ReadTimeout.Std(),
		IdleTimeout:       l.IdleTimeout.Std(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(h.logger.Handler(), slog.LevelDebug),
	}
}

// countInFlight wraps a handler to count the requests in flight.
func (h *Host) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer h.metrics.TrackInFlight()()
		next.ServeHTTP(w, r)
	})
}

// callerListener returns the listener for callers. It bounds the number of open
// connections, and uses TLS if the settings name a certificate.
func (h *Host) callerListener() net.Listener {
	limited := netutil.LimitListener(h.listeners.http, h.options.Settings.Limits.MaxConnections)
	if h.callerTLS == nil {
		return limited
	}
	return tls.NewListener(limited, h.callerTLS)
}

// serve runs an HTTP server and returns nil if it was shut down or closed.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// readinessInterval is the interval between two updates of the readiness metric.
const readinessInterval = time.Second

// publishReadiness updates the readiness metric until ctx ends.
func (h *Host) publishReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		ready, _ := h.ready()
		h.metrics.SetReady(ready)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// NewLogger returns a logger that writes JSON lines at the level in the settings.
func NewLogger(s settings.Log, out interface{ Write([]byte) (int, error) }) *slog.Logger {
	var level slog.Level
	// The level was checked when the settings were loaded.
	_ = level.UnmarshalText([]byte(s.Level))
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}))
}
