package directory

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// lapseGrace is how long after the store's return an entry that lapsed while
// it was away may still come back. The platform promises about two seconds.
const lapseGrace = 2300 * time.Millisecond

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
		if _, waiting := d.doubtful[id]; !waiting {
			d.doubtful[id] = d.troubleAt.Add(lapseGrace)
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
	var gone []instance.ID
	for id, until := range d.doubtful {
		if now.After(until) {
			gone = append(gone, id)
			delete(d.doubtful, id)
		}
	}
	asOf := d.asOf
	d.mu.Unlock()
	for _, id := range gone {
		if e, known := d.config.Instances.Lookup(id); known {
			d.config.Instances.Remove(id, max(asOf, e.Revision+1))
		}
	}
}
