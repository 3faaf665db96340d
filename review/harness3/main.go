// Command harness3 runs the scripted cases of the third review: it starts the system's
// processes as the deploy file does, with stand-ins of the platform, the upstreams and the
// clients, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxCaseTime = 110 * time.Second
)

// run is what a case gets.
type run struct {
	ctx     context.Context
	record  *record
	dir     string // temporary folder
	trouble bool   // the disruption takes place
}

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(*run) (held bool, err error){
	"draining-server":   drainingServer,
	"restarting-server": restartingServers,
	"omitted-stage":     omittedStage,
	"stale-config":      staleConfig,
	"stale-entry":       staleEntry,
	"retry-storm":       retryStorm,
}

func main() {
	// The hosts end with the thread that started them.
	runtime.LockOSThread()
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		return exitNotRun
	}
	held, err := prepare(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, "harness3: the case couldn't run:", err)
		return exitNotRun
	case !held:
		return exitBroken
	}
	return exitHeld
}

func prepare(name, recordPath string) (held bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "harness3-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		_, _ = fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	record, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	defer record.close()
	r := &run{ctx: ctx, record: record, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	held, err = cases[name](r)
	if err != nil {
		record.note("the case couldn't run: %v", err)
		return false, err
	}
	record.note("rule held: %t", held)
	return held, nil
}
