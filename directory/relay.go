package directory

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/routing"
)

// In a large fleet few hosts watch the store and the others follow them, since
// the store counts each call and its rates grow more slowly than the fleet. A
// host whose watcher is silent or out of touch asks the store itself.

const followMethod link.Method = "directory.Follow"

const (
	// smallFleet is up to how many hosts all watch the store.
	smallFleet = 16
	// leastWatchers outlast the loss of a few hosts; hostsPerWatcher bounds the
	// hosts that follow one.
	leastWatchers   = 4
	hostsPerWatcher = 40
)

// Parts of the time within which a change must be in force. A watcher that
// loses the store unnoticed is found out within maxAgeShare of it, one that
// falls silent within followShare and answerShare together.
const (
	followShare = 0.33 // one call to a watcher, or to the store by a watcher
	answerShare = 0.12 // for the way of a call and its answer
	maxAgeShare = 0.6  // age of a watcher's last word of the store
	gatherShare = 0.2  // changes that come together reach the followers together
)

func (d *Directory) share(part float64) time.Duration {
	return time.Duration(part * float64(d.config.ChangesWithin))
}

// watchers returns the hosts that watch the store for a fleet, by rank. All
// hosts that see the same members name the same ones.
func watchers(members []host.Member) []host.Info {
	var alive []host.Info
	for _, m := range members {
		if m.State == host.Alive {
			alive = append(alive, m.Info)
		}
	}
	if len(alive) <= smallFleet {
		return alive
	}
	rank := make(map[host.ID]uint64, len(alive))
	for _, h := range alive {
		rank[h.ID] = xxh3.HashString("watcher\x00" + string(h.ID))
	}
	slices.SortFunc(alive, func(a, b host.Info) int { return cmp.Compare(rank[a.ID], rank[b.ID]) })
	return alive[:leastWatchers+len(alive)/hostsPerWatcher]
}

// watcher returns the host that this one follows; none when it is to watch the
// store itself.
func (d *Directory) watcher(now time.Time) (chosen host.Info, found bool) {
	self := d.config.Fleet.Self().ID
	best := uint64(0)
	for _, w := range watchers(d.config.Fleet.Members()) {
		if w.ID == self {
			return host.Info{}, false
		}
		if d.passedOver.Has(w.ID, now) {
			continue
		}
		if rank := xxh3.HashString(string(self) + "\x00" + string(w.ID)); !found || rank > best {
			chosen, best, found = w, rank, true
		}
	}
	return chosen, found
}

// isLarge says whether the fleet is one in which hosts follow watchers.
func (d *Directory) isLarge() bool { return len(d.config.Fleet.Members()) > smallFleet }

// watchWait is how long a watch of the store waits for changes.
func (d *Directory) watchWait() time.Duration {
	if d.isLarge() {
		return d.share(followShare)
	}
	return smallWatchWait
}

// followRequest says what the asking host has.
type followRequest struct {
	AsOf    int64           `cbor:"1,keyasint"`
	Version routing.Version `cbor:"2,keyasint"`
	// Wait is how long the answer may wait for a change.
	Wait time.Duration `cbor:"3,keyasint"`
}

// followAnswer is what changed since.
type followAnswer struct {
	AsOf     int64            `cbor:"1,keyasint"`
	Config   []byte           `cbor:"2,keyasint"`
	ConfigAt int64            `cbor:"3,keyasint"`
	Entries  []instance.Entry `cbor:"4,keyasint"`
	// Whole says that Entries are all there are, since some of the changes are
	// forgotten.
	Whole    bool               `cbor:"5,keyasint"`
	Removals []instance.Removal `cbor:"6,keyasint"`
	Hosts    []hostEntry        `cbor:"7,keyasint"`
	// Age is the time since the store last said that nothing else had changed.
	Age time.Duration `cbor:"8,keyasint"`
	// Lapsed are the upstreams whose entries lapsed in an outage.
	Lapsed map[instance.ID]lapsedEntry `cbor:"9,keyasint"`
}

// lapsedEntry is an entry that lapsed, and how long it may take to come back.
type lapsedEntry struct {
	Left     time.Duration `cbor:"1,keyasint"`
	Revision int64         `cbor:"2,keyasint"`
}

