// Package soak runs hosts as separate processes under load and injects faults
// drawn from a seed: signals to the processes, loopback proxies that delay, reset
// or silence connections, and upstreams and a store that fail. It compares what
// callers and upstreams observed to check the guarantees on requests.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// The phases of a run and the share of requests that must succeed after it.
const (
	settleTime   = 2 * time.Second
	faultGap     = 250 * time.Millisecond
	baseSeries   = 2 // series of base faults that run concurrently
	recoveryTime = 6 * time.Second
	// minServedShare is the share of requests after the recovery that must be
	// served. It is below 1 because a request may still hit the end of a drain.
	minServedShare = 0.95
)

// EnabledKinds are the kinds of faults that a run plays by default: all but the loss of all
// hosts, after which the others have little to disturb. Each kind draws
// from random sources of its own, so a seed's base faults don't depend on the others.
var EnabledKinds = []string{"base", "planned", "silence", "release", "notice", "restore", "crash", "limit", "entry", "links", "brittle", "evacuation"}

// faultKind is faults that one or more series draw from.
type faultKind struct {
	faults []fault
	series int
	source uint64 // the random source of the first series
}

var faultKinds = map[string]faultKind{
	"base":    {faults: baseFaults, series: baseSeries},
	"planned": {faults: plannedFaults, series: 1, source: 100},
	"silence": {faults: silenceFaults, series: 2, source: 200},
	"release": {faults: releaseFaults, series: 1, source: 300},
	"notice":  {faults: noticeFaults, series: 2, source: 400},
	"restore": {faults: restoreFaults, series: 1, source: 500},
	"crash":   {faults: crashFaults, series: 1, source: 600},
	"limit":   {faults: limitFaults, series: 2, source: 700},
	"entry":   {faults: entryFaults, series: 1, source: 800},
	"links":   {faults: linkFaults, series: 1, source: 1000},
	"brittle": {faults: brittleFaults, series: 1, source: 1100},
	"herd":    {faults: herdFaults, series: 1, source: 900},

	"evacuation": {faults: evacuationFaults, series: 1, source: 1200},
}

// Run starts the hosts, sends load and injects the faults of the given kinds and
// seed for the given length. It returns the injected faults and every violated
// guarantee.
func Run(binary, dir string, seed uint64, length time.Duration, kinds []string) (injected, violations []string, err error) {
	for _, name := range kinds {
		if _, known := faultKinds[name]; !known {
			return nil, nil, fmt.Errorf("kind of fault %q does not exist", name)
		}
	}
	env, err := newEnvironment(binary, dir)
	if err != nil {
		return nil, nil, err
	}
	defer env.close()
	env.storeRestores = slices.Contains(kinds, "restore")
	time.Sleep(settleTime)
	for _, h := range env.hosts {
		if err := h.knowsFleet(); err != nil {
			return nil, nil, err
		}
	}
	load := newCallers(env)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { load.run(ctx, seed) })
	if slices.Contains(kinds, "release") {
		group.Go(func() { load.runStreams(ctx, seed) })
	}
	if slices.Contains(kinds, "restore") {
		group.Go(func() { load.runRetiredKeys(ctx, seed) })
	}
	if slices.Contains(kinds, "crash") {
		group.Go(func() { load.runPrompts(ctx, seed) })
	}
	injected, violations = env.injectFaults(seed, length, kinds)
	env.clearFaults()
	time.Sleep(recoveryTime)
	recoveredAt := time.Now()
	time.Sleep(settleTime)
	stop()
	group.Wait()
	time.Sleep(settleTime)
	violations = append(violations, env.check(load.outcomes, recoveredAt)...)
	violations = append(violations, env.checkStreams(load.streams)...)
	violations = append(violations, env.checkNotices(load.outcomes)...)
	violations = append(violations, env.checkRestores(load.outcomes)...)
	violations = append(violations, env.checkCrashes(load.prompts)...)
	violations = append(violations, env.checkLimits(load.outcomes)...)
	violations = append(violations, env.checkLinks(load.outcomes)...)
	violations = append(violations, env.checkEvacuations(load.outcomes)...)
	return injected, append(violations, env.checkBrittle()...), nil
}

// injectFaults runs the series of all kinds concurrently. Each series draws its
// faults and their targets from a generator of its own.
func (e *environment) injectFaults(seed uint64, length time.Duration, kinds []string) (injected, violations []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	until := time.Now().Add(length)
	for _, name := range kinds {
		kind := faultKinds[name]
		for series := range kind.series {
			r := rand.New(rand.NewPCG(seed, kind.source+uint64(series)))
			group.Go(func() {
				for time.Now().Before(until) {
					description, err := pick(r, kind.faults)(e, r)
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
	}
	group.Wait()
	return injected, violations
}

// check compares the responses that callers received with the requests that
// upstreams ran.
func (e *environment) check(outcomes []outcome, recoveredAt time.Time) (violations []string) {
	runs := make(map[string][]serverRun)
	for _, u := range e.servers() {
		for _, run := range u.Runs() {
			runs[run.RequestID] = append(runs[run.RequestID], serverRun{run, u})
			if run.Workspace() != platformtest.Workspace || run.Body != "body of "+run.RequestID {
				violations = append(violations, fmt.Sprintf("%s ran %s %s with ID %q, workspace %q and a body of %d bytes, which no caller sent", u.ID, run.Method, run.Target, run.RequestID, run.Workspace(), len(run.Body)))
			}
		}
	}
	answered, served := 0, 0
	for _, o := range outcomes {
		violations = append(violations, e.checkOutcome(o, len(runs[o.id]))...)
		violations = append(violations, e.checkNotCut(o, runs[o.id])...)
		if o.sentAt.After(recoveredAt) && o.status != 0 && !o.abandoned && !o.resumes && o.key == keptKey {
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
	idempotent := o.path == "/read/" || o.path == "/talk/" || o.path == "/turn/"
	if !idempotent && runs > 1 {
		report("ran more than once")
	}
	if !idempotent && (o.status == 503 || o.status == 429) && runs > 0 {
		report("ran although it was refused as not run")
	}
	if o.wasDenied() && o.key == keptKey {
		report("was denied although its key and route were always configured")
	}
	if o.status == 200 && o.complete && o.path != "/turn/" && !e.isExpectedAnswer(o) {
		report("got a wrong or incomplete answer: " + o.body)
	}
	return violations
}

func (o outcome) wasDenied() bool { return o.status == 401 || o.status == 404 }

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
	for _, u := range e.servers() {
		if o.body == u.Body(o.id) {
			return true
		}
	}
	return false
}
