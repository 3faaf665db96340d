package instance

import (
	"net/netip"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// Kinds of changes of a whole data centre. Of the change's entry, only the data centre is
// set.
const (
	KindEvacuated = "evacuated"
	KindRestored  = "restored"
)

// SetEvacuated records that the operators evacuate a data centre, or no longer do. Its
// upstreams get no new work meanwhile, also those that register later.
func (t *Table) SetEvacuated(dc host.DataCentre, evacuated bool, now time.Time) {
	t.mu.Lock()
	if t.evacuated[dc] == evacuated {
		t.mu.Unlock()
		return
	}
	change := Change{Entry: Entry{DataCentre: dc}, Kind: KindEvacuated, Source: SourceEntry}
	if evacuated {
		t.evacuated[dc] = true
	} else {
		change.Kind = KindRestored
		delete(t.evacuated, dc)
		t.markDataCentreCold(dc, now)
	}
	for _, i := range t.byID {
		if i.DataCentre == dc {
			change.Upstreams++
			change.InFlight += i.inFlight
		}
	}
	t.mu.Unlock()
	t.changed(change)
}

// IsEvacuated reports whether a data centre is evacuated.
func (t *Table) IsEvacuated(dc host.DataCentre) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuated[dc]
}

// DataCentres returns the data centres that have upstreams or are evacuated, and whether
// they are evacuated.
func (t *Table) DataCentres() map[host.DataCentre]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[host.DataCentre]bool)
	for _, i := range t.byID {
		all[i.DataCentre] = false
	}
	for dc := range t.evacuated {
		all[dc] = true
	}
	return all
}

// mayGetWork reports whether hosts may send an upstream new work, unless it has asked them
// for a pause or is at its limit. The caller holds mu.
func (t *Table) mayGetWork(i *Instance) bool { return t.exclusionByAll(i) == "" }

// IsCallEvacuated reports whether a call to a process goes to an evacuated data centre, also
// if the process is no longer listed. The upstream with the address is meant if p has no ID.
func (t *Table) IsCallEvacuated(p Process, addr netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.evacuated) == 0 {
		return false
	}
	if i := t.byID[p.ID]; i != nil {
		return t.evacuated[i.DataCentre]
	}
	if p.ID != "" {
		return t.evacuated[t.tombstones[p.ID].last.DataCentre]
	}
	for _, i := range t.byID {
		if i.Addr == addr {
			return t.evacuated[i.DataCentre]
		}
	}
	return false
}

// IsServiceEvacuated reports whether a data centre is evacuated and no upstream of a service
// with a software version, "" for any, may get new work. It does not matter whether the
// upstreams in evacuated data centres are still listed: operators may stop them.
func (t *Table) IsServiceEvacuated(name, version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.evacuated) == 0 {
		return false
	}
	for _, i := range t.byService[name] {
		if t.mayGetWork(i) && i.HasVersion(version) {
			return false
		}
	}
	return true
}
