// Package edge builds, runs and drains an entry host, which serves the routes of
// a platform's configuration to callers.
package edge

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/directory"
	"github.com/galenaseam/galenaseam/gateway"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/defaults"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/pace"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/resume"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/throttle"
	"github.com/galenaseam/galenaseam/transport"
	"github.com/galenaseam/galenaseam/tunnel"
	"github.com/galenaseam/galenaseam/workload"
)

// Error is the class of every error this package returns.
var Error = errs.Class("edge")

// Platform holds the adapters to the platform that the host runs on.
type Platform struct {
	// Codec translates between HTTP messages and calls.
	Codec gateway.Codec
	// Source reads the platform's store, Format decodes its items.
	Source directory.Source
	Format directory.Format
	// Stages returns a client of stage servers that uses the given transport.
	Stages func(*transport.Client) staging.Caller
	// Register keeps an entry in the store until ctx ends. The host writes its
	// own address there, so that other hosts find it.
	Register func(ctx context.Context, key string, value []byte, logger *slog.Logger) error
	// Keep writes a value to the store, which removes it after a time. Delete removes
	// one before. KeepBriefly is Keep for many values, each of which the store keeps for up to
	// twice the time.
	Keep        func(ctx context.Context, key string, value []byte, ttl time.Duration) error
	KeepBriefly func(ctx context.Context, key string, value []byte, ttl time.Duration) error
	Delete      func(ctx context.Context, key string) error
	// MoveStore makes all further calls at another address of the store.
	MoveStore func(addr netip.AddrPort)
	// Dial opens connections to upstreams; nil takes transport.DialTCP.
	Dial transport.Dial
}

// Settings configure one host.
type Settings struct {
	Name  string
	Place host.Place
	// CallerAddr, ReadinessAddr and PeerAddr are the addresses to listen on for
	// callers' requests, the platform's readiness checks and other hosts.
	CallerAddr    netip.AddrPort
	ReadinessAddr netip.AddrPort
	PeerAddr      netip.AddrPort
	// MetricsPort is the port that serves metrics on the IP address of PeerAddr; 0
	// takes any free port.
	MetricsPort uint16
	// Seeds are addresses of other hosts to join the fleet through.
	Seeds []netip.AddrPort
	// FleetKey authenticates hosts to each other.
	FleetKey []byte
	// MemoryBytes is the memory that the process may use; 0 sets no limit.
	MemoryBytes int64
	// MaxDescriptors is how many descriptors the process may have open; 0 sets no limit.
	MaxDescriptors int
	// Capacity is the host's capacity for work on behalf of other hosts, in
	// cores.
	Capacity float64
	// LinkMegabits is the bandwidth of the host's link in Mbit/s; 0 if it is unknown.
	LinkMegabits float64
	// Grace is the time from the request to stop until the process must have
	// exited.
	Grace time.Duration
	// MaxPropagationDelay is the time within which a change of the configuration or
	// of an upstream's state must take effect.
	MaxPropagationDelay time.Duration
	// HeartbeatInterval is about how often each upstream writes its entry to the store,
	// EntryTTL how long after the last write the store removes it. Both are 0 if unknown.
	HeartbeatInterval time.Duration
	EntryTTL          time.Duration
	// DrainDelay is how long a stopping host keeps accepting connections; 0 takes
	// DefaultDrainDelay.
	DrainDelay time.Duration
	// VersionMemory is how long a software version counts after its last upstream was
	// removed; 0 takes DefaultVersionMemory. It must be longer than streams last.
	VersionMemory time.Duration
	Retries       retry.Bounds
	// IgnoreLoad turns off the choice of upstreams by their reported load and the cost of
	// requests, for comparison.
	IgnoreLoad bool
	// StoreAddr is the address of the platform's store.
	StoreAddr netip.AddrPort
}

// DefaultVersionMemory is longer than the streams of the platform's callers last.
const DefaultVersionMemory = 30 * time.Second

