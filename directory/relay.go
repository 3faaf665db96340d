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
	"github.com/galenaseam/galenaseam/ownership"
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
	// maxReceivingAgeFraction is maxAgeFraction for a watcher that is receiving changes: on links
	// that are as slow, other hosts don't get them any earlier.
	maxReceivingAgeFraction = 1
	batchFraction           = 0.2 // pause after changes, so that followers get them in one answer
)

// fractionOfMaxDelay returns a fraction of Config.MaxPropagationDelay.
func (d *Directory) fractionOfMaxDelay(fraction float64) time.Duration {
	return time.Duration(fraction * float64(d.config.MaxPropagationDelay))
}

// watchers returns the hosts that watch the store, ordered by rank in a large fleet: hosts
// that are strong enough to work for others, as far as there are any. All hosts with the same
// view of the fleet compute the same watchers.
func watchers(members []host.Member) []host.Info {
	var alive []host.Info
	strongest := 0.0
	for _, m := range members {
		if m.State == host.Alive {
			alive = append(alive, m.Info)
			strongest = max(strongest, m.Capacity)
		}
	}
	if len(alive) <= maxSmallFleet {
		return alive
	}
	isWeak := make(map[host.ID]int, len(alive)) // 1 for weak hosts
	rank := make(map[host.ID]uint64, len(alive))
	for _, h := range alive {
		if h.Capacity < ownership.MinCapacityFraction*strongest {
			isWeak[h.ID] = 1
		}
		rank[h.ID] = xxh3.HashString("watcher\x00" + h.LinkAddr.String())
	}
	slices.SortFunc(alive, func(a, b host.Info) int {
		return cmp.Or(cmp.Compare(isWeak[a.ID], isWeak[b.ID]), cmp.Compare(rank[a.ID], rank[b.ID]))
	})
	return alive[:minWatchers+len(alive)/hostsPerWatcher]
}

// formerFollowerMemory is how long after a call of a follower of the build before a host
// watches the store itself. Hosts of that build choose other watchers, which would otherwise
// follow hosts that follow them.
const formerFollowerMemory = 5 * time.Second

