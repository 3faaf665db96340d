// Package directory keeps a copy of the platform's store on every host: the
// operators' configuration, the upstreams and the other hosts. It follows the
// store, or other hosts while the store is unreachable. An entry is never
// replaced by an older version. Positions in the store order versions: its era,
// and its revision within the era.
package directory

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/routing"
)

// Error is the class of every error this package returns.
var Error = errs.Class("directory")

// HostPrefix is the prefix of the store's keys for hosts.
const HostPrefix = "hosts/"

// Item is one key of the store with its value, or the key's removal.
type Item struct {
	Key      string
	Value    []byte
	Era      int64 // of the store's answer
	Revision int64
	Removed  bool
	// Omitted is about the size in bytes of a value that was too large to be held. Value is empty then.
	Omitted int
}

func (i Item) position() infra.Position { return infra.Position{Era: i.Era, Revision: i.Revision} }

// Source reads the platform's store.
type Source interface {
	// Read returns all items and the position that they reflect. ErrUnreadable means that there
	// are too many.
	Read(ctx context.Context) ([]Item, infra.Position, error)
	// Changes waits for changes after a position, in the same era. It returns
	// them and the position from which to continue. ErrHistoryGone means that
	// Read is needed again, also because the store's era rose, as does ErrUnreadable. ErrWatchCut means that
	// the store closed the connection before the wait was over. It calls onArrival at most once,
	// with the first byte of the answer.
	Changes(ctx context.Context, after infra.Position, wait time.Duration, onArrival func()) ([]Item, infra.Position, error)
	// UpstreamChanges is Changes for upstreams only. Other changes, such as a large
	// configuration, are not sent.
	UpstreamChanges(ctx context.Context, after infra.Position, wait time.Duration) ([]Item, infra.Position, error)
	// ReadConfig reads the operators' configuration. found is false if there is none.
	ReadConfig(ctx context.Context) (config Item, found bool, err error)
	// Reconnect makes later calls on connections that are opened after it. Calls that wait are
	// not ended.
	Reconnect()
}

// ErrHistoryGone means that the store no longer holds the requested changes.
var ErrHistoryGone = errs.New("history gone")

// ErrUnreadable means that what the store has answered can't be read or held. The same call
// would get the same answer. After Changes, Read is needed.
var ErrUnreadable = errs.New("answer of the store can't be read")

// ErrWatchCut means that the store ended a waiting call without an answer, as it may at
// any time. It is no sign of an outage.
var ErrWatchCut = errs.New("watch cut")

// Format decodes the store's keys and values.
type Format interface {
	// ConfigKey is the key of the operators' configuration.
	ConfigKey() string
	DecodeConfig(raw []byte) (routing.Config, error)
	// UpstreamID returns the upstream's ID in a key, or false if the key is
	// not an upstream's.
	UpstreamID(key string) (instance.ID, bool)
	DecodeUpstream(id instance.ID, raw []byte) (instance.Entry, error)
	// EvacuatedDataCentre returns the data centre that a key evacuates, or false if it
	// evacuates none.
	EvacuatedDataCentre(key string) (host.DataCentre, bool)
}

// Config configures a Directory.
type Config struct {
	Source    Source
	Format    Format
	Instances *instance.Table
	Fleet     host.View
	Gossip    member.Gossip
	Caller    link.Caller
	// MaxPropagationDelay is the time within which every host must have applied
	// a change.
	MaxPropagationDelay time.Duration
	// LinkMegabits is the bandwidth of this host's link in Mbit/s; 0 if it is unknown.
	LinkMegabits float64
	// HeartbeatInterval is about how often each upstream writes its entry, and EntryTTL how
	// long after the last write the store removes it. If both are 0, a removal after any
	// failed call may be due to an outage.
	HeartbeatInterval time.Duration
	EntryTTL          time.Duration
	Logger            *slog.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	// OnConfig is called with each configuration after it was applied.
	OnConfig func(*routing.Table)
	// OnHosts is called after entries of hosts changed; nil ignores that. It must return
	// at once.
	OnHosts func()
	// OnItem is called with each item that is neither the configuration, the entry of an
	// upstream or a host, nor an evacuation; nil ignores them. It must return at once.
	OnItem func(Item)
}