// Host is an entry host.
type Host struct {
	settings Settings // those that the host was started with

	settingsMu      sync.Mutex // guards latestSettings and lastReloadError
	latestSettings  Settings
	lastReloadError string
	pendingSettings prometheus.Gauge

	platform Platform
	logger   *slog.Logger
	registry *prometheus.Registry
	notices  *noticeMetrics
	cold     *coldMonitor

	info       host.Info
	mux        *link.Mux
	peerServer *link.Server
	peerClient *link.Client
	members    *member.Membership
	owners     *ownership.Table
	instances  *instance.Table
	workload   *workload.Table // nil if Settings.IgnoreLoad is set
	directory  *directory.Directory
	transport  *transport.Client
	tunnels    *tunnel.Server
	gatherer   *staging.Gatherer
	placer     *placement.Placer
	streams    *resume.Keeper
	parts      *quarantine.Parts
	suspects   *quarantine.Quarantine
	throttle   *throttle.Throttle
	brittle    *throttle.Brittle
	shared     *throttle.Notices
	gateway    *gateway.Gateway
	retries    *retry.Budget
	callers    *callerServer

	draining atomic.Bool
	// noticesLearned is true once another host was asked for limits and pauses, or none could be.
	noticesLearned atomic.Bool
	unregister     context.CancelFunc // removes the host's entry from the store; set by Run
}

// New builds a host. It serves nothing until Run.
func New(settings Settings, platform Platform, logger *slog.Logger, registry *prometheus.Registry) (*Host, error) {
	defaults.Set(&settings.DrainDelay, DefaultDrainDelay)
	defaults.Set(&settings.VersionMemory, DefaultVersionMemory)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	}
	h := &Host{settings: settings, latestSettings: settings, platform: platform, logger: logger, registry: registry, mux: link.NewMux()}
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	h.notices = newNoticeMetrics(registry)
	h.cold = newColdMonitor(logger, registry)
	h.pendingSettings = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "seam_settings_awaiting_restart", Help: "Settings that have changed and take effect only at the next start.",
	})
	registry.MustRegister(h.pendingSettings)
	h.info = host.Info{
		ID:       host.ID(settings.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)),
		Place:    settings.Place,
		LinkAddr: settings.PeerAddr,
		HTTPAddr: settings.CallerAddr,
		Capacity: settings.Capacity,
	}
	if err := h.buildFleet(); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := h.buildGateway(); err != nil {
		return nil, Error.Wrap(err)
	}
	return h, nil
}

// buildFleet creates the components that connect this host to the other hosts
// and to the store.
func (h *Host) buildFleet() error {
	h.peerServer = link.NewServer(link.ServerConfig{Mux: h.mux, Key: h.settings.FleetKey, Logger: h.logger, Registerer: h.registry})
	h.peerClient = link.NewClient(link.ClientConfig{Key: h.settings.FleetKey, DialTimeout: peerDialTimeout})
	h.transport = transport.New(h.registry)
	h.instances = instance.NewTable(h.onUpstreamChange)
	h.registry.MustRegister(newEvacuationMetric(h.instances))
	if !h.settings.IgnoreLoad {
		h.workload = workload.NewTable(h.registry)
	}
	h.transport.OnAnswer(h.onUpstreamAnswer)
	h.transport.Admit(h.admitCall)
	h.transport.Acquire(h.acquireCall)
	hostList := &directoryHostList{}
	var err error
	h.members, err = member.New(member.Config{
		Self: h.info, ListenAddr: h.info.LinkAddr.String(), Key: h.settings.FleetKey, Seeds: h.settings.Seeds,
		HostList: hostList, Urgent: []member.Topic{quarantine.Topic, quarantine.PartTopic, throttle.BrittleTopic, throttle.NoticeTopic}, ListInterval: hostListInterval,
		Logger: h.logger, Registerer: h.registry,
	})
	if err != nil {
		return err
	}
	h.brittle = throttle.NewBrittle(h.members, h.logger)
	h.shared = throttle.NewNotices(throttle.NoticesConfig{
		Gossip: h.members, Instances: h.instances, Caller: h.peerClient, Logger: h.logger, Registerer: h.registry,
	}, h.mux)
	h.directory = directory.New(directory.Config{
		Source: h.platform.Source, Format: h.platform.Format, Instances: h.instances, Fleet: h.members,
		Gossip: h.members, Caller: h.peerClient, MaxPropagationDelay: h.settings.MaxPropagationDelay, LinkMegabits: h.settings.LinkMegabits,
		HeartbeatInterval: h.settings.HeartbeatInterval, EntryTTL: h.settings.EntryTTL, Logger: h.logger,
		Registerer: h.registry, OnConfig: h.onConfig, OnHosts: h.members.HostListChanged, OnItem: h.onStoreItem,
	}, h.mux)
	hostList.setDirectory(h.directory)
	h.buildTunnels()
	return nil
}