// chooseWatcher returns the watcher that this host follows, or false if this
// host must watch the store itself.
func (d *Directory) chooseWatcher(now time.Time) (chosen host.Info, found bool) {
	if d.hasFormerFollowers(now) {
		return host.Info{}, false
	}
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

// hasFormerFollowers reports whether hosts of the build before follow this one.
func (d *Directory) hasFormerFollowers(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.formerFollowerAt.IsZero() && now.Sub(d.formerFollowerAt) < formerFollowerMemory
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
	AsOf int64 `cbor:"1,keyasint"`
	// Version is the newest configuration that the requesting host knows of; without Apart, the
	// one in force there.
	Version routing.Version `cbor:"2,keyasint"`
	// Wait is how long the answering host may wait for a change.
	Wait time.Duration `cbor:"3,keyasint"`
	// Era is the era of AsOf. It is nil from hosts of the build before, which
	// know no eras.
	Era *int64 `cbor:"4,keyasint,omitempty"`
	// Apart means that the requesting host fetches configurations by calls of their own. It is
	// false from hosts of the build before, which are sent them in the answer.
	Apart bool `cbor:"5,keyasint,omitempty"`
	// UpstreamsAsOf is the revision up to which changes of upstreams are applied, in the same era,
	// if it is later than AsOf. It is 0 from hosts of the build before.
	UpstreamsAsOf int64 `cbor:"6,keyasint,omitempty"`
}

// position returns what the requesting host has. If the request states no era,
// that is the answering host's one.
func (r followRequest) position(era int64) infra.Position {
	if r.Era != nil {
		era = *r.Era
	}
	return infra.Position{Era: era, Revision: r.AsOf}
}

// upstreamsPosition returns the position up to which the requesting host has changes of
// upstreams.
func (r followRequest) upstreamsPosition(era int64) infra.Position {
	position := r.position(era)
	position.Revision = max(position.Revision, r.UpstreamsAsOf)
	return position
}

// followAnswer holds the changes that the requesting host lacks.
type followAnswer struct {
	AsOf int64 `cbor:"1,keyasint"`
	// Config is the configuration, for requests without Apart. It is not sent together with
	// other changes.
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
	// ConfigVersion is the version in force at the answering host. It is 0 from hosts of the
	// build before, which send Config.
	ConfigVersion routing.Version `cbor:"12,keyasint,omitempty"`
	// UpstreamsAsOf is the revision up to which Entries and Removals are complete, if it is later
	// than AsOf. It is 0 from hosts of the build before.
	UpstreamsAsOf int64 `cbor:"13,keyasint,omitempty"`
	// Receiving means that the answering host is receiving changes from the store, which may take
	// long on its link. It is false from hosts of the build before.
	Receiving bool `cbor:"14,keyasint,omitempty"`
	// evacuationsChanged is true if an evacuation has begun or ended since AsOf of the
	// request.
	evacuationsChanged bool
	// announces is true if ConfigVersion is new to the requesting host.
	announces bool
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
	now := time.Now()
	d.mu.Lock()
	if !request.Apart && request.Wait > 0 {
		d.formerFollowerAt = now
	}
	changed := d.changed
	position, upstreams := request.position(d.asOf.Era), request.upstreamsPosition(d.asOf.Era)
	behind := d.asOf.After(position) || d.upstreamsAsOf.After(upstreams)
	ahead := position.Era > d.asOf.Era
	staleIn := d.confirmedAt.Add(d.maxAge(d.receiving > 0)).Sub(now)
	d.mu.Unlock()
	answer, configIn := d.changesSince(request)
	wait := min(request.Wait, staleIn)
	if configIn > 0 {
		wait = min(wait, configIn)
	}
	if ahead || behind && !answer.isEmpty() || len(answer.Config) > 0 || answer.announces || wait <= 0 {
		return d.countSent(answer), nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return followAnswer{}, Error.Wrap(ctx.Err())
	}
	answer, _ = d.changesSince(request)
	return d.countSent(answer), nil
}

// countSent counts what is sent to another host.
func (d *Directory) countSent(answer followAnswer) followAnswer {
	d.relayMetrics.sentConfigBytes.Add(float64(len(answer.Config)))
	return answer
}

// maxAge returns the age of the store's last confirmation from which on a watcher is stale.
func (d *Directory) maxAge(receiving bool) time.Duration {
	if receiving {
		return d.fractionOfMaxDelay(maxReceivingAgeFraction)
	}
	return d.fractionOfMaxDelay(maxAgeFraction)
}

// changesSince returns what the requesting host lacks. A host that does not fetch configurations
// apart gets one with an answer that holds nothing else; configIn is the time until then if this
// host's link is busy with others.
func (d *Directory) changesSince(request followRequest) (answer followAnswer, configIn time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	since, upstreamsSince := request.position(d.asOf.Era), request.upstreamsPosition(d.asOf.Era)
	answer = followAnswer{Era: d.asOf.Era, AsOf: d.asOf.Revision, Age: now.Sub(d.confirmedAt), Receiving: d.receiving > 0, Expiries: make(map[instance.ID]wireExpiry)}
	if d.upstreamsAsOf.After(d.asOf) {
		answer.UpstreamsAsOf = d.upstreamsAsOf.Revision
	}
	for id, pending := range d.expiries {
		answer.Expiries[id] = wireExpiry{Left: pending.removeAt.Sub(now), Era: pending.position.Era, Revision: pending.position.Revision}
	}
	for _, h := range d.hosts {
		if h.position().After(since) {
			answer.Hosts = append(answer.Hosts, h)
		}
	}
	answer.Evacuations, answer.evacuationsChanged = d.evacuations.inEffect(), d.evacuations.changedSince(since)
	var recorded bool
	if answer.Entries, answer.Removals, recorded = d.config.Instances.ChangesSince(upstreamsSince); !recorded || since.Era < d.asOf.Era {
		answer.Entries, answer.Complete = d.config.Instances.Entries(), true
	}
	current := d.routes.Load()
	if current == nil {
		return answer, 0
	}
	answer.ConfigVersion = current.Version()
	isNewer := current.Version() > request.Version
	answer.announces = isNewer && request.Apart
	if isNewer && !request.Apart && answer.isEmpty() {
		if configIn = d.uplink.reserve(len(d.rawConfig), now); configIn == 0 {
			answer.Config, answer.ConfigRevision = d.rawConfig, d.configRevision
		}
	}
	return answer, configIn
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
	case answer.Age >= d.maxAge(answer.Receiving):
		reason, text = watcherStale, "out of touch with the store"
	case !d.applyAnswer(answer, watcher.LinkAddr):
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
	d.mu.Lock()
	at := d.asOf
	request := followRequest{Era: &at.Era, AsOf: at.Revision, Wait: wait, Apart: true, Version: d.announced.version}
	if d.upstreamsAsOf.After(at) {
		request.UpstreamsAsOf = d.upstreamsAsOf.Revision
	}
	d.mu.Unlock()
	if current := d.routes.Load(); current != nil {
		request.Version = max(request.Version, current.Version())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return link.CallIdempotent[followRequest, followAnswer](ctx, d.config.Caller, peer, followMethod, request)
}

// applyAnswer applies another host's answer. It returns false if that host is in
// a former era of the store: only its configuration is applied then, because
// configurations are ordered by their versions.
func (d *Directory) applyAnswer(answer followAnswer, from netip.AddrPort) bool {
	current := d.applyRelayedChanges(answer)
	if len(answer.Config) > 0 {
		d.applyConfig(answer.Config, answer.ConfigRevision)
	}
	d.announce(answer.ConfigVersion, from)
	return current
}

// applyRelayedChanges applies another host's answer, apart from the configuration. It returns
// false, and applies nothing, if that host is in a former era of the store.
func (d *Directory) applyRelayedChanges(answer followAnswer) bool {
	d.applying.Lock()
	defer d.applying.Unlock()
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
	upstreamsAsOf := infra.Position{Era: asOf.Era, Revision: max(asOf.Revision, answer.UpstreamsAsOf)}
	if answer.Complete && upstreamsAsOf.After(d.upstreamsPosition()) {
		d.replaceUpstreams(answer.Entries, upstreamsAsOf, rose, now)
		d.config.Instances.MarkGap(upstreamsAsOf, now)
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
	d.advanceUpstreams(upstreamsAsOf)
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
