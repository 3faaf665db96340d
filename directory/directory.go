// Package directory keeps on every host what the platform's store says: the
// operators' configuration, the upstreams and the other hosts. It follows the
// store, and other hosts while the store is out of reach. What it holds never
// goes back to an older version.
package directory

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
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

// HostPrefix is the store's prefix of the hosts' own entries.
const HostPrefix = "hosts/"

// Item is a key of the store with its value, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Source is the platform's store as the directory uses it.
type Source interface {
	// Read returns every item and the revision up to which nothing is missing.
	Read(ctx context.Context) ([]Item, int64, error)
	// Changes waits for changes after a revision and returns them with the
	// revision to go on from. ErrHistoryGone asks for another Read.
	Changes(ctx context.Context, after int64, wait time.Duration) ([]Item, int64, error)
}

// ErrHistoryGone says that the store has forgotten the changes asked for.
var ErrHistoryGone = errs.New("history gone")

// Format decodes what lies in the store.
type Format interface {
	// ConfigKey is the key of the operators' configuration.
	ConfigKey() string
	DecodeConfig(raw []byte) (routing.Config, error)
	// UpstreamID returns the ID in an upstream's key, or false for other keys.
	UpstreamID(key string) (instance.ID, bool)
	DecodeUpstream(id instance.ID, raw []byte) (instance.Entry, error)
}

// Config is what a Directory is made of.
type Config struct {
	Source    Source
	Format    Format
	Instances *instance.Table
	Fleet     host.View
	Gossip    member.Gossip
	Caller    link.Caller
	// ChangesWithin is the time within which a change must be in force.
	ChangesWithin time.Duration
	Logger        *slog.Logger
	// Adopted is called with each configuration that comes into force.
	Adopted func(*routing.Table)
}

// Directory follows the store. It is safe for concurrent use.
type Directory struct {
	config Config
	routes atomic.Pointer[routing.Table]

	mu        sync.Mutex // guards what follows; taken before the instance table's
	rawConfig []byte
	configAt  int64 // the store's revision of the configuration
	asOf      int64 // changes up to here are applied
	hosts     map[string]hostEntry
	lapsed    map[instance.ID]lapse // entries that lapsed in an outage
	troubleAt time.Time             // the last failed call to the store
	heard     int64                 // the newest revision that another host told of
	heardFrom host.ID
	published int64
	// freshAt is when the store last said, here or to the host that this one
	// follows, that nothing else had changed.
	freshAt time.Time
	// changed is closed and replaced when changes were applied.
	changed chan struct{}

	passedOver ownership.Avoided // watchers that did not answer

	wake chan struct{}
}

// hostEntry is a host's entry in the store, or its removal.
type hostEntry struct {
	Key      string    `cbor:"1,keyasint"`
	Info     host.Info `cbor:"2,keyasint"`
	Revision int64     `cbor:"3,keyasint"`
	Gone     bool      `cbor:"4,keyasint"`
}

// New makes an empty directory and serves other hosts on the registrar.
func New(config Config, registrar link.Registrar) *Directory {
	d := &Directory{
		config:  config,
		hosts:   make(map[string]hostEntry),
		lapsed:  make(map[instance.ID]lapse),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
	config.Gossip.Subscribe(revisionTopic, d.hear)
	link.HandleTyped(registrar, followMethod, d.serveFollow)
	return d
}

// Routes returns the configuration in force, or nil when none is known.
func (d *Directory) Routes() *routing.Table { return d.routes.Load() }

// AsOf returns the store's revision up to which changes are applied.
func (d *Directory) AsOf() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf
}

// List returns the hosts that registered themselves.
func (d *Directory) List(context.Context) ([]infra.Listing, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []infra.Listing
	for _, h := range d.hosts {
		if !h.Gone {
			all = append(all, infra.Listing{Addr: h.Info.LinkAddr, Place: h.Info.Place})
		}
	}
	return all, nil
}

