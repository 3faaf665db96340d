package drill

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// accountUpstreams checks what leaving and crashed upstreams saw.
func (f *fleet) accountUpstreams(report *Report, ran runs) {
	var late, lossy []string
	var longest time.Duration
	for _, u := range f.overview.Upstreams {
		after := time.Duration(u.Stats.WorkAfterLeaving) * time.Millisecond
		longest = max(longest, after)
		if n := f.unexcused(u.Stats.LateWork); n > 0 {
			late = append(late, fmt.Sprintf("%s of %s got work %d times too late, last %s after it began to leave", u.Name, u.Pool, n, after))
		}
	}
	crashes, most := 0, 0
	for _, mark := range slices.Sorted(maps.Keys(ran.crashes)) {
		n := ran.crashes[mark]
		crashes += n
		most = max(most, n)
		if n > maxLossPerRequest {
			lossy = append(lossy, fmt.Sprintf("%s crashed %d upstreams", mark, n))
		}
	}
	report.add(f.deployment.Name+" leaving", late, "last new work %s after leaving began", longest)
	report.add(f.deployment.Name+" crash-causing", lossy, "%d requests crashed %d upstreams, most by one %d", len(ran.crashes), crashes, most)
}

// accountStore checks the fleet's calls on the store while it was under load.
func (f *fleet) accountStore(report *Report) {
	seconds := f.loaded.Seconds()
	reads := float64(f.after.Reads-f.before.Reads) / seconds
	writes := float64(f.after.Writes+f.after.Leases-f.before.Writes-f.before.Leases) / seconds
	watches := float64(f.after.Watches-f.before.Watches) / seconds
	var over []string
	if writes > maxStoreWrites {
		over = append(over, fmt.Sprintf("%.0f writes a second", writes))
	}
	f.noteKeys(report)
	report.add(f.deployment.Name+" store calls", over, "a second: %.1f writes, %.1f reads, %.1f watches", writes, reads, watches)
}

// noteKeys adds which keys the store was asked for.
func (f *fleet) noteKeys(report *Report) {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(f.after.Keys)) {
		now, then := f.after.Keys[key], f.before.Keys[key]
		parts = append(parts, fmt.Sprintf("%s %d/%d", key, now.Reads-then.Reads, now.Writes-then.Writes))
	}
	report.Notes = append(report.Notes, f.deployment.Name+" store reads/writes by key: "+strings.Join(parts, ", "))
}

// unexcused counts the late work that did not come from a host which had just
// been paused.
func (f *fleet) unexcused(late []time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, at := range late {
		excused := slices.ContainsFunc(f.resumed, func(r time.Time) bool {
			return !at.Before(r) && at.Before(r.Add(resumeGrace))
		})
		if !excused {
			count++
		}
	}
	return count
}