// Directory is a host's copy of the store. It is safe for concurrent use.
type Directory struct {
	config Config
	routes atomic.Pointer[routing.Table]
	// applying serializes the application of changes from the store and from other
	// hosts, so that none of a former era is applied. It is locked before mu, and not held
	// while a configuration is decoded, except for that of a complete read.
	applying sync.Mutex
	// putting serializes the replacement of the configuration in force. It is locked after
	// applying and before mu.
	putting sync.Mutex

	mu             sync.Mutex // guards the fields down to changed; locked before the instance table's mutex
	rawConfig      []byte
	configRevision int64          // the store's revision of rawConfig
	asOf           infra.Position // changes up to this position are applied
	// upstreamsAsOf is the position up to which changes of upstreams are applied, if it is later
	// than asOf.
	upstreamsAsOf infra.Position
	announced     announcement
	uplink        uplink
	spread        spread
	// formerFollowerAt is when a host of the build before last followed this one.
	formerFollowerAt time.Time
	hosts            map[string]hostEntry
	evacuations      evacuations
	expiries         map[instance.ID]expiry // upstreams whose entries expired during an outage
	outages          outageTracker
	eraRoseAt        time.Time      // when the host noticed that the store had come back from a copy
	heard            infra.Position // the newest position that another host announced
	heardFrom        host.ID
	published        infra.Position
	// confirmedAt is when the store last confirmed, here or to the host that
	// this one follows, that there were no further changes.
	confirmedAt time.Time
	receiving   int // answers of the store with changes that are arriving
	// askedAtStart is true once the inquiry for last states of a start has begun, and informed
	// once it has ended.
	askedAtStart, informed bool
	// changed is closed and replaced after changes were applied.
	changed chan struct{}

	avoidedWatchers ownership.Avoided // watchers that did not answer or had stale data
	eraMetrics      eraMetrics
	cutWatches      prometheus.Counter
	overdueAnswers  prometheus.Counter
	relayMetrics    relayMetrics
	// unknownEvacuations counts evacuations of data centres that are not known.
	unknownEvacuations prometheus.Counter

	packingMu sync.Mutex // guards packed and copyArrived; locked before mu
	// packed is the newest configuration that was sent or received, nil if there is none.
	packed *packedConfig
	// copyArrived is closed and replaced when there is a newer configuration to send.
	copyArrived chan struct{}
	// announcements tells followConfigurations that another host has a newer configuration.
	announcements chan struct{}

	// wake tells followPeers that another host has a newer position.
	wake chan struct{}

	confirmer confirmer

	background     sync.WaitGroup // runs inquiries for last states and calls beside others
	lastStateCalls *prometheus.CounterVec
}

// hostEntry is a host's entry in the store, or its removal. It is also sent
// between hosts.
type hostEntry struct {
	Key      string    `cbor:"1,keyasint"`
	Info     host.Info `cbor:"2,keyasint"`
	Revision int64     `cbor:"3,keyasint"`
	Removed  bool      `cbor:"4,keyasint"`
	Era      int64     `cbor:"5,keyasint,omitempty"`
}

func (h hostEntry) position() infra.Position {
	return infra.Position{Era: h.Era, Revision: h.Revision}
}

// New returns an empty directory and registers its handler for other hosts.
func New(config Config, registrar link.Registrar) *Directory {
	d := &Directory{
		config:         config,
		hosts:          make(map[string]hostEntry),
		evacuations:    make(evacuations),
		expiries:       make(map[instance.ID]expiry),
		outages:        newOutageTracker(config.HeartbeatInterval, config.EntryTTL),
		changed:        make(chan struct{}),
		wake:           make(chan struct{}, 1),
		announcements:  make(chan struct{}, 1),
		copyArrived:    make(chan struct{}),
		uplink:         newUplink(config.LinkMegabits),
		confirmer:      newConfirmer(),
		eraMetrics:     newEraMetrics(config.Registerer),
		cutWatches:     newCutWatchCounter(config.Registerer),
		overdueAnswers: newOverdueCounter(config.Registerer),
		relayMetrics:   newRelayMetrics(config.Registerer),

		unknownEvacuations: newUnknownEvacuationCounter(config.Registerer),
		lastStateCalls:     newLastStateCalls(config.Registerer),
	}
	registerAge(config.Registerer, d.Age)
	config.Gossip.Subscribe(revisionTopic, d.handleRevision)
	link.HandleTyped(registrar, followMethod, d.serveFollow)
	link.HandleTyped(registrar, configurationMethod, d.serveConfiguration)
	link.HandleTyped(registrar, lastStatesMethod, d.serveLastStates)
	return d
}

