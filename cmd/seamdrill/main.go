// Command seamdrill runs failure drills: it runs both example deployments, as
// seamd processes and stand-ins, under load while hosts, upstreams and the
// platform's store fail. It exits with 0 if all invariants held, with 3 if one was
// violated, and with 1 if the drill could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaseam/galenaseam/internal/drill"
)

// Exit codes.
const (
	exitFailed            = 1
	exitInvariantViolated = 3
)

// errInvariantViolated is returned if the drill ran and an invariant was violated.
var errInvariantViolated = errors.New("an invariant was violated")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRootCommand().ParseAndRun(ctx, os.Args[1:])
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return
	case errors.Is(err, errInvariantViolated):
		os.Exit(exitInvariantViolated)
	}
	_, _ = fmt.Fprintf(os.Stderr, "seamdrill: %s\n", err)
	os.Exit(exitFailed)
}

// newRootCommand returns the seamdrill command with its subcommands.
func newRootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "seamdrill",
		ShortUsage:  "seamdrill <run|standins>",
		FlagSet:     flag.NewFlagSet("seamdrill", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{newRunCommand(), newStandinsCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// newRunCommand returns the subcommand that runs a drill.
func newRunCommand() *ffcli.Command {
	fs := flag.NewFlagSet("run", flag.ContinueOnError)
	seed := fs.Uint64("seed", 1, "seed of the failures and the load")
	length := fs.Duration("length", 2*time.Minute, "how long failures go on")
	hosts := fs.Int("hosts", 4, "entry hosts of each deployment")
	callers := fs.Int("callers", 12, "callers of each deployment")
	upstreams := fs.Int("upstreams", 4, "upstreams of each pool")
	seamd := fs.String("seamd", "", "path of the seamd program; needed")
	poison := fs.Bool("poison", true, "send requests that crash the engines which run them")
	examples := fs.String("examples", "", "folder of the example documents; those built in when empty")
	dir := fs.String("dir", "", "folder for settings and logs; a new one when empty")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "seamdrill run -seamd PATH",
		ShortHelp:  "Run a drill and account for every request.",
		LongHelp:   "Examples:\n  go build -o /tmp/drill/ ./cmd/seamd ./cmd/seamdrill\n  /tmp/drill/seamdrill run -seamd /tmp/drill/seamd -seed 7",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg := drill.Config{
				Seed: *seed, Hosts: *hosts, Length: *length, Callers: *callers, Seamd: *seamd, Dir: *dir, Out: os.Stdout,
				CrashEngines: *poison,
				Deployments:  drill.ExampleDeployments(*examples, *upstreams),
			}
			return runDrill(ctx, cfg)
		},
	}
}

// runDrill runs a drill and prints its report.
func runDrill(ctx context.Context, cfg drill.Config) (err error) {
	if cfg.Seamd == "" {
		return errors.New("-seamd is needed")
	}
	if cfg.Seamdrill, err = os.Executable(); err != nil {
		return err
	}
	if cfg.Dir == "" {
		if cfg.Dir, err = os.MkdirTemp("", "seamdrill"); err != nil {
			return err
		}
	}
	if cfg.Dir, err = filepath.Abs(cfg.Dir); err != nil {
		return err
	}
	fmt.Printf("seed %d, logs in %s\n", cfg.Seed, cfg.Dir)
	report, err := drill.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if !report.Held() {
		return errInvariantViolated
	}
	return nil
}

// newStandinsCommand returns the subcommand that runs only the stand-ins of a
// deployment. The drill starts it as a process of its own.
func newStandinsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standins", flag.ContinueOnError)
	path := fs.String("document", "", "operators' document; needed")
	upstreams := fs.Int("upstreams", 4, "upstreams of each pool")
	seed := fs.Uint64("seed", 1, "seed of the failures")
	return &ffcli.Command{
		Name:       "standins",
		ShortUsage: "seamdrill standins -document FILE",
		ShortHelp:  "Run a deployment's stand-ins and print their control address.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return drill.RunStandins(ctx, *path, *upstreams, *seed, os.Stdout)
		},
	}
}
