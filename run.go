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

// handOverTimeout bounds handing shards on and saying good-bye at the end.
const handOverTimeout = 5 * time.Second

// Run serves until Drain was called or ctx ends, both of which shut the host
// down gracefully: it says that it is not ready, goes on taking work for the
// drain delay, lets every request in flight end, hands its shards on, and
// leaves the fleet. It returns nil after a graceful shutdown.
func (h *Host) Run(ctx context.Context) error {
	// The parts end after the shutdown, not when ctx ends.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(inner)
	h.startParts(group, inner)
	callers := h.callersServer()
	operators := &http.Server{Handler: h.operators, ReadHeaderTimeout: h.options.Settings.Limits.ReadHeaderTimeout.Std()}
	group.Go(func() error { return serve(callers, h.limitedListener()) })
	group.Go(func() error { return serve(operators, h.sockets.operator) })
	group.Go(func() error {
		h.waitForEnd(ctx, inner)
		err := h.shutDown(callers)
		_ = operators.Close()
		stop()
		return err
	})
	err := group.Wait()
	h.peers.Close() //nolint:errcheck // nothing is left to do with idle connections
	h.client.Close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	h.logger.Info("host ended", "error", errText(err))
	return Error.Wrap(err)
}

// errText is an error's text, empty for none.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// startParts runs what works in the background.
func (h *Host) startParts(group *errgroup.Group, ctx context.Context) {
	parts := []func(context.Context) error{
		func(ctx context.Context) error { return h.server.Serve(ctx, h.sockets.link) },
		h.members.Run,
		h.upstreams.Run,
		h.syncer.Run,
		h.limiter.Run,
		h.dispatcher.Run,
		h.claims.Run,
		h.planners.run,
		h.showReadiness,
	}
	for _, part := range parts {
		group.Go(func() error { return part(ctx) })
	}
}

// waitForEnd waits until the host should shut down, or a part failed.
func (h *Host) waitForEnd(ctx, inner context.Context) {
	select {
	case <-h.drain:
	case <-ctx.Done():
		h.Drain()
	case <-inner.Done():
		h.Drain()
	}
}

// shutDown ends the host without cutting a request.
func (h *Host) shutDown(callers *http.Server) error {
	d := h.options.Settings.Drain
	h.logger.Info("draining", "delay", d.Delay.Std().String(), "timeout", d.Timeout.Std().String())
	time.Sleep(d.Delay.Std())
	ctx, cancel := context.WithTimeout(context.Background(), d.Timeout.Std())
	defer cancel()
	err := callers.Shutdown(ctx)
	if err != nil {
		h.logger.Error("requests were still in flight at the end of the drain timeout", "error", err.Error())
	}
	ctx, cancel = context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := h.claims.Drain(ctx); err != nil {
		h.logger.Warn("shards were not all handed on", "error", err.Error())
	}
	if err := h.members.Leave(ctx); err != nil {
		h.logger.Warn("the fleet was not told of the leave", "error", err.Error())
	}
	return err
}

// callersServer is the HTTP server for callers.
func (h *Host) callersServer() *http.Server {
	l := h.options.Settings.Limits
	return &http.Server{
		Handler:           h.counted(h.callers),
		ReadHeaderTimeout: l.ReadHeaderTimeout.Std(),
		ReadTimeout:       l.ReadTimeout.Std(),
		IdleTimeout:       l.IdleTimeout.Std(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(h.logger.Handler(), slog.LevelDebug),
	}
}

// counted counts the requests that are being served.
func (h *Host) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer h.metrics.Began()()
		next.ServeHTTP(w, r)
	})
}

// limitedListener bounds the callers' open connections, and speaks TLS when
// the settings name a certificate.
func (h *Host) limitedListener() net.Listener {
	limited := netutil.LimitListener(h.sockets.http, h.options.Settings.Limits.MaxConnections)
	if h.callersTLS == nil {
		return limited
	}
	return tls.NewListener(limited, h.callersTLS)
}

// serve serves until the server is shut down.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// readinessEvery is how often the readiness metric is brought up to date.
const readinessEvery = time.Second

// showReadiness keeps the readiness metric up to date until ctx ends.
func (h *Host) showReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readinessEvery)
	defer ticker.Stop()
	for {
		ready, _ := h.ready()
		h.metrics.Ready(ready)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// NewLogger makes the JSON-lines logger that the settings ask for.
func NewLogger(s settings.Log, out interface{ Write([]byte) (int, error) }) *slog.Logger {
	var level slog.Level
	// The settings' check has made sure that the level is known.
	_ = level.UnmarshalText([]byte(s.Level))
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level}))
}
