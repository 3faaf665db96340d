package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
)

// Operators evacuate a data centre by a key in the store, and end the evacuation by removing
// the key. Each host keeps the newest record of each key. Other hosts are sent all
// evacuations in effect and not only changes: there are few, and a host that has missed one
// learns of it with the next answer of any other.

// evacuation is the newest record of a data centre's key in the store.
type evacuation struct {
	position infra.Position
	ended    bool
	checked  bool // whether the data centre is known was checked since the evacuation began
}

// wireEvacuation is an evacuation in effect, as sent between hosts.
type wireEvacuation struct {
	DataCentre host.DataCentre `cbor:"1,keyasint"`
	Revision   int64           `cbor:"2,keyasint"`
	Era        int64           `cbor:"3,keyasint,omitempty"`
}

// maxEvacuations is the number of records above which those of ended evacuations are
// dropped. It is far above the number of data centres, so only keys that name none reach it.
const maxEvacuations = 1024

// evacuations are the records of all data centres. They do no I/O. The directory's mutex
// guards them.
type evacuations map[host.DataCentre]evacuation

// put stores a record unless a newer one is known. It returns true if the evacuation has begun
// or ended by it.
func (e evacuations) put(dc host.DataCentre, position infra.Position, ended bool) (changed bool) {
	old, known := e[dc]
	if known && !position.After(old.position) {
		return false
	}
	if !known && len(e) >= maxEvacuations {
		maps.DeleteFunc(e, func(_ host.DataCentre, r evacuation) bool { return r.ended })
	}
	wasInEffect := known && !old.ended
	e[dc] = evacuation{position: position, ended: ended, checked: wasInEffect && old.checked}
	return wasInEffect == ended
}

// endUnlisted ends the evacuations that a complete listing as of a position lacks, unless
// they are newer. It returns them.
func (e evacuations) endUnlisted(listed map[host.DataCentre]bool, asOf infra.Position) (ended []host.DataCentre) {
	for dc, r := range e {
		if !listed[dc] && !r.ended && e.put(dc, asOf, true) {
			ended = append(ended, dc)
		}
	}
	return ended
}

// inEffect returns the evacuations in effect. It is never nil.
func (e evacuations) inEffect() []wireEvacuation {
	all := make([]wireEvacuation, 0, len(e))
	for dc, r := range e {
		if !r.ended {
			all = append(all, wireEvacuation{DataCentre: dc, Era: r.position.Era, Revision: r.position.Revision})
		}
	}
	return all
}

// changedSince reports whether there is a record later than a position.
func (e evacuations) changedSince(position infra.Position) bool {
	for _, r := range e {
		if r.position.After(position) {
			return true
		}
	}
	return false
}

// takeUnchecked returns the evacuations in effect that it has not returned before.
func (e evacuations) takeUnchecked() (all []host.DataCentre) {
	for dc, r := range e {
		if !r.ended && !r.checked {
			r.checked = true
			e[dc] = r
			all = append(all, dc)
		}
	}
	return all
}

// applyEvacuation applies the record of a data centre's key. The caller holds applying.
func (d *Directory) applyEvacuation(dc host.DataCentre, item Item, now time.Time) {
	d.mu.Lock()
	changed := d.evacuations.put(dc, item.position(), item.Removed)
	d.mu.Unlock()
	if changed {
		d.config.Instances.SetEvacuated(dc, !item.Removed, now)
	}
}

// replaceEvacuations applies a complete listing as of a position. It returns true if that
// changes anything. The caller holds applying.
func (d *Directory) replaceEvacuations(all []wireEvacuation, asOf infra.Position, now time.Time) (changed bool) {
	listed := make(map[host.DataCentre]bool, len(all))
	var begun []host.DataCentre
	d.mu.Lock()
	for _, e := range all {
		listed[e.DataCentre] = true
		if d.evacuations.put(e.DataCentre, infra.Position{Era: e.Era, Revision: e.Revision}, false) {
			begun = append(begun, e.DataCentre)
		}
	}
	ended := d.evacuations.endUnlisted(listed, asOf)
	d.mu.Unlock()
	for _, dc := range begun {
		d.config.Instances.SetEvacuated(dc, true, now)
	}
	for _, dc := range ended {
		d.config.Instances.SetEvacuated(dc, false, now)
	}
	return len(begun)+len(ended) > 0
}

// applyRelayedEvacuations applies the evacuations in another host's answer. It returns true if
// that changes anything. An answer older than what this host has applied is ignored: this host
// has no record of an evacuation that began and ended before it started, and would begin it
// again. The caller holds applying.
func (d *Directory) applyRelayedEvacuations(answer followAnswer, now time.Time) (changed bool) {
	return answer.Evacuations != nil && !d.position().After(answer.position()) && d.replaceEvacuations(answer.Evacuations, answer.position(), now)
}

// evacuationsOf returns the evacuations among items of the store.
func (d *Directory) evacuationsOf(items []Item) (all []wireEvacuation) {
	for _, item := range items {
		if dc, is := d.config.Format.EvacuatedDataCentre(item.Key); is && !item.Removed {
			all = append(all, wireEvacuation{DataCentre: dc, Era: item.Era, Revision: item.Revision})
		}
	}
	return all
}

// reportUnknownEvacuations logs and counts new evacuations of data centres that have neither
// upstreams nor hosts: their names may be wrong. They hold for upstreams that register there
// later.
func (d *Directory) reportUnknownEvacuations() {
	d.mu.Lock()
	unchecked := d.evacuations.takeUnchecked()
	d.mu.Unlock()
	if len(unchecked) == 0 {
		return
	}
	known := make(map[host.DataCentre]bool)
	for _, e := range d.config.Instances.Entries() {
		known[e.DataCentre] = true
	}
	for _, m := range d.config.Fleet.Members() {
		known[m.Place.DataCentre] = true
	}
	for _, dc := range unchecked {
		if !known[dc] {
			d.unknownEvacuations.Inc()
			d.config.Logger.Warn("evacuated data centre is unknown", "data_centre", string(dc), "known", slices.Sorted(maps.Keys(known)))
		}
	}
}

func newUnknownEvacuationCounter(registerer prometheus.Registerer) prometheus.Counter {
	return promauto.With(registerer).NewCounter(prometheus.CounterOpts{
		Name: "seam_evacuations_of_unknown_data_centres_total", Help: "Evacuations of data centres that had neither upstreams nor hosts when this host learnt of them.",
	})
}
