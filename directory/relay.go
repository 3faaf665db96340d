package directory

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/routing"
)

// In a large fleet only a few hosts, the watchers, watch the store and the
// others follow them, because the store counts each call and its rate limits
// grow more slowly than the fleet. A host whose watcher is silent or stale
// calls the store itself once, and then follows another watcher if there is
// one.

const followMethod link.Method = "directory.Follow"

const (
	// maxSmallFleet is the number of hosts up to which all of them watch the
	// store.
	maxSmallFleet = 16
	// minWatchers is enough to survive the loss of a few hosts;
	// hostsPerWatcher bounds the hosts that follow one watcher on average.
	minWatchers     = 4
	hostsPerWatcher = 40
)

// Fractions of Config.MaxPropagationDelay. A watcher that has lost the store
// without noticing is detected within maxAgeFraction, one that falls silent
// within the sum of followFraction and answerFraction.
const (
	followFraction = 0.33 // wait of one call to a watcher, or of a watcher's call to the store
	answerFraction = 0.12 // network time of a call and its answer
	maxAgeFraction = 0.6  // age of the store's last confirmation to a watcher
	batchFraction  = 0.2  // pause after changes, so that followers get them in one answer
)

// fractionOfMaxDelay returns a fraction of Config.MaxPropagationDelay.
func (d *Directory) fractionOfMaxDelay(fraction float64) time.Duration {
	return time.Duration(fraction * float64(d.config.MaxPropagationDelay))
}

// watchers returns the hosts that watch the store, ordered by rank in a large
// fleet. All hosts with the same view of the fleet compute the same watchers.
func watchers(members []host.Member) []host.Info {
	var alive []host.Info
	for _, m := range members {
		if m.State == host.Alive {
			alive = append(alive, m.Info)
		}
	}
	if len(alive) <= maxSmallFleet {
		return alive
	}
	rank := make(map[host.ID]uint64, len(alive))
	for _, h := range alive {
		rank[h.ID] = xxh3.HashString("watcher\x00" + h.LinkAddr.String())
	}
	slices.SortFunc(alive, func(a, b host.Info) int { return cmp.Compare(rank[a.ID], rank[b.ID]) })
	return alive[:minWatchers+len(alive)/hostsPerWatcher]
}

// chooseWatcher returns the watcher that this host follows, or false if this
// host must watch the store itself.
func (d *Directory) chooseWatcher(now time.Time) (chosen host.Info, found bool) {
	self := d.config.Fleet.Self().ID
	best := uint64(0)
	for _, w := range watchers(d.config.Fleet.Members()) {
		if w.ID == self {
			return host.Info{}, false
		}
		if d.avoidedWatchers.Has(w.ID, now) {
			continue
		}
		if rank := xxh3.HashString(string(self) + "\x00" + string(w.ID)); !found || rank > best {
			chosen, best, found = w, rank, true
		}
	}
	return chosen, found
}

// isWatcher reports whether this host is one of those that watch the store.
func (d *Directory) isWatcher() bool {
	self := d.config.Fleet.Self().ID
	return slices.ContainsFunc(watchers(d.config.Fleet.Members()), func(w host.Info) bool { return w.ID == self })
}

// isLarge reports whether the fleet is large enough for hosts to follow
// watchers.
func (d *Directory) isLarge() bool { return len(d.config.Fleet.Members()) > maxSmallFleet }

// watchWait is how long one watch of the store waits for changes.
func (d *Directory) watchWait() time.Duration {
	if d.isLarge() {
		return d.fractionOfMaxDelay(followFraction)
	}
	return smallFleetWatchWait
}

// followRequest describes what the requesting host has.
type followRequest struct {
	AsOf    int64           `cbor:"1,keyasint"`
	Version routing.Version `cbor:"2,keyasint"`
	// Wait is how long the answering host may wait for a change.
	Wait time.Duration `cbor:"3,keyasint"`
	// Era is the era of AsOf. It is nil from hosts of the build before, which
	// know no eras.
	Era *int64 `cbor:"4,keyasint,omitempty"`
}

// position returns what the requesting host has. If the request states no era,
// that is the answering host's one.
func (r followRequest) position(era int64) infra.Position {
	if r.Era != nil {
		era = *r.Era
	}
	return infra.Position{Era: era, Revision: r.AsOf}
}