// Routes returns the configuration in force, or nil if there is none yet.
func (d *Directory) Routes() *routing.Table { return d.routes.Load() }

// AwaitRoutes returns the configuration in force. While the first read of the store is in
// progress it waits for that, until ctx ends. It returns nil if there is none.
func (d *Directory) AwaitRoutes(ctx context.Context) *routing.Table {
	for {
		d.mu.Lock()
		changed, reading := d.changed, d.asOf == (infra.Position{}) && d.outages.failedAt.IsZero()
		d.mu.Unlock()
		if table := d.Routes(); table != nil || !reading {
			return table
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return d.Routes()
		}
	}
}

// Revision returns the store's revision up to which changes are applied.
func (d *Directory) Revision() int64 { return d.position().Revision }

// position returns the store's position up to which changes are applied.
func (d *Directory) position() infra.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf
}

// Age returns the time since the store last confirmed that this host lacked no changes, to
// this host or to the one that it follows; 0 before the first read.
func (d *Directory) Age(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.confirmedAt.IsZero() {
		return 0
	}
	return now.Sub(d.confirmedAt)
}

// upstreamsPosition returns the store's position up to which changes of upstreams are applied.
func (d *Directory) upstreamsPosition() infra.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return laterOf(d.asOf, d.upstreamsAsOf)
}

// List returns the hosts that have an entry in the store, the newest for each address:
// a process that ended without notice has one until its lease ends.
func (d *Directory) List(context.Context) ([]infra.Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := make(map[netip.AddrPort]hostEntry, len(d.hosts))
	for _, h := range d.hosts {
		if other, twice := newest[h.Info.LinkAddr]; !h.Removed && (!twice || h.position().After(other.position())) {
			newest[h.Info.LinkAddr] = h
		}
	}
	all := make([]infra.Listing, 0, len(newest))
	for _, h := range newest {
		all = append(all, infra.Listing{Addr: h.Info.LinkAddr, Place: h.Info.Place, Info: h.Info})
	}
	return all, nil
}

// applySnapshot applies a complete read of the store. Entries that it lacks
// are removed. A read of a former era is dropped.
func (d *Directory) applySnapshot(items []Item, asOf infra.Position, now time.Time) {
	d.applying.Lock()
	defer d.applying.Unlock()
	if _, current := d.enterEra(asOf, "store", now); !current {
		return
	}
	d.replaceEvacuations(d.evacuationsOf(items), asOf, now) // before upstreams that are added could get work
	listedUpstreams := make(map[instance.ID]bool)
	listedKeys := make(map[string]bool)
	for _, item := range items {
		if id, ok := d.config.Format.UpstreamID(item.Key); ok {
			listedUpstreams[id] = true
		}
		listedKeys[item.Key] = true
		d.apply(item, now)
	}
	config, hasConfig := d.newestConfig(items)
	d.removeUnlisted(listedUpstreams, asOf, now)
	d.config.Instances.MarkGap(asOf, now)
	d.mu.Lock()
	for key, h := range d.hosts {
		if !listedKeys[key] && !h.Removed && asOf.After(h.position()) {
			d.hosts[key] = hostEntry{Key: key, Era: asOf.Era, Revision: asOf.Revision, Removed: true}
		}
	}
	d.mu.Unlock()
	d.reportUnknownEvacuations()
	if hasConfig { // before the position tells that everything is applied
		d.applyConfig(config.Value, config.Revision)
	}
	d.advancePosition(asOf, now)
	d.wakeFollowers()
	d.hostsChanged()
}

