// Command seamdev runs an example deployment in one process, which needs no
// other software: entry hosts, and stand-ins for the platform and the upstreams.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/galenaseam/galenaseam/examples"
	"github.com/galenaseam/galenaseam/internal/dev"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "seamdev: %s\n", err)
		os.Exit(1)
	}
}

// run runs the fleet until SIGINT or SIGTERM.
func run(args []string) error {
	fs := flag.NewFlagSet("seamdev", flag.ExitOnError)
	deployment := fs.String("deployment", string(dev.Cylinder), "cylinder or yardline")
	hosts := fs.Int("hosts", 3, "number of entry hosts")
	httpPort := fs.Int("http-port", 18080, "callers' port of the first host; the others follow; 0 takes any")
	operatorPort := fs.Int("operator-port", 19080, "operators' port of the first host; the others follow; 0 takes any")
	seed := fs.Uint64("seed", 1, "seed of the stand-ins")
	pace := fs.Float64("pace", 1, "stretches the time that upstreams work")
	verbose := fs.Bool("v", false, "write the hosts' logs to standard error")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SEAMDEV")); err != nil {
		return err
	}
	if *hosts < 1 {
		return fmt.Errorf("-hosts must be at least 1")
	}
	kind, err := dev.ParseDeployment(*deployment)
	if err != nil {
		return err
	}
	text, err := examples.Document(*deployment)
	if err != nil {
		return err
	}
	fleet, err := dev.Start(dev.Options{
		Deployment: kind, Document: text, Hosts: *hosts, HTTPPort: *httpPort, OperatorPort: *operatorPort,
		Seed: *seed, Pace: *pace, Logger: logger(*verbose), Out: os.Stdout,
	})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return fleet.Run(ctx)
}

// logger returns the hosts' logger, which writes to standard error if verbose is
// set and discards everything otherwise.
func logger(verbose bool) *slog.Logger {
	out := io.Discard
	if verbose {
		out = os.Stderr
	}
	return slog.New(slog.NewJSONHandler(out, nil))
}
