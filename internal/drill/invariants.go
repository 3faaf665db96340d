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

// The limits that the invariants check.
const (
	// maxRunsPerKey is how often a call with one idempotency key may run.
	maxRunsPerKey = 1
	// maxCrashesPerRequest is how many upstreams one request may crash.
	maxCrashesPerRequest = 3
	// resumeGrace is how long a host may still act on outdated knowledge after it
	// is resumed from a pause.
	resumeGrace = 1500 * time.Millisecond
	// convergenceTimeout is how long hosts may take to agree on the document after
	// the failures.
	convergenceTimeout = 15 * time.Second
	// maxStoreWrites limits a deployment's writes to the store, including leases,
	// in calls per second.
	maxStoreWrites = 300
	// goroutineSlack and memorySlack are how far a host's usage after the load may
	// exceed its idle usage.
	goroutineSlack = 30
	memorySlack    = 96 << 20
)

// executions is what the stand-ins report to have run, counted by idempotency
// key and by mark.
type executions struct {
	byKey  map[string]int
	byMark map[string]int
	// crashesByMark counts the upstreams that the request with each mark crashed.
	crashesByMark map[string]int
}

// checkInvariants waits until the hosts agree and checks every invariant.
func (r *run) checkInvariants(ctx context.Context) error {
	for _, f := range r.fleets {
		f.waitConverged(ctx)
	}
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	for _, f := range r.fleets {
		ran, err := f.readExecutions(ctx)
		if err != nil {
			return err
		}
		if err := f.readOverview(ctx); err != nil {
			return err
		}
		f.checkRequests(r.report, ran)
		f.checkUpstreams(r.report, ran)
		f.checkStoreCalls(r.report)
		f.checkConfiguration(ctx, r.report)
		f.checkLeaks(ctx, r.report)
		f.checkShutdown(r.report)
		f.addCauseNote(r.report)
	}
	return nil
}

// readExecutions reads from the stand-ins what ran.
func (f *fleet) readExecutions(ctx context.Context) (ran executions, err error) {
	if err := f.controlCall(ctx, http.MethodGet, "/executions", nil, &ran.byKey); err != nil {
		return executions{}, err
	}
	if err := f.controlCall(ctx, http.MethodGet, "/marks", nil, &ran.byMark); err != nil {
		return executions{}, err
	}
	err = f.controlCall(ctx, http.MethodGet, "/crashes", nil, &ran.crashesByMark)
	return ran, err
}

// checkRequests checks the invariants on requests.
func (f *fleet) checkRequests(report *Report, ran executions) {
	records := f.ledger.sortedRecords()
	var counts [confirmedNotRun + 1]int
	var defects, falselyNotRun, neverRan, ranRepeatedly []string
	keys, maxRuns := 0, 0
	for _, rec := range records {
		counts[rec.resolve()]++
		q := rec.request
		for _, w := range rec.defects {
			defects = append(defects, q.mark+": "+w)
		}
		if rec.resolve() == confirmedNotRun && ran.byMark[q.mark]+ran.byKey[q.key] > 0 {
			falselyNotRun = append(falselyNotRun, fmt.Sprintf("%s %s ran %d times", q.path, q.mark, ran.byMark[q.mark]))
		}
		if q.key == "" {
			continue
		}
		keys++
		maxRuns = max(maxRuns, ran.byKey[q.key])
		if ran.byKey[q.key] > maxRunsPerKey {
			ranRepeatedly = append(ranRepeatedly, fmt.Sprintf("%s ran %d times; heard %v", q.key, ran.byKey[q.key], rec.replyCounts))
		}
		if rec.replyCounts[complete] > 0 && ran.byKey[q.key] == 0 {
			neverRan = append(neverRan, q.key+" was answered and never ran")
		}
	}
	name := f.deployment.Name
	report.addInvariant(name+" own answer", defects, "%d replies, %d wrong, %d of another caller", f.ledger.replyCount, f.ledger.wrongAnswers, f.ledger.foreignAnswers)
	report.addInvariant(name+" accounted", nil, "%d requests: %d whole, %d failed after running, %d open, %d surely not run",
		len(records), counts[answered], counts[failedAfterRun], counts[outcomeUnknown], counts[confirmedNotRun])
	report.addInvariant(name+" not run is true", falselyNotRun, "%d requests, %d that ran", counts[confirmedNotRun], len(falselyNotRun))
	report.addInvariant(name+" at most once", ranRepeatedly, "%d keys, most runs %d", keys, maxRuns)
	report.addInvariant(name+" none lost", neverRan, "%d keys, %d answered and never run", keys, len(neverRan))
}

