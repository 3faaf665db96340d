// Package ctl implements seamctl, the operators' command-line client; its main
// function is in cmd/seamctl.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/galenaseam/galenaseam/operator/client"
	"github.com/galenaseam/galenaseam/problem"
)

// The exit codes of seamctl.
const (
	ExitOK          = 0 // success
	ExitFailed      = 1 // any error not listed below
	ExitUsage       = 2 // the command line is wrong
	ExitRefused     = 3 // the host refused: conflict, invalid, forbidden, not found
	ExitUnreachable = 4 // no answer from the host, which may have executed the call
	ExitTimeout     = 5 // config wait timed out before every host had the generation in force
	ExitDifferent   = 6 // config diff found differences
)

// errDifferent is returned by config diff if there are differences.
var errDifferent = errors.New("the documents differ")

// errTimeout is returned by config wait if it times out.
var errTimeout = errors.New("not in force everywhere in time")

// errUsage marks a wrong command line.
var errUsage = errors.New("usage")

// tool holds the streams and global flags that all commands share.
type tool struct {
	out    io.Writer
	errOut io.Writer
	in     io.Reader
	// Flags of the root command.
	base      string
	tokenFile string
	key       string
	format    string
	timeout   time.Duration
}

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	t := &tool{in: in, out: out, errOut: errOut}
	root := t.root()
	if err := root.Parse(args); err != nil {
		return t.report(asUsageError(err))
	}
	return t.report(root.Run(ctx))
}

// asUsageError marks a parse error as a usage error. It returns nil for
// flag.ErrHelp, since help was asked for and printed.
func asUsageError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return nil
	}
	return fmt.Errorf("%w: %w", errUsage, err)
}

// report prints an error and returns the exit code. errDifferent is not
// printed: the diff was the output.
func (t *tool) report(err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	code := exitCode(err)
	if code != ExitDifferent {
		_, _ = fmt.Fprintf(t.errOut, "seamctl: %s\n", strings.TrimSpace(err.Error()))
	}
	return code
}

// exitCode maps an error to its exit code.
func exitCode(err error) int {
	var refused *problem.Problem
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errDifferent):
		return ExitDifferent
	case errors.Is(err, errTimeout):
		return ExitTimeout
	case errors.Is(err, client.ErrUnreachable):
		return ExitUnreachable
	case errors.As(err, &refused):
		return ExitRefused
	default:
		return ExitFailed
	}
}

// defaultBase is the default of -host.
const defaultBase = "http://127.0.0.1:9090"

// defaultTimeout is the default limit on one call.
const defaultTimeout = 10 * time.Second

// root returns the root command with all subcommands.
func (t *tool) root() *ffcli.Command {
	flags := t.flags("seamctl")
	flags.StringVar(&t.base, "host", defaultBase, "operators' address of any host")
	flags.StringVar(&t.tokenFile, "token-file", "", "file with the operators' token")
	flags.StringVar(&t.key, "key", "", "team's operator key, to change the document; better set in SEAMCTL_KEY")
	flags.StringVar(&t.format, "o", formatTable, "output: table or json")
	flags.DurationVar(&t.timeout, "timeout", defaultTimeout, "bound on one call")
	return &ffcli.Command{
		Name:       "seamctl",
		ShortUsage: "seamctl [flags] <command>",
		LongHelp:   rootHelp,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("SEAMCTL")},
		Subcommands: []*ffcli.Command{
			t.configCommand(), t.hostsCommand(), t.upstreamsCommand(), t.pipelinesCommand(), t.workspacesCommand(),
			t.explainCommand(), t.whereCommand(), t.costsCommand(), t.drainCommand(), t.versionCommand(),
		},
		Exec: requireSubcommand,
	}
}

// rootHelp is the text that seamctl -h prints.
const rootHelp = `Sees and changes what the fleet does, through any one host.

Every flag can also be set in the environment: SEAMCTL_HOST, SEAMCTL_KEY, …

Exit codes: 0 done; 1 failed; 2 wrong command line; 3 refused by the host;
4 host not reached; 5 config wait ran out of time; 6 config diff found differences.

Examples:
  seamctl -host http://10.0.0.1:9090 hosts
  seamctl config get > all.yaml
  SEAMCTL_KEY=… seamctl config apply -reason "more share for depots" all.yaml
  seamctl -o json upstreams`

// flags returns a flag set that returns parse errors to the caller and prints
// to standard error.
func (t *tool) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.errOut)
	return fs
}

// requireSubcommand is executed when no subcommand is given; it returns a usage
// error.
func requireSubcommand(context.Context, []string) error {
	return fmt.Errorf("%w: give a command; see -h", errUsage)
}

// noArgs returns a usage error if there are any arguments.
func noArgs(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: unexpected argument %q", errUsage, args[0])
	}
	return nil
}

// client returns a client with the address and credentials from the flags.
func (t *tool) client() (*client.Client, error) {
	if t.format != formatTable && t.format != formatJSON {
		return nil, fmt.Errorf("%w: -o must be table or json", errUsage)
	}
	token := ""
	if t.tokenFile != "" {
		text, err := os.ReadFile(t.tokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(text))
	}
	return client.New(client.Config{BaseURL: t.base, Token: token, OperatorKey: t.key, Timeout: t.timeout}), nil
}
