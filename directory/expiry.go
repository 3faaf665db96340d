package directory

import (
	"time"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// expiryGrace is how long after the last failed store call of an outage an expired
// entry is kept, so that its upstream can register again. The platform promises that
// this takes about two seconds.
const expiryGrace = 2300 * time.Millisecond

// expiry is the pending removal of an upstream whose entry expired during an
// outage.
type expiry struct {
	removeAt time.Time // when the upstream is removed
	// position is that of the expired entry. A newer entry means that the
	// upstream is back.
	position infra.Position
}

// outageEnd returns when entries of living upstreams may last have been lost: in an
// outage, or when the store came back from a copy. The caller holds mu.
func (d *Directory) outageEnd() time.Time {
	if d.eraRoseAt.After(d.outages.endedAt) {
		return d.eraRoseAt
	}
	return d.outages.endedAt
}

// removeUpstream removes an upstream. If its entry may be missing only because
// the store was unreachable or came back from a copy, the upstream is kept for
// expiryGrace to register again.
func (d *Directory) removeUpstream(id instance.ID, at infra.Position, now time.Time) {
	entry, known := d.config.Instances.Lookup(id)
	if !known {
		d.config.Instances.Remove(id, at)
		return
	}
	d.mu.Lock()
	outageEnd := d.outageEnd()
	duringOutage := !outageEnd.IsZero() && now.Sub(outageEnd) < expiryGrace
	if duringOutage && !entry.Leaving {
		if _, waiting := d.expiries[id]; !waiting {
			d.expiries[id] = expiry{removeAt: outageEnd.Add(expiryGrace), position: entry.Position()}
		}
		d.mu.Unlock()
		d.config.Logger.Info("upstream entry expired during a store outage", "upstream", string(id),
			"era", at.Era, "revision", at.Revision, "outage_age_ms", now.Sub(outageEnd).Milliseconds())
		return
	}
	d.mu.Unlock()
	d.config.Instances.Remove(id, at)
}

// removeExpired removes the upstreams that did not register again in time.
func (d *Directory) removeExpired(now time.Time) {
	d.applying.Lock()
	defer d.applying.Unlock()
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
		if e, known := d.config.Instances.Lookup(id); known && !e.Position().After(pending.position) {
			d.config.Instances.Remove(id, laterOf(asOf, infra.Position{Era: e.Era, Revision: e.Revision + 1}))
		}
	}
}

// laterOf returns the later of two positions.
func laterOf(a, b infra.Position) infra.Position {
	if b.After(a) {
		return b
	}
	return a
}