// waitConverged waits until all hosts have the newest accepted generation, at
// most for convergenceTimeout.
func (f *fleet) waitConverged(ctx context.Context) {
	started := time.Now()
	newest, _ := f.edits.newestAccepted()
	for time.Since(started) < convergenceTimeout {
		f.observe(ctx)
		f.convergence = time.Since(started)
		if f.converged = f.hostsAgree(newest); f.converged {
			return
		}
		if sleep.For(ctx, observeInterval) != nil {
			return
		}
	}
}

// hostsAgree reports whether all hosts are ready and have the same generation, at
// least newest.
func (f *fleet) hostsAgree(newest uint64) bool {
	hosts := f.currentHosts()
	first := hosts[0].generation.Load()
	for _, h := range hosts {
		if !h.ready.Load() || h.generation.Load() != first {
			return false
		}
	}
	return first >= newest
}

// checkConfiguration checks the invariants on the operators' document.
func (f *fleet) checkConfiguration(ctx context.Context, report *Report) {
	name := f.deployment.Name
	newest, count := f.edits.newestAccepted()
	var disagreeing []string
	if !f.converged {
		for _, h := range f.currentHosts() {
			disagreeing = append(disagreeing, fmt.Sprintf("%s has generation %d, ready %t", h.name, h.generation.Load(), h.ready.Load()))
		}
	}
	report.addInvariant(name+" converged", disagreeing, "newest generation %d in force on all hosts %s after the failures", newest, f.convergence.Round(time.Millisecond))
	var reversed []string
	if f.reversals.count > 0 {
		reversed = append(reversed, fmt.Sprintf("%d reversals", f.reversals.count))
	}
	report.addInvariant(name+" no reversal", reversed, "%d looks at hosts' generations, %d went back", f.reversals.observations, f.reversals.count)
	current, err := client.New(client.Config{BaseURL: "http://" + f.currentHosts()[0].operator, Timeout: callTimeout}).Config(ctx)
	var lost []string
	if err != nil {
		lost = []string{"the document can't be read: " + err.Error()}
	} else {
		lost = f.edits.findLost(current.Text)
	}
	report.addInvariant(name+" no edit lost", lost, "%d edits accepted, %d conflicts, %d refused, %d open, %d lost",
		count, f.edits.conflicts, f.edits.refused, f.edits.unknown, len(lost))
}

// checkLeaks compares the usage of each host that ran from the start with its
// idle usage.
func (f *fleet) checkLeaks(ctx context.Context, report *Report) {
	var leaks []string
	var maxGrowth usage
	var maxIdle int64
	compared := 0
	for _, h := range f.currentHosts() {
		if h.idle.goroutines == 0 {
			continue
		}
		compared++
		maxIdle = max(maxIdle, h.idle.memoryBytes)
		now := f.measureUsage(ctx, h)
		growth := usage{goroutines: now.goroutines - h.idle.goroutines, memoryBytes: now.memoryBytes - h.idle.memoryBytes}
		maxGrowth.goroutines = max(maxGrowth.goroutines, growth.goroutines)
		maxGrowth.memoryBytes = max(maxGrowth.memoryBytes, growth.memoryBytes)
		if growth.goroutines > goroutineSlack || growth.memoryBytes > memorySlack {
			leaks = append(leaks, fmt.Sprintf("%s: %d goroutines and %d MB more than idle", h.name, growth.goroutines, growth.memoryBytes>>20))
		}
	}
	report.addInvariant(f.deployment.Name+" no leak", leaks, "%d hosts lived through; idle at most %d MB, most growth %d goroutines, %d MB",
		compared, maxIdle>>20, maxGrowth.goroutines, maxGrowth.memoryBytes>>20)
}

// checkShutdown stops all current hosts gracefully and checks how every host
// that was not killed exited.
func (f *fleet) checkShutdown(report *Report) {
	hosts := f.currentHosts()
	for _, h := range hosts {
		h.draining.Store(true)
		h.signal(syscall.SIGTERM)
	}
	f.mu.Lock()
	all := append(hosts, f.replaced...)
	f.mu.Unlock()
	var breaches []string
	ended := 0
	for _, h := range all {
		err := h.waitOrKill(hostDrainTimeout + stopTimeout)
		if h.killed.Load() {
			continue
		}
		ended++
		if err != nil {
			breaches = append(breaches, fmt.Sprintf("%s ended with %v", h.name, err))
		}
	}
	if f.ledger.answersCutByDrain > 0 {
		breaches = append(breaches, fmt.Sprintf("%d answers were cut by hosts that were ending", f.ledger.answersCutByDrain))
	}
	report.addInvariant(f.deployment.Name+" graceful shutdown", breaches, "%d hosts told to end, %d answers cut", ended, f.ledger.answersCutByDrain)
}

// addCauseNote adds a note with the causes in the replies, most frequent first.
func (f *fleet) addCauseNote(report *Report) {
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
