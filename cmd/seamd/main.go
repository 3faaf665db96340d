// Command seamd is the daemon of an entry host.
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

// The exit codes.
const (
	exitOK       = 0 // graceful shutdown, or help was asked for
	exitFailed   = 1 // the host failed, or requests were cut at the drain timeout
	exitSettings = 2 // the settings are wrong
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs one host until it is told to end.
func run(args []string, out, errOut io.Writer) int {
	s, err := settings.Load(args, errOut)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "seamd: %s\n", err)
		return exitSettings
	}
	options, err := optionsOf(s, out)
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

// optionsOf reads the files that the settings name.
func optionsOf(s settings.Settings, out io.Writer) (galenaseam.Options, error) {
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

// readSecret reads a file that holds one secret; no path gives none.
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
