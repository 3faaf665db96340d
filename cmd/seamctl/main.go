// Command seamctl is the operators' command-line client.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/galenaseam/galenaseam/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
