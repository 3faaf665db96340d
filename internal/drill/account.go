package drill

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/operator/client"
)

// The bounds that the account checks.
const (
	// maxRunsOfKey is how often a key may run.
	maxRunsOfKey = 1
	// maxLossPerRequest is how many upstreams one request may crash.
	maxLossPerRequest = 3
	// resumeGrace is how long after a pause a host may still act on what it
	// knew before.
	resumeGrace = 1500 * time.Millisecond
	// convergePatience is how long hosts may take to agree after the failures.
	convergePatience = 15 * time.Second
	// maxStoreWrites bounds a fleet's writes in the store, leases included, in
	// calls a second.
	maxStoreWrites = 300
	// goroutineSlack and memorySlack are what a host may hold over its idle
	// state after the load.
	goroutineSlack = 30
	memorySlack    = 96 << 20
)

// runs is what upstreams say that they ran.
type runs struct {
	keys  map[string]int
	marks map[string]int
	// crashes counts the upstreams that each mark crashed.
	crashes map[string]int
}

// account checks every invariant.
func (r *run) account(ctx context.Context) error {
	for _, f := range r.fleets {
		f.waitConverged(ctx)
	}
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	for _, f := range r.fleets {
		ran, err := f.readRuns(ctx)
		if err != nil {
			return err
		}
		if err := f.readOverview(ctx); err != nil {
			return err
		}
		f.accountRequests(r.report, ran)
		f.accountUpstreams(r.report, ran)
		f.accountStore(r.report)
		f.accountConfiguration(ctx, r.report)
		f.accountLeaks(ctx, r.report)
		f.accountEnds(r.report)
		f.note(r.report)
	}
	return nil
}

// readRuns asks the stand-ins what ran.
func (f *fleet) readRuns(ctx context.Context) (ran runs, err error) {
	if err := f.controlCall(ctx, http.MethodGet, "/executions", nil, &ran.keys); err != nil {
		return runs{}, err
	}
	if err := f.controlCall(ctx, http.MethodGet, "/marks", nil, &ran.marks); err != nil {
		return runs{}, err
	}
	err = f.controlCall(ctx, http.MethodGet, "/crashes", nil, &ran.crashes)
	return ran, err
}

// accountRequests checks the promises on requests.
func (f *fleet) accountRequests(report *Report, ran runs) {
	records := f.ledger.all()
	var counts [surelyNotRun + 1]int
	var wrong, broken, lost, doubled []string
	keys, most := 0, 0
	for _, rec := range records {
		counts[rec.settled()]++
		q := rec.request
		for _, w := range rec.wrong {
			wrong = append(wrong, q.mark+": "+w)
		}
		if rec.settled() == surelyNotRun && ran.marks[q.mark]+ran.keys[q.key] > 0 {
			broken = append(broken, fmt.Sprintf("%s %s ran %d times", q.path, q.mark, ran.marks[q.mark]))
		}
		if q.key == "" {
			continue
		}
		keys++
		most = max(most, ran.keys[q.key])
		if ran.keys[q.key] > maxRunsOfKey {
			doubled = append(doubled, fmt.Sprintf("%s ran %d times; heard %v", q.key, ran.keys[q.key], rec.heard))
		}
		if rec.heard[whole] > 0 && ran.keys[q.key] == 0 {
			lost = append(lost, q.key+" was answered and never ran")
		}
	}
	name := f.deployment.Name
	report.add(name+" own answer", wrong, "%d replies, %d wrong, %d of another caller", f.ledger.replies, f.ledger.wrong, f.ledger.foreign)
	report.add(name+" accounted", nil, "%d requests: %d whole, %d failed after running, %d open, %d surely not run",
		len(records), counts[answeredWhole], counts[failedAfterRun], counts[openOutcome], counts[surelyNotRun])
	report.add(name+" not run is true", broken, "%d requests, %d that ran", counts[surelyNotRun], len(broken))
	report.add(name+" at most once", doubled, "%d keys, most runs %d", keys, most)
	report.add(name+" none lost", lost, "%d keys, %d answered and never run", keys, len(lost))
}

// waitConverged waits until all hosts have the newest accepted generation.
func (f *fleet) waitConverged(ctx context.Context) {
	started := time.Now()
	newest, _ := f.edits.newest()
	for time.Since(started) < convergePatience {
		f.observe(ctx)
		f.convergence = time.Since(started)
		if f.converged = f.agree(newest); f.converged {
			return
		}
		if sleep.For(ctx, observeEvery) != nil {
			return
		}
	}
}

