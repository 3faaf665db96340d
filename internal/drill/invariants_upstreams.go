package drill

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// checkUpstreams checks when leaving upstreams got their last work, and how many
// upstreams each request crashed.
func (f *fleet) checkUpstreams(report *Report, ran executions) {
	var late, excessCrashes []string
	var latest time.Duration
	for _, u := range f.overview.Upstreams {
		after := time.Duration(u.Stats.WorkAfterLeaving) * time.Millisecond
		latest = max(latest, after)
		if n := f.countUnexcused(u.Stats.LateWork); n > 0 {
			late = append(late, fmt.Sprintf("%s of %s got work %d times too late, last %s after it began to leave", u.Name, u.Pool, n, after))
		}
	}
	crashes, maxCrashes := 0, 0
	for _, mark := range slices.Sorted(maps.Keys(ran.crashesByMark)) {
		n := ran.crashesByMark[mark]
		crashes += n
		maxCrashes = max(maxCrashes, n)
		if n > maxCrashesPerRequest {
			excessCrashes = append(excessCrashes, fmt.Sprintf("%s crashed %d upstreams", mark, n))
		}
	}
	report.addInvariant(f.deployment.Name+" leaving", late, "last new work %s after leaving began", latest)
	report.addInvariant(f.deployment.Name+" crash-causing", excessCrashes, "%d requests crashed %d upstreams, most by one %d", len(ran.crashesByMark), crashes, maxCrashes)
}

// checkStoreCalls checks the deployment's write rate on the store during the load.
func (f *fleet) checkStoreCalls(report *Report) {
	seconds := f.loadDuration.Seconds()
	reads := float64(f.storeAfter.Reads-f.storeBefore.Reads) / seconds
	writes := float64(f.storeAfter.Writes+f.storeAfter.Leases-f.storeBefore.Writes-f.storeBefore.Leases) / seconds
	watches := float64(f.storeAfter.Watches-f.storeBefore.Watches) / seconds
	var over []string
	if writes > maxStoreWrites {
		over = append(over, fmt.Sprintf("%.0f writes a second", writes))
	}
	f.addStoreKeyNote(report)
	report.addInvariant(f.deployment.Name+" store calls", over, "a second: %.1f writes, %.1f reads, %.1f watches", writes, reads, watches)
}

// addStoreKeyNote adds a note with the reads and writes of each store key.
func (f *fleet) addStoreKeyNote(report *Report) {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(f.storeAfter.Keys)) {
		now, then := f.storeAfter.Keys[key], f.storeBefore.Keys[key]
		parts = append(parts, fmt.Sprintf("%s %d/%d", key, now.Reads-then.Reads, now.Writes-then.Writes))
	}
	report.Notes = append(report.Notes, f.deployment.Name+" store reads/writes by key: "+strings.Join(parts, ", "))
}

// countUnexcused counts the late work that did not arrive within resumeGrace
// after a host was resumed from a pause.
func (f *fleet) countUnexcused(late []time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, at := range late {
		excused := slices.ContainsFunc(f.pauseEnds, func(r time.Time) bool {
			return !at.Before(r) && at.Before(r.Add(resumeGrace))
		})
		if !excused {
			count++
		}
	}
	return count
}