func (d *Directory) hostsChanged() {
	if d.config.OnHosts != nil {
		d.config.OnHosts()
	}
}

// removeUnlisted removes the upstreams that a complete listing lacks, as
// removeUpstream does. The caller holds applying.
func (d *Directory) removeUnlisted(listed map[instance.ID]bool, asOf infra.Position, now time.Time) {
	for _, e := range d.config.Instances.Entries() {
		if !listed[e.ID] && asOf.After(e.Position()) {
			d.removeUpstream(e.ID, asOf, now)
		}
	}
}

// applyChanges applies changes up to a position. It returns false, and applies
// none, if they are of another era than what they would be applied to. Other changes do not wait
// until a configuration among them is decoded.
func (d *Directory) applyChanges(items []Item, asOf infra.Position, now time.Time) bool {
	config, hasConfig := d.newestConfig(items)
	if !hasConfig {
		return d.applyItems(items, asOf, asOf, now)
	}
	if !d.applyItems(items, asOf, infra.Position{}, now) {
		return false
	}
	d.applyConfig(config.Value, config.Revision)
	return d.applyItems(nil, asOf, asOf, now)
}

// applyItems applies changes other than of the configuration. upstreamsAsOf is the position up to
// which changes of upstreams are complete with them, and asOf that for all changes if it is not
// zero. It returns false, and applies nothing, if they are of another era.
func (d *Directory) applyItems(items []Item, upstreamsAsOf, asOf infra.Position, now time.Time) bool {
	d.applying.Lock()
	defer d.applying.Unlock()
	if upstreamsAsOf.Era != d.position().Era {
		return false
	}
	for _, item := range items {
		d.apply(item, now)
	}
	d.reportUnknownEvacuations()
	d.advanceUpstreams(upstreamsAsOf)
	if asOf != (infra.Position{}) {
		d.advancePosition(asOf, now)
	}
	if len(items) > 0 {
		d.wakeFollowers()
	}
	if slices.ContainsFunc(items, func(i Item) bool { return isHostKey(i.Key) }) {
		d.hostsChanged()
	}
	return true
}

// newestConfig returns the last configuration among changes in order, or in a listing.
func (d *Directory) newestConfig(items []Item) (config Item, found bool) {
	for _, item := range slices.Backward(items) {
		if item.Key == d.config.Format.ConfigKey() && !item.Removed {
			return item, true
		}
	}
	return Item{}, false
}

// apply applies one item, unless it is the configuration.
func (d *Directory) apply(item Item, now time.Time) {
	if id, ok := d.config.Format.UpstreamID(item.Key); ok {
		d.applyUpstream(id, item, now)
		return
	}
	if dc, ok := d.config.Format.EvacuatedDataCentre(item.Key); ok {
		d.applyEvacuation(dc, item, now)
		return
	}
	switch {
	case item.Key == d.config.Format.ConfigKey():
	case isHostKey(item.Key):
		d.applyHost(item)
	case d.config.OnItem != nil:
		d.config.OnItem(item)
	}
}

// applyUpstream applies an upstream's entry. An entry that can't be decoded
// removes the upstream.
func (d *Directory) applyUpstream(id instance.ID, item Item, now time.Time) {
	if item.Removed {
		d.removeUpstream(id, item.position(), now)
		return
	}
	entry, err := d.config.Format.DecodeUpstream(id, item.Value)
	if item.Omitted > 0 {
		err = Error.New("value of about %d bytes is too large for an entry", item.Omitted)
	}
	if err != nil {
		d.config.Logger.Warn("upstream entry ignored", "upstream", string(id), "revision", item.Revision, "error", err.Error())
		d.config.Instances.Discard(id, item.position())
		return
	}
	entry.Era, entry.Revision = item.Era, item.Revision
	d.mu.Lock()
	delete(d.expiries, id)
	d.mu.Unlock()
	d.config.Instances.Put(entry)
}

