// Command seamedge is the daemon of an entry host on the users' platform.
package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/edge"
	"github.com/galenaseam/galenaseam/internal/logqueue"
	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/transport"
)

// The exit codes.
const (
	exitOK       = 0 // graceful end, or help was asked for
	exitFailed   = 1 // the host failed
	exitSettings = 2 // the settings are wrong
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// flags are the command line's.
type flags struct {
	settings    string
	metricsPort uint
	logLevel    slog.Level
}

func parseFlags(args []string, errOut io.Writer) (flags, error) {
	var f flags
	set := flag.NewFlagSet("seamedge", flag.ContinueOnError)
	set.SetOutput(errOut)
	set.StringVar(&f.settings, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	set.UintVar(&f.metricsPort, "metrics-port", 9464, "port that serves metrics")
	set.TextVar(&f.logLevel, "log-level", slog.LevelInfo, "lowest level that is logged")
	if err := ff.Parse(set, args, ff.WithEnvVarPrefix("SEAMEDGE")); err != nil {
		return f, err
	}
	if f.settings == "" {
		return f, fmt.Errorf("no settings file: neither -settings nor %s is set", platform.SettingsVariable)
	}
	if f.metricsPort > 65535 {
		return f, fmt.Errorf("metrics port %d is over 65535", f.metricsPort)
	}
	return f, nil
}

// run runs one host until it is told to end.
func run(args []string, out, errOut io.Writer) int {
	// Taken before anything else: a signal that is not taken ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	f, err := parseFlags(args, errOut)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	var settings platform.Settings
	if err == nil {
		settings, err = platform.ReadSettings(f.settings)
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "seamedge: %s\n", err)
		return exitSettings
	}
	// The machine shows one core, whatever the real one has.
	runtime.GOMAXPROCS(1)
	registry := prometheus.NewRegistry()
	lines := logqueue.New(out, registry)
	defer lines.Close()
	logger := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: f.logLevel})).With("host", settings.Name)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	host, err := edge.New(hostSettings(settings, uint16(f.metricsPort)), platformOf(settings), logger, registry)
	if err != nil {
		logger.Error("host could not be built", "error", err.Error())
		return exitFailed
	}
	go host.FollowSettings(ctx, hangups, func() (edge.Settings, error) {
		s, err := platform.ReadSettings(f.settings)
		return hostSettings(s, uint16(f.metricsPort)), err
	})
	if err := host.Run(ctx); err != nil {
		logger.Error("host failed", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// megabitsPerCore is the bandwidth that one core's worth of gathered stage
// calls takes, from their size on the wire.
const megabitsPerCore = 250

// hostSettings translates the platform's settings.
func hostSettings(s platform.Settings, metricsPort uint16) edge.Settings {
	// Hosts have no secret of their own; the key keeps deployments apart.
	key := sha256.Sum256([]byte("galenaseam fleet " + s.Store.Addr.String()))
	return edge.Settings{
		Name: s.Name, Place: s.Place, Callers: s.Callers, Readiness: s.Readiness, Peers: s.Peers,
		MetricsPort: metricsPort, Seeds: s.Seeds, FleetKey: key[:], MemoryBytes: s.MemoryBytes, Grace: s.Grace, ChangesWithin: s.ChangesWithin,
		Capacity: min(s.CPUShare, s.LinkMegabits/megabitsPerCore),
		Retries:  retry.Bounds{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window},
	}
}

// platformOf joins the parts of the platform's adapter.
func platformOf(s platform.Settings) edge.Platform {
	store := platform.NewStore(s.Store, 0)
	return edge.Platform{
		Codec:    platform.Wire{},
		Source:   platform.Source{Store: store},
		Format:   platform.Format{},
		Stages:   func(t *transport.Client) staging.Caller { return platform.StageCalls{Transport: t} },
		Register: store.Register,
	}
}