// applyAll takes in a whole reading.
func (d *Directory) applyAll(items []Item, asOf int64, now time.Time) {
	listed := make(map[instance.ID]bool)
	hosts := make(map[string]bool)
	for _, item := range items {
		if id, ok := d.config.Format.UpstreamID(item.Key); ok {
			listed[id] = true
		}
		hosts[item.Key] = true
		d.apply(item, now)
	}
	for _, e := range d.config.Instances.Entries() {
		if !listed[e.ID] && e.Revision <= asOf {
			d.lose(e.ID, asOf+1, now)
		}
	}
	d.mu.Lock()
	for key, h := range d.hosts {
		if !hosts[key] && !h.Gone && h.Revision <= asOf {
			d.hosts[key] = hostEntry{Key: key, Revision: asOf + 1, Gone: true}
		}
	}
	d.mu.Unlock()
	d.advance(asOf, now)
	d.announce()
}

// apply takes in one item.
func (d *Directory) apply(item Item, now time.Time) {
	if id, ok := d.config.Format.UpstreamID(item.Key); ok {
		d.applyUpstream(id, item, now)
		return
	}
	switch {
	case item.Key == d.config.Format.ConfigKey():
		if !item.Removed {
			d.applyConfig(item.Value, item.Revision)
		}
	case len(item.Key) > len(HostPrefix) && item.Key[:len(HostPrefix)] == HostPrefix:
		d.applyHost(item)
	}
}

// applyUpstream takes in an upstream's entry. One that can't be read names no
// upstream.
func (d *Directory) applyUpstream(id instance.ID, item Item, now time.Time) {
	if item.Removed {
		d.lose(id, item.Revision, now)
		return
	}
	entry, err := d.config.Format.DecodeUpstream(id, item.Value)
	if err != nil {
		d.config.Logger.Warn("upstream entry ignored", "upstream", string(id), "revision", item.Revision, "error", err.Error())
		d.config.Instances.Remove(id, item.Revision)
		return
	}
	entry.Revision = item.Revision
	d.mu.Lock()
	delete(d.lapsed, id)
	d.mu.Unlock()
	d.config.Instances.Put(entry)
}

// applyConfig puts a configuration in force unless it is older than the one
// that is.
func (d *Directory) applyConfig(raw []byte, revision int64) {
	decoded, err := d.config.Format.DecodeConfig(raw)
	if err != nil {
		d.config.Logger.Error("configuration ignored", "revision", revision, "error", err.Error())
		return
	}
	table, err := routing.NewTable(decoded)
	if err != nil {
		d.config.Logger.Error("configuration ignored", "version", uint64(decoded.Version), "revision", revision, "error", err.Error())
		return
	}
	d.mu.Lock()
	current := d.routes.Load()
	newer := current == nil || table.Version() > current.Version()
	if newer {
		d.rawConfig, d.configAt = raw, revision
		d.routes.Store(table)
	}
	d.mu.Unlock()
	if newer {
		d.config.Logger.Info("configuration in force", "version", uint64(table.Version()), "revision", revision,
			"routes", len(decoded.Routes), "services", len(decoded.Services), "workspaces", len(decoded.Workspaces))
		d.config.Adopted(table)
	}
}

// applyHost takes in the entry of another host.
func (d *Directory) applyHost(item Item) {
	entry := hostEntry{Key: item.Key, Revision: item.Revision, Gone: item.Removed}
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

// maxHostEntries bounds the hosts' entries that are kept, removals included.
const maxHostEntries = 16_384

// putHost takes in a host's entry unless a newer one is known. The caller holds
// mu.
func (d *Directory) putHost(entry hostEntry) {
	old, known := d.hosts[entry.Key]
	if known && old.Revision >= entry.Revision {
		return
	}
	if !known && len(d.hosts) >= maxHostEntries {
		maps.DeleteFunc(d.hosts, func(_ string, h hostEntry) bool { return h.Gone })
	}
	d.hosts[entry.Key] = entry
}

// advance notes up to which revision changes are applied, and when the store
// knew of no other.
func (d *Directory) advance(asOf int64, freshAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asOf = max(d.asOf, asOf)
	if freshAt.After(d.freshAt) {
		d.freshAt = freshAt
	}
}

// announce tells the hosts that follow this one of changes.
func (d *Directory) announce() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}
