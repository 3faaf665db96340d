// Command seamedge runs an entry host as a daemon on the users' platform.
package main

import (
	"cmp"
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

// Exit codes.
const (
	exitOK       = 0 // graceful shutdown, or help was requested
	exitFailed   = 1 // the host failed
	exitSettings = 2 // the settings are invalid
)

// dialUpstream opens connections to upstreams; nil takes the default.
var dialUpstream transport.Dial

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// flags holds the values of the command-line flags.
type flags struct {
	settings    string
	metricsPort uint
	fleetKey    string
	logLevel    slog.Level
	ignoreLoad  bool
}

// parseFlags parses the command line. SEAMEDGE_ environment variables set the flags
// that it lacks.
func parseFlags(args []string, errOut io.Writer) (flags, error) {
	var f flags
	set := flag.NewFlagSet("seamedge", flag.ContinueOnError)
	set.SetOutput(errOut)
	set.StringVar(&f.settings, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file")
	set.UintVar(&f.metricsPort, "metrics-port", 9464, "port that serves metrics")
	set.StringVar(&f.fleetKey, "fleet-key", "", "secret by which the hosts of a fleet know each other; without it the address of the store takes its place")
	set.TextVar(&f.logLevel, "log-level", slog.LevelInfo, "lowest level that is logged")
	set.BoolVar(&f.ignoreLoad, "ignore-load", false, "choose upstreams without the load that they report and the cost of requests, for comparison")
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

// run runs a host until SIGINT or SIGTERM, and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	// SIGHUP must be caught before anything else, because its default action
	// ends the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
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
	// A host of the platform has at most one core, even on a machine that has
	// more.
	runtime.GOMAXPROCS(1)
	registry := prometheus.NewRegistry()
	logOutput := logqueue.New(out, registry)
	defer logOutput.Close()
	logger := slog.New(slog.NewJSONHandler(logOutput, &slog.HandlerOptions{Level: f.logLevel})).With("host", settings.Name)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	host, err := edge.New(f.hostSettings(settings), edgePlatform(settings, logger), logger, registry)
	if err != nil {
		logger.Error("host could not be built", "error", err.Error())
		return exitFailed
	}
	go host.FollowSettings(ctx, reloadSignals, func() (edge.Settings, error) {
		s, err := platform.ReadSettings(f.settings)
		return f.hostSettings(s), err
	})
	if err := host.Run(ctx); err != nil {
		logger.Error("host failed", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// megabitsPerCore is the bandwidth, in Mbit/s, that the stage calls gathered by one
// core take. It follows from the size of these calls on the wire.
const megabitsPerCore = 250

// hostSettings converts the platform's settings to those of an edge host.
func (f flags) hostSettings(s platform.Settings) edge.Settings {
	// The platform gives hosts no shared secret. A key derived from the store's
	// address gives no security, but separates deployments from each other.
	key := sha256.Sum256([]byte("galenaseam fleet " + cmp.Or(f.fleetKey, s.Store.Addr.String())))
	return edge.Settings{
		Name: s.Name, Place: s.Place, CallerAddr: s.CallerAddr, ReadinessAddr: s.ReadinessAddr, PeerAddr: s.PeerAddr,
		MetricsPort: uint16(f.metricsPort), Seeds: s.Seeds, FleetKey: key[:], MemoryBytes: s.MemoryBytes, MaxDescriptors: s.MaxDescriptors, Grace: s.Grace, MaxPropagationDelay: s.MaxPropagationDelay,
		HeartbeatInterval: s.HeartbeatInterval, EntryTTL: s.EntryTTL,
		Capacity: min(s.CPUShare, s.LinkMegabits/megabitsPerCore), LinkMegabits: s.LinkMegabits,
		Retries:   retry.Bounds{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window},
		StoreAddr: s.Store.Addr, IgnoreLoad: f.ignoreLoad,
	}
}

// edgePlatform returns the edge host's view of the platform's services and formats.
func edgePlatform(s platform.Settings, logger *slog.Logger) edge.Platform {
	store := platform.NewStore(s.Store, 0)
	store.LogTo(logger)
	return edge.Platform{
		Codec:    platform.HTTPCodec{},
		Source:   platform.Source{Store: store},
		Format:   platform.Format{},
		Stages:   func(t *transport.Client) staging.Caller { return platform.StageCalls{Transport: t} },
		Register: store.Register,
		Keep:     store.Keep,
		Delete:   store.Delete,

		KeepBriefly: store.KeepBriefly,
		MoveStore:   store.MoveTo,
		Dial:        dialUpstream,
	}
}