// applyConfig applies a configuration unless the one in force has the same or
// a later version. It returns its version, and false if it is not valid.
func (d *Directory) applyConfig(raw []byte, revision int64) (version routing.Version, valid bool) {
	if current, same := d.inForce(raw); same {
		return current, true
	}
	started := time.Now()
	decoded, err := d.config.Format.DecodeConfig(raw)
	if err != nil {
		d.config.Logger.Error("configuration ignored", "revision", revision, "error", err.Error())
		return 0, false
	}
	table, err := routing.NewTable(decoded)
	if err != nil {
		d.config.Logger.Error("configuration ignored", "version", uint64(decoded.Version), "revision", revision, "error", err.Error())
		return 0, false
	}
	decodeTime := time.Since(started)
	d.putting.Lock()
	defer d.putting.Unlock()
	d.mu.Lock()
	current := d.routes.Load()
	newer := current == nil || table.Version() > current.Version()
	if newer {
		d.rawConfig, d.configRevision = raw, revision
		d.routes.Store(table)
	}
	d.mu.Unlock()
	if newer {
		d.config.Logger.Info("configuration in force", "version", uint64(table.Version()), "revision", revision,
			"routes", len(decoded.Routes), "services", len(decoded.Services), "workspaces", len(decoded.Workspaces),
			"bytes", len(raw), "decode_ms", decodeTime.Milliseconds())
		for _, route := range table.InvalidRoutes() {
			d.config.Logger.Error("route can't be served", "route", route.Name, "version", uint64(table.Version()), "error", route.Err.Error())
		}
		d.config.OnConfig(table)
		d.wakeFollowers()
		d.packingMu.Lock()
		d.signalCopy()
		d.packingMu.Unlock()
	}
	return table.Version(), true
}

// inForce returns the version of the configuration in force if raw is that one.
func (d *Directory) inForce(raw []byte) (version routing.Version, same bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.routes.Load()
	if current == nil || !bytes.Equal(raw, d.rawConfig) {
		return 0, false
	}
	return current.Version(), true
}

func isHostKey(key string) bool {
	return len(key) > len(HostPrefix) && strings.HasPrefix(key, HostPrefix)
}

// applyHost applies the entry of a host.
func (d *Directory) applyHost(item Item) {
	entry := hostEntry{Key: item.Key, Era: item.Era, Revision: item.Revision, Removed: item.Removed}
	if !item.Removed {
		if err := cbor.Unmarshal(item.Value, &entry.Info); err != nil || !entry.Info.LinkAddr.IsValid() {
			d.config.Logger.Warn("host entry ignored", "key", item.Key, "revision", item.Revision)
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putHost(entry)
}

// maxHostEntries is the number of host entries above which recorded removals
// are dropped, and then new entries are ignored.
const maxHostEntries = 16_384

// putHost stores a host's entry unless a newer one is known, or there are too many. The
// caller holds mu.
func (d *Directory) putHost(entry hostEntry) {
	old, known := d.hosts[entry.Key]
	if known && !entry.position().After(old.position()) {
		return
	}
	if !known && len(d.hosts) >= maxHostEntries {
		maps.DeleteFunc(d.hosts, func(_ string, h hostEntry) bool { return h.Removed })
		if len(d.hosts) >= maxHostEntries {
			return
		}
	}
	d.hosts[entry.Key] = entry
}

// advancePosition records the position up to which changes are applied, and
// when the store confirmed that there were no others.
func (d *Directory) advancePosition(asOf infra.Position, confirmedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asOf.After(d.asOf) {
		d.asOf = asOf
	}
	if confirmedAt.After(d.confirmedAt) {
		d.confirmedAt = confirmedAt
		d.outages.reached(confirmedAt)
	}
}

// advanceUpstreams records the position up to which changes of upstreams are applied.
func (d *Directory) advanceUpstreams(asOf infra.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if asOf.Era == d.asOf.Era && asOf.After(d.upstreamsAsOf) {
		d.upstreamsAsOf = asOf
	}
}

// wakeFollowers wakes the calls of hosts that wait for changes.
func (d *Directory) wakeFollowers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}