// followAnswer holds the changes that the requesting host lacks.
type followAnswer struct {
	AsOf           int64            `cbor:"1,keyasint"`
	Config         []byte           `cbor:"2,keyasint"`
	ConfigRevision int64            `cbor:"3,keyasint"`
	Entries        []instance.Entry `cbor:"4,keyasint"`
	// Complete means that Entries are all entries, because some of the changes
	// since AsOf are no longer recorded.
	Complete bool               `cbor:"5,keyasint"`
	Removals []instance.Removal `cbor:"6,keyasint"`
	Hosts    []hostEntry        `cbor:"7,keyasint"`
	// Age is the time since the store last confirmed that there were no
	// further changes.
	Age time.Duration `cbor:"8,keyasint"`
	// Expiries are the pending removals of upstreams whose entries expired
	// during an outage.
	Expiries map[instance.ID]wireExpiry `cbor:"9,keyasint"`
	// Era is the era of AsOf.
	Era int64 `cbor:"10,keyasint,omitempty"`
	// Evacuations are all evacuations in effect. It is nil from hosts of the build before,
	// which know none.
	Evacuations []wireEvacuation `cbor:"11,keyasint"`
	// evacuationsChanged is true if an evacuation has begun or ended since AsOf of the
	// request.
	evacuationsChanged bool
}

func (a *followAnswer) position() infra.Position {
	return infra.Position{Era: a.Era, Revision: a.AsOf}
}

// wireExpiry is an expiry as sent between hosts. Left is the time until the
// removal.
type wireExpiry struct {
	Left     time.Duration `cbor:"1,keyasint"`
	Revision int64         `cbor:"2,keyasint"`
	Era      int64         `cbor:"3,keyasint,omitempty"`
}

// serveFollow answers a host that follows this one, as soon as there is a
// change, the requested wait is over or this host's own data becomes stale. A
// host that is in a later era is answered at once, since it must look elsewhere.
func (d *Directory) serveFollow(ctx context.Context, request followRequest) (followAnswer, error) {
	timeout := time.NewTimer(request.Wait)
	defer timeout.Stop()
	d.mu.Lock()
	changed := d.changed
	position := request.position(d.asOf.Era)
	behind, ahead := d.asOf.After(position), position.Era > d.asOf.Era
	stale := time.NewTimer(time.Until(d.confirmedAt.Add(d.fractionOfMaxDelay(maxAgeFraction))))
	d.mu.Unlock()
	defer stale.Stop()
	if answer := d.changesSince(request); ahead || behind && !answer.isEmpty() {
		return d.countSent(answer), nil
	}
	select {
	case <-changed:
	case <-timeout.C:
	case <-stale.C:
	case <-ctx.Done():
		return followAnswer{}, Error.Wrap(ctx.Err())
	}
	return d.countSent(d.changesSince(request)), nil
}

// countSent counts what is sent to another host.
func (d *Directory) countSent(answer followAnswer) followAnswer {
	d.relayMetrics.sentConfigBytes.Add(float64(len(answer.Config)))
	return answer
}

// changesSince returns what the requesting host lacks.
func (d *Directory) changesSince(request followRequest) followAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	since := request.position(d.asOf.Era)
	answer := followAnswer{Era: d.asOf.Era, AsOf: d.asOf.Revision, Age: now.Sub(d.confirmedAt), Expiries: make(map[instance.ID]wireExpiry)}
	for id, pending := range d.expiries {
		answer.Expiries[id] = wireExpiry{Left: pending.removeAt.Sub(now), Era: pending.position.Era, Revision: pending.position.Revision}
	}
	if current := d.routes.Load(); current != nil && current.Version() > request.Version {
		answer.Config, answer.ConfigRevision = d.rawConfig, d.configRevision
	}
	for _, h := range d.hosts {
		if h.position().After(since) {
			answer.Hosts = append(answer.Hosts, h)
		}
	}
	answer.Evacuations, answer.evacuationsChanged = d.evacuations.inEffect(), d.evacuations.changedSince(since)
	var recorded bool
	if answer.Entries, answer.Removals, recorded = d.config.Instances.ChangesSince(since); !recorded || since.Era < d.asOf.Era {
		answer.Entries, answer.Complete = d.config.Instances.Entries(), true
	}
	return answer
}