// buildTunnels makes connections to upstreams that this host can't reach go through other
// hosts, and serves theirs.
func (h *Host) buildTunnels() {
	direct := h.platform.Dial
	if direct == nil {
		direct = transport.DialTCP
	}
	dialer, server := tunnel.New(tunnel.Config{
		Direct: direct, Fleet: h.members, Opener: h.peerClient,
		IsUpstream: func(addr netip.AddrPort) bool { _, is := h.instances.ProcessAt(addr, ""); return is },
		OnLost:     h.transport.CloseIdle, OnAllLost: h.transport.Close,
		Logger: h.logger, Registerer: h.registry,
	}, h.mux)
	h.transport.DialWith(dialer.Dial, dialer.Probe)
	h.tunnels = server
}

const (
	// hostListInterval is how often the membership reads the directory's list of
	// hosts to find new ones.
	hostListInterval = time.Second
	// peerDialTimeout is well above the round-trip time between data centres.
	peerDialTimeout = 500 * time.Millisecond
)

// buildGateway creates the components that handle callers' requests.
func (h *Host) buildGateway() error {
	h.retries = retry.New(h.settings.Retries, h.hostCount, time.Now())
	h.owners = ownership.New(h.members, time.Now())
	h.throttle = throttle.New(throttle.Config{Self: h.info.ID, Owners: h.owners, Caller: h.peerClient, Logger: h.logger, Registerer: h.registry}, h.mux)
	divided := divide(h.settings.MemoryBytes, h.settings.MaxDescriptors)
	held := memory.New(divided.large, divided.small, h.logger, h.registry)
	h.gatherer = staging.NewGatherer(staging.GathererConfig{
		Servers: h.instances, Service: h.service, Owns: func(service string) bool {
			_, own := h.owners.Owner(service, time.Now())
			return own
		}, Caller: h.platform.Stages(h.transport), Retries: h.retries, Workload: h.workload,
		Memory: held, Logger: h.logger, Registerer: h.registry,
	})
	h.parts = quarantine.NewParts(quarantine.PartsConfig{
		Gossip: h.members, Fleet: h.members, Caller: h.peerClient, Logger: h.logger, Registerer: h.registry,
		Keep: h.keepPart, Forget: h.forgetPart,
	}, h.mux)
	var err error
	h.suspects, err = quarantine.New(quarantine.Config{
		Gossip: h.members, Fleet: h.members, Caller: h.peerClient, Logger: h.logger, Registerer: h.registry,
		Settings: quarantine.Settings{Explained: h.parts.Explains}, Keep: h.keepRequest,
	}, h.mux)
	if err != nil {
		return err
	}
	h.placer = placement.New(placement.Config{
		Engines: h.instances, Service: h.service, Owners: h.owners, Caller: h.peerClient, Fleet: h.members, Workload: h.workload,
		DataCentre: h.settings.Place.DataCentre, Logger: h.logger, Registerer: h.registry,
	}, h.mux)
	link.HandleTyped(h.mux, explainMethod, func(_ context.Context, q explainQuestion) (explainAnswer, error) { return h.explainByOwner(q), nil })
	h.streams = resume.New(resume.Config{
		Fleet: h.members, Caller: h.peerClient, Logger: h.logger, Registerer: h.registry, Archive: &resume.ArchiveConfig{
			Self:      h.info.ID,
			Archivist: func(now time.Time) (host.Info, bool) { return h.owners.Owner(archiveTask, now) },
			IsMixed:   h.isMixed, Write: h.platform.KeepBriefly,
		},
	}, h.mux)
	h.gateway = gateway.New(gateway.Config{
		Codec: h.platform.Codec, Routes: h.directory.Routes, AwaitRoutes: h.directory.AwaitRoutes, Instances: h.instances, Transport: h.transport,
		Stages: staging.NewRunner(staging.RunnerConfig{
			Owners: h.owners, Caller: h.peerClient, Gatherer: h.gatherer, Memory: held, Service: h.service, Logger: h.logger,
		}, h.mux),
		Retries: h.retries, ResponseTimes: pace.NewTable(), Placer: h.placer, Streams: h.streams,
		Workload: h.workload, ConfirmUpstreams: h.directory.Confirm, VersionMemory: h.settings.VersionMemory,
		Memory: held, Quarantine: h.suspects, Parts: h.parts,
		DataCentre: h.settings.Place.DataCentre, Logger: h.logger, Metrics: gateway.NewMetrics(h.registry),
	})
	h.callers = newCallerServer(h.gateway, h.directory.Routes, h.logger)
	h.callers.limitTo(held, divided.conns, h.registry)
	return nil
}