// serveFollow answers a host that follows this one, when something changed or
// it has waited for long enough.
func (d *Directory) serveFollow(ctx context.Context, q followRequest) (followAnswer, error) {
	end := time.NewTimer(q.Wait)
	defer end.Stop()
	d.mu.Lock()
	changed := d.changed
	behind := q.AsOf < d.asOf
	outOfTouch := time.NewTimer(time.Until(d.freshAt.Add(d.share(maxAgeShare))))
	d.mu.Unlock()
	defer outOfTouch.Stop()
	if a := d.since(q); behind && !a.isEmpty() {
		return a, nil
	}
	select {
	case <-changed:
	case <-end.C:
	case <-outOfTouch.C:
	case <-ctx.Done():
		return followAnswer{}, Error.Wrap(ctx.Err())
	}
	return d.since(q), nil
}

// since collects what the asking host lacks.
func (d *Directory) since(q followRequest) followAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	a := followAnswer{AsOf: d.asOf, Age: now.Sub(d.freshAt), Lapsed: make(map[instance.ID]lapsedEntry)}
	for id, l := range d.lapsed {
		a.Lapsed[id] = lapsedEntry{Left: l.until.Sub(now), Revision: l.revision}
	}
	if current := d.routes.Load(); current != nil && current.Version() > q.Version {
		a.Config, a.ConfigAt = d.rawConfig, d.configAt
	}
	for _, h := range d.hosts {
		if h.Revision > q.AsOf {
			a.Hosts = append(a.Hosts, h)
		}
	}
	var known bool
	if a.Entries, a.Removals, known = d.config.Instances.Since(q.AsOf); !known {
		a.Entries, a.Whole = d.config.Instances.Entries(), true
	}
	return a
}

func (a *followAnswer) isEmpty() bool {
	return len(a.Config) == 0 && len(a.Entries) == 0 && len(a.Removals) == 0 && len(a.Hosts) == 0
}

// follow asks a watcher once and takes in what it says. ok is false when the
// watcher is not to be relied on.
func (d *Directory) follow(ctx context.Context, w host.Info) (ok bool) {
	wait := d.share(followShare)
	a, err := d.ask(ctx, w.LinkAddr, wait, wait+d.share(answerShare))
	reason := ""
	switch {
	case ctx.Err() != nil:
		return true
	case err != nil:
		reason = err.Error()
	case a.Age >= d.share(maxAgeShare):
		reason = "out of touch with the store"
	default:
		d.takeIn(a)
		return true
	}
	d.passedOver.Add(w.ID, time.Now())
	d.config.Logger.Warn("watcher of the store passed over", "watcher", string(w.ID), "as_of", d.AsOf(),
		"watcher_as_of", a.AsOf, "age_ms", a.Age.Milliseconds(), "reason", reason)
	return false
}

// ask asks another host for what this one lacks, and lets it wait for a change.
func (d *Directory) ask(ctx context.Context, peer netip.AddrPort, wait, timeout time.Duration) (followAnswer, error) {
	q := followRequest{AsOf: d.AsOf(), Wait: wait}
	if current := d.routes.Load(); current != nil {
		q.Version = current.Version()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return link.CallRepeatable[followRequest, followAnswer](ctx, d.config.Caller, peer, followMethod, q)
}

// takeIn applies what another host said.
func (d *Directory) takeIn(a followAnswer) {
	if len(a.Config) > 0 {
		d.applyConfig(a.Config, a.ConfigAt)
	}
	if a.Whole && a.AsOf > d.AsOf() {
		d.config.Instances.Replace(a.Entries, a.AsOf)
	}
	for _, r := range a.Removals {
		d.config.Instances.Remove(r.ID, r.Revision)
	}
	for _, e := range a.Entries {
		d.config.Instances.Put(e)
	}
	now := time.Now()
	d.mu.Lock()
	for _, e := range a.Entries {
		delete(d.lapsed, e.ID)
	}
	for id, l := range a.Lapsed {
		if _, waiting := d.lapsed[id]; !waiting {
			d.lapsed[id] = lapse{until: now.Add(l.Left), revision: l.Revision}
		}
	}
	for _, h := range a.Hosts {
		d.putHost(h)
	}
	d.mu.Unlock()
	d.advance(a.AsOf, now.Add(-a.Age))
	if !a.isEmpty() {
		d.announce()
	}
}