func (a *followAnswer) isEmpty() bool {
	return len(a.Config) == 0 && len(a.Entries) == 0 && len(a.Removals) == 0 && len(a.Hosts) == 0 && !a.evacuationsChanged
}

// followWatcher makes one call to a watcher and applies the answer. It returns
// false if the watcher failed or is stale; the watcher is then avoided for a
// while.
func (d *Directory) followWatcher(ctx context.Context, watcher host.Info) (ok bool) {
	wait := d.fractionOfMaxDelay(followFraction)
	answer, err := d.askPeer(ctx, watcher.LinkAddr, wait, wait+d.fractionOfMaxDelay(answerFraction))
	d.awaitLastStatesForAnswer(ctx, answer)
	reason, text := "", ""
	switch {
	case ctx.Err() != nil:
		return true
	case err != nil:
		reason, text = watcherSilent, err.Error()
	case answer.Age >= d.fractionOfMaxDelay(maxAgeFraction):
		reason, text = watcherStale, "out of touch with the store"
	case !d.applyAnswer(answer):
		reason, text = watcherOldEra, "in a former era of the store"
	default:
		return true
	}
	d.avoidedWatchers.Add(watcher.ID, time.Now())
	d.relayMetrics.avoidedWatchers.WithLabelValues(reason).Inc()
	d.config.Logger.Warn("store watcher avoided", "watcher", string(watcher.ID), "as_of", d.Revision(),
		"watcher_era", answer.Era, "watcher_as_of", answer.AsOf, "age_ms", answer.Age.Milliseconds(), "reason", text)
	return false
}

// askPeer asks another host for what this one lacks. The answer may wait for a
// change.
func (d *Directory) askPeer(ctx context.Context, peer netip.AddrPort, wait, timeout time.Duration) (followAnswer, error) {
	at := d.position()
	request := followRequest{Era: &at.Era, AsOf: at.Revision, Wait: wait}
	if current := d.routes.Load(); current != nil {
		request.Version = current.Version()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return link.CallIdempotent[followRequest, followAnswer](ctx, d.config.Caller, peer, followMethod, request)
}

// applyAnswer applies another host's answer. It returns false if that host is in
// a former era of the store: only its configuration is applied then, because
// configurations are ordered by their versions.
func (d *Directory) applyAnswer(answer followAnswer) bool {
	d.applying.Lock()
	defer d.applying.Unlock()
	if len(answer.Config) > 0 {
		d.applyConfig(answer.Config, answer.ConfigRevision)
	}
	now := time.Now()
	asOf := answer.position()
	before := d.position()
	if asOf.Era > before.Era && !answer.Complete {
		return false
	}
	rose, current := d.enterEra(asOf, "host", now)
	if !current {
		return false
	}
	answer.evacuationsChanged = d.applyRelayedEvacuations(answer, now)
	if answer.Complete && asOf.After(before) {
		d.replaceUpstreams(answer.Entries, asOf, rose, now)
		d.config.Instances.MarkGap(now)
	}
	for _, r := range answer.Removals {
		d.config.Instances.Remove(r.ID, r.Position())
	}
	for _, e := range answer.Entries {
		d.config.Instances.Put(e)
	}
	d.mu.Lock()
	for _, e := range answer.Entries {
		delete(d.expiries, e.ID)
	}
	for id, pending := range answer.Expiries {
		if _, waiting := d.expiries[id]; !waiting {
			position := infra.Position{Era: pending.Era, Revision: pending.Revision}
			d.expiries[id] = expiry{removeAt: now.Add(pending.Left), position: position}
		}
	}
	for _, h := range answer.Hosts {
		d.putHost(h)
	}
	d.mu.Unlock()
	d.reportUnknownEvacuations()
	d.advancePosition(asOf, now.Add(-answer.Age))
	if !answer.isEmpty() {
		d.wakeFollowers()
	}
	if len(answer.Hosts) > 0 {
		d.hostsChanged()
	}
	return true
}

// replaceUpstreams applies another host's complete list of upstreams. If the
// store's era rose, those that the list lacks get the time to register again.
// The caller holds applying.
func (d *Directory) replaceUpstreams(entries []instance.Entry, asOf infra.Position, rose bool, now time.Time) {
	if !rose {
		d.config.Instances.Replace(entries, asOf)
		return
	}
	listed := make(map[instance.ID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		d.config.Instances.Put(e)
	}
	d.removeUnlisted(listed, asOf, now)
}