// agree says whether all hosts have one generation that is new enough.
func (f *fleet) agree(newest uint64) bool {
	hosts := f.living()
	first := hosts[0].generation.Load()
	for _, h := range hosts {
		if !h.ready.Load() || h.generation.Load() != first {
			return false
		}
	}
	return first >= newest
}

// accountConfiguration checks the promises on the operators' document.
func (f *fleet) accountConfiguration(ctx context.Context, report *Report) {
	name := f.deployment.Name
	newest, count := f.edits.newest()
	var apart []string
	if !f.converged {
		for _, h := range f.living() {
			apart = append(apart, fmt.Sprintf("%s has generation %d, ready %t", h.name, h.generation.Load(), h.ready.Load()))
		}
	}
	report.add(name+" converged", apart, "newest generation %d in force on all hosts %s after the failures", newest, f.convergence.Round(time.Millisecond))
	var back []string
	if f.reversals.count > 0 {
		back = append(back, fmt.Sprintf("%d reversals", f.reversals.count))
	}
	report.add(name+" no reversal", back, "%d looks at hosts' generations, %d went back", f.reversals.looks, f.reversals.count)
	current, err := client.New(client.Config{Base: "http://" + f.living()[0].operator, Timeout: callPatience}).Config(ctx)
	var lost []string
	if err != nil {
		lost = []string{"the document can't be read: " + err.Error()}
	} else {
		lost = f.edits.lost(current.Text)
	}
	report.add(name+" no edit lost", lost, "%d edits accepted, %d conflicts, %d refused, %d open, %d lost",
		count, f.edits.conflicts, f.edits.refused, f.edits.open, len(lost))
}

// accountLeaks compares each host that lived through with its idle state.
func (f *fleet) accountLeaks(ctx context.Context, report *Report) {
	var leaks []string
	var most usage
	var idle int64
	compared := 0
	for _, h := range f.living() {
		if h.idle.goroutines == 0 {
			continue
		}
		compared++
		idle = max(idle, h.idle.bytes)
		now := f.measure(ctx, h)
		grown := usage{goroutines: now.goroutines - h.idle.goroutines, bytes: now.bytes - h.idle.bytes}
		most.goroutines = max(most.goroutines, grown.goroutines)
		most.bytes = max(most.bytes, grown.bytes)
		if grown.goroutines > goroutineSlack || grown.bytes > memorySlack {
			leaks = append(leaks, fmt.Sprintf("%s: %d goroutines and %d MB more than idle", h.name, grown.goroutines, grown.bytes>>20))
		}
	}
	report.add(f.deployment.Name+" no leak", leaks, "%d hosts lived through; idle at most %d MB, most growth %d goroutines, %d MB",
		compared, idle>>20, most.goroutines, most.bytes>>20)
}

// accountEnds ends every host gracefully and checks how all hosts ended.
func (f *fleet) accountEnds(report *Report) {
	hosts := f.living()
	for _, h := range hosts {
		h.draining.Store(true)
		h.signal(syscall.SIGTERM)
	}
	f.mu.Lock()
	all := append(hosts, f.past...)
	f.mu.Unlock()
	var bad []string
	ended := 0
	for _, h := range all {
		err := h.end(hostDrainTimeout + stopPatience)
		if h.killed.Load() {
			continue
		}
		ended++
		if err != nil {
			bad = append(bad, fmt.Sprintf("%s ended with %v", h.name, err))
		}
	}
	if f.ledger.drainCuts > 0 {
		bad = append(bad, fmt.Sprintf("%d answers were cut by hosts that were ending", f.ledger.drainCuts))
	}
	report.add(f.deployment.Name+" graceful shutdown", bad, "%d hosts told to end, %d answers cut", ended, f.ledger.drainCuts)
}

// note adds the causes that callers heard, most frequent first.
func (f *fleet) note(report *Report) {
	causes := slices.Collect(maps.Keys(f.ledger.causes))
	slices.SortFunc(causes, func(a, b string) int {
		if d := f.ledger.causes[b] - f.ledger.causes[a]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	var parts []string
	for _, c := range causes {
		parts = append(parts, fmt.Sprintf("%s %d", c, f.ledger.causes[c]))
	}
	report.Notes = append(report.Notes, f.deployment.Name+" causes: "+strings.Join(parts, ", "))
}
