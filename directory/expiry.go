package directory

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// expiryGrace is how long after the last failed store call an expired entry is
// kept, so that its upstream can register again. The platform promises that
// this takes about two seconds.
const expiryGrace = 2300 * time.Millisecond

// expiry is the pending removal of an upstream whose entry expired during an
// outage.
type expiry struct {
	removeAt time.Time // when the upstream is removed
	revision int64     // of the expired entry; a newer entry means that the upstream is back
}

// removeUpstream removes an upstream. If its entry may have expired only
// because the store was unreachable, the upstream is kept for expiryGrace to
// register again.
func (d *Directory) removeUpstream(id instance.ID, revision int64, now time.Time) {
	entry, known := d.config.Instances.Lookup(id)
	if !known {
		d.config.Instances.Remove(id, revision)
		return
	}
	d.mu.Lock()
	duringOutage := !d.storeFailedAt.IsZero() && now.Sub(d.storeFailedAt) < expiryGrace
	if duringOutage && !entry.Leaving {
		if _, waiting := d.expiries[id]; !waiting {
			d.expiries[id] = expiry{removeAt: d.storeFailedAt.Add(expiryGrace), revision: entry.Revision}
		}
		d.mu.Unlock()
		d.config.Logger.Info("upstream entry expired during a store outage", "upstream", string(id),
			"revision", revision, "outage_age_ms", now.Sub(d.storeFailedAt).Milliseconds())
		return
	}
	d.mu.Unlock()
	d.config.Instances.Remove(id, revision)
}

// removeExpired removes the upstreams that did not register again in time.
func (d *Directory) removeExpired(now time.Time) {
	d.mu.Lock()
	due := make(map[instance.ID]expiry)
	for id, pending := range d.expiries {
		if now.After(pending.removeAt) {
			due[id] = pending
			delete(d.expiries, id)
		}
	}
	asOf := d.asOf
	d.mu.Unlock()
	for id, pending := range due {
		if e, known := d.config.Instances.Lookup(id); known && e.Revision <= pending.revision {
			d.config.Instances.Remove(id, max(asOf, e.Revision+1))
		}
	}
}
