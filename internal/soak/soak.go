// Package soak runs hosts as separate processes under load and injects faults
// drawn from a seed: signals to the processes, loopback proxies that delay, reset
// or silence connections, and upstreams and a store that fail. It compares what
// callers and upstreams observed to check the guarantees on requests.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// The phases of a run and the share of requests that must succeed after it.
const (
	settleTime       = 2 * time.Second
	faultGap         = 250 * time.Millisecond
	faultSeriesCount = 2 // series of faults that run concurrently
	recoveryTime     = 6 * time.Second
	// minServedShare is the share of requests after the recovery that must be
	// served. It is below 1 because a request may still hit the end of a drain.
	minServedShare = 0.95
)

// Options are the options of a run.
type Options struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Restore also lets the store come back from older copies.
	Restore bool
}

// Run starts the hosts, sends load and injects the faults of one seed. It returns
// the injected faults and every violated guarantee.
func Run(binary, dir string, o Options) (injected, violations []string, err error) {
	env, err := newEnvironment(binary, dir)
	if err != nil {
		return nil, nil, err
	}
	defer env.close()
	env.restores = o.Restore
	time.Sleep(settleTime)
	load := newCallers(env)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx, o.Seed) })
	if o.Restore {
		group.Go(func() { env.restoreStoreRepeatedly(ctx, rand.New(rand.NewPCG(o.Seed, faultSeriesCount)), o.Length) })
	}
	injected, violations = env.injectFaults(o.Seed, o.Length)
	env.clearFaults()
	time.Sleep(recoveryTime)
	recoveredAt := time.Now()
	time.Sleep(settleTime)
	stop()
	group.Wait()
	time.Sleep(settleTime)
	return injected, append(violations, env.check(load.outcomes, recoveredAt)...), nil
}

// injectFaults runs the fault series concurrently. Each series draws its faults
// and their targets from a generator of its own.
func (e *environment) injectFaults(seed uint64, length time.Duration) (injected, violations []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var signalMu sync.Mutex // the first four faults signal hosts; two series must not restart one host at once
	until := time.Now().Add(length)
	for series := range faultSeriesCount {
		r := rand.New(rand.NewPCG(seed, uint64(series)))
		group.Go(func() {
			for time.Now().Before(until) {
				kind := r.IntN(len(faults))
				if kind < 4 {
					signalMu.Lock()
				}
				description, err := faults[kind](e, r)
				if kind < 4 {
					signalMu.Unlock()
				}
				mu.Lock()
				injected = append(injected, description)
				if err != nil {
					violations = append(violations, err.Error())
				}
				mu.Unlock()
				time.Sleep(faultGap)
			}
		})
	}
	group.Wait()
	return injected, violations
}

// check compares the responses that callers received with the requests that
// upstreams ran.
func (e *environment) check(outcomes []outcome, recoveredAt time.Time) (violations []string) {
	runs := make(map[string]int)
	for _, u := range e.upstreams {
		for _, run := range u.Runs() {
			runs[run.RequestID]++
			if run.Workspace() != platformtest.Workspace || run.Body != "body of "+run.RequestID {
				violations = append(violations, fmt.Sprintf("%s ran %s %s with ID %q, workspace %q and a body of %d bytes, which no caller sent", u.ID, run.Method, run.Target, run.RequestID, run.Workspace(), len(run.Body)))
			}
		}
	}
	answered, served := 0, 0
	for _, o := range outcomes {
		violations = append(violations, e.checkOutcome(o, runs[o.id])...)
		if o.sentAt.After(recoveredAt) && o.status != 0 && !o.abandoned {
			answered++
			if o.status == 200 && o.complete {
				served++
			}
		}
	}
	if answered == 0 || float64(served) < minServedShare*float64(answered) {
		violations = append(violations, fmt.Sprintf("only %d of %d requests were served after the faults ended", served, answered))
	}
	return violations
}

// checkOutcome checks the guarantees for one request.
func (e *environment) checkOutcome(o outcome, runs int) (violations []string) {
	report := func(violation string) {
		violations = append(violations, fmt.Sprintf("%s %s at %s: %s (status %d, %d runs)", o.path, o.id, o.host, violation, o.status, runs))
	}
	idempotent := o.path == "/read/" || o.path == "/talk/"
	if !idempotent && runs > 1 {
		report("ran more than once")
	}
	if !idempotent && (o.status == 503 || o.status == 429) && runs > 0 {
		report("ran although it was refused as not run")
	}
	if o.status == 401 || o.status == 404 {
		report("was denied although its key and route were always configured")
	}
	if o.status == 200 && o.complete && !e.isExpectedAnswer(o) {
		report("got a wrong or incomplete answer: " + o.body)
	}
	return violations
}

// isExpectedAnswer reports whether the body is an upstream's complete answer to
// the request.
func (e *environment) isExpectedAnswer(o outcome) bool {
	if o.path == "/talk/" || o.path == "/staged/" {
		var stream strings.Builder
		for i := range eventCount {
			fmt.Fprintf(&stream, "id: %d\ndata: event %d\n\n", i, i)
		}
		return o.body == stream.String()
	}
	for _, u := range e.upstreams {
		if o.body == u.Body(o.id) {
			return true
		}
	}
	return false
}
