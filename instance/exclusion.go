package instance

import "time"

// The reasons for which an upstream gets no new work.
const (
	ExcludedLeaving   = "leaving"
	ExcludedEvacuated = KindEvacuated
	ExcludedPaused    = "paused"   // it has asked this host for a pause
	ExcludedReported  = "reported" // it has asked another host for a pause
	ExcludedLimited   = "limited"  // it is at its limit for this host
	ExcludedVersion   = "version"  // its software version is not the required one
)

// Exclusion is an upstream that gets no new work of this host, and the reason.
type Exclusion struct {
	Status
	Reason string
	// Until is the end of a pause, otherwise zero.
	Until time.Time
}

// exclusionByAll returns why all hosts must not send an upstream new work; "" if they may. The
// caller holds mu.
func (t *Table) exclusionByAll(i *Instance) string {
	switch {
	case i.isLeaving():
		return ExcludedLeaving
	case t.evacuated[i.DataCentre]:
		return ExcludedEvacuated
	}
	return ""
}

// exclusion returns why this host must not send an upstream new work; "" if it may. The caller
// holds mu and passes the result of heededReports.
func (t *Table) exclusion(i *Instance, heeded map[string]bool, now time.Time) string {
	reason := t.exclusionByAll(i)
	switch {
	case reason != "":
		return reason
	case now.Before(i.pausedUntil):
		return ExcludedPaused
	case i.isPaused(now):
		return ExcludedLimited
	case heeded[i.Version] && i.isReported(now):
		return ExcludedReported
	}
	return ""
}

// Exclusions returns the upstreams of a service that are not in Service, or lack a software
// version that is required, ordered by ID.
func (t *Table) Exclusions(name, version string, now time.Time) (all []Exclusion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	heeded := t.heededReports(name, now)
	for _, i := range t.byService[name] {
		reason, until := t.exclusion(i, heeded, now), time.Time{}
		switch {
		case reason == "" && i.HasVersion(version):
			continue
		case reason == "":
			reason = ExcludedVersion
		case reason == ExcludedPaused || reason == ExcludedLimited:
			until = i.backAt()
		case reason == ExcludedReported:
			until = i.reportedUntil
		}
		all = append(all, Exclusion{Status: Status{Entry: i.Entry}, Reason: reason, Until: until})
	}
	return all
}

// MayGetCall reports whether a call to a process may be sent: not if it is leaving or was removed
// since it was chosen. A process that was never listed may get calls.
func (t *Table) MayGetCall(p Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.byID[p.ID]; i != nil {
		return !i.isLeaving()
	}
	_, removed := t.tombstones[p.ID]
	return !removed
}
