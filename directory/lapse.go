package directory

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// lapseGrace is how long after the store's return an entry that lapsed while
// it was away may still come back. The platform promises about two seconds.
const lapseGrace = 2300 * time.Millisecond

// lapse is an upstream whose entry lapsed in an outage.
type lapse struct {
	until    time.Time // when it counts as gone
	revision int64     // of the entry that lapsed; a newer one is the upstream's return
}

// lose takes an upstream out. An entry that may have lapsed only because the
// store was away is kept until its upstream has had the time to come back.
func (d *Directory) lose(id instance.ID, revision int64, now time.Time) {
	entry, known := d.config.Instances.Lookup(id)
	if !known {
		d.config.Instances.Remove(id, revision)
		return
	}
	d.mu.Lock()
	inOutage := !d.troubleAt.IsZero() && now.Sub(d.troubleAt) < lapseGrace
	if inOutage && !entry.Leaving {
		if _, waiting := d.lapsed[id]; !waiting {
			d.lapsed[id] = lapse{until: d.troubleAt.Add(lapseGrace), revision: entry.Revision}
		}
		d.mu.Unlock()
		d.config.Logger.Info("upstream entry lapsed during an outage of the store", "upstream", string(id),
			"revision", revision, "outage_age_ms", now.Sub(d.troubleAt).Milliseconds())
		return
	}
	d.mu.Unlock()
	d.config.Instances.Remove(id, revision)
}

// dropLapsed takes out the upstreams that have not come back.
func (d *Directory) dropLapsed(now time.Time) {
	d.mu.Lock()
	gone := make(map[instance.ID]lapse)
	for id, l := range d.lapsed {
		if now.After(l.until) {
			gone[id] = l
			delete(d.lapsed, id)
		}
	}
	asOf := d.asOf
	d.mu.Unlock()
	for id, l := range gone {
		if e, known := d.config.Instances.Lookup(id); known && e.Revision <= l.revision {
			d.config.Instances.Remove(id, max(asOf, e.Revision+1))
		}
	}
}
