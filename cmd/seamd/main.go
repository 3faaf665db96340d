// Command seamd runs an entry host as a daemon.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/galenaseam/galenaseam"
	"github.com/galenaseam/galenaseam/settings"
)

// Exit codes.
const (
	exitOK       = 0 // graceful shutdown, or help was requested
	exitFailed   = 1 // the host failed, or requests were in flight at the drain timeout
	exitSettings = 2 // the settings are invalid
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs a host until SIGINT or SIGTERM, and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	s, err := settings.Load(args, errOut)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "seamd: %s\n", err)
		return exitSettings
	}
	options, err := hostOptions(s, out)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "seamd: %s\n", err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	host, err := galenaseam.New(options)
	if err != nil {
		options.Logger.Error("host could not be built", "error", err.Error())
		return exitFailed
	}
	if err := host.Run(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}

// hostOptions returns the options of a host with these settings. It reads the secrets
// from the files that the settings name.
func hostOptions(s settings.Settings, out io.Writer) (galenaseam.Options, error) {
	key, err := readSecret(s.Fleet.KeyFile)
	if err != nil {
		return galenaseam.Options{}, err
	}
	token, err := readSecret(s.Operator.TokenFile)
	if err != nil {
		return galenaseam.Options{}, err
	}
	return galenaseam.Options{
		Settings:      s,
		FleetKey:      []byte(key),
		OperatorToken: token,
		Logger:        galenaseam.NewLogger(s.Log, out),
	}, nil
}

// readSecret returns the contents of a file without surrounding white space, or
// "" if path is empty. A file without a secret is an error.
func readSecret(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(text))
	if secret == "" {
		return "", fmt.Errorf("%s is empty", path)
	}
	return secret, nil
}