// archiveTask is the task of the host that keeps streams' versions in the store.
const archiveTask = "stream versions"

// isMixed reports whether a service has, or had lately, more than one software version.
func (h *Host) isMixed(service string) bool {
	versions, _ := h.instances.Versions(service, time.Now().Add(-h.settings.VersionMemory))
	return len(versions) > 1
}

// hostCount returns the number of hosts that serve requests, at least 1.
func (h *Host) hostCount() int {
	n := 0
	for _, m := range h.members.Members() {
		if m.State == host.Alive || m.State == host.Suspect {
			n++
		}
	}
	return max(n, 1)
}

// service looks a service up in the configuration in force.
func (h *Host) service(name string) (*routing.Service, bool) {
	table := h.directory.Routes()
	if table == nil {
		return nil, false
	}
	return table.Service(name)
}

// onConfig applies the services' warm-up, and reports to the other hosts which version of the
// configuration this host uses.
func (h *Host) onConfig(t *routing.Table) {
	h.setWarmups(t)
	h.members.SetGeneration(uint64(t.Version()))
}

// onUpstreamChange logs that an upstream was added, is leaving, is paused, is limited or was
// removed, and closes idle connections to removed ones.
func (h *Host) onUpstreamChange(c instance.Change) {
	if c.InvalidWarmup {
		h.cold.reportInvalid("entry", c.Service, string(c.ID))
	}
	switch c.Kind {
	case "changed":
		return
	case instance.KindEvacuated, instance.KindRestored:
		h.onEvacuation(c)
		return
	}
	h.notices.count(c)
	attrs := []any{"upstream", string(c.ID), "service", c.Service, "addr", c.Addr.String(),
		"data_centre", string(c.DataCentre), "version", c.Version, "era", c.Era, "revision", c.Revision, "source", string(c.Source)}
	switch c.Kind {
	case "paused", "cold":
		attrs = append(attrs, "until", c.Until)
	case "limited":
		attrs = append(attrs, "limit", c.Limit)
	case "leaving", "removed":
		now := time.Now()
		attrs = append(attrs, "copy_age_ms", h.directory.Age(now).Milliseconds())
		if !c.BegunAt.IsZero() {
			attrs = append(attrs, "last_request_ms_ago", now.Sub(c.BegunAt).Milliseconds())
		}
	}
	h.logger.Info("upstream "+c.Kind, attrs...)
	if c.Kind == "added" || c.Kind == "cold" {
		h.expectCold(c.Process())
	}
	if c.Kind == "removed" {
		h.transport.CloseIdle(c.Addr)
		h.workload.Remove(c.ID)
	}
}

// Ready reports whether the host should receive new connections: it is not
// draining, has read a configuration and the store, has had time to discover
// the other hosts, and has asked one of them for the limits of upstreams.
func (h *Host) Ready() bool {
	return !h.draining.Load() && h.directory.Routes() != nil && h.directory.Revision() > 0 && h.owners.Formed(time.Now()) && h.noticesLearned.Load()
}

// ServeReadiness answers the platform's readiness check.
func (h *Host) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
