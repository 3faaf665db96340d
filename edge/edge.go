// Package edge builds an entry host that serves routes on a platform, runs it
// and drains it.
package edge

import (
	"context"
	"log/slog"
	"net"
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
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/pace"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/transport"
)

// Error is the class of every error this package returns.
var Error = errs.Class("edge")

// Platform is what the host needs from the platform it runs on.
type Platform struct {
	Codec  gateway.Codec
	Source directory.Source
	Format directory.Format
	// Stages makes the calls to stage servers over a transport.
	Stages func(*transport.Client) staging.Caller
	// Register keeps the host's entry in the store until ctx ends.
	Register func(ctx context.Context, key string, value []byte, logger *slog.Logger) error
}

// Settings are those of one host.
type Settings struct {
	Name      string
	Place     host.Place
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	Peers     netip.AddrPort
	// MetricsPort serves metrics beside Peers' address; 0 for none.
	MetricsPort uint16
	Seeds       []netip.AddrPort
	FleetKey    []byte
	MemoryBytes int64
	// Capacity is what the host can do for others, in cores.
	Capacity float64
	// Grace is the time from the order to stop to the end of the process.
	Grace time.Duration
	// ChangesWithin is the time within which a change of the configuration or
	// of an upstream's state must be in force.
	ChangesWithin time.Duration
	// LeaveRotation is how long a host that stops goes on taking connections;
	// 0 takes DefaultLeaveRotation.
	LeaveRotation time.Duration
	Retries       retry.Bounds
}

// Host is one entry host.
type Host struct {
	settings Settings // as they were at the start

	settingsMu    sync.Mutex // guards newest and settingsError
	newest        Settings
	settingsError string

	platform Platform
	logger   *slog.Logger
	registry *prometheus.Registry

	info      host.Info
	mux       *link.Mux
	links     *link.Server
	peers     *link.Client
	members   *member.Membership
	owners    *ownership.Table
	instances *instance.Table
	directory *directory.Directory
	transport *transport.Client
	gatherer  *staging.Gatherer
	gateway   *gateway.Gateway
	retries   *retry.Budget
	callers   *callers

	draining atomic.Bool
}

// heapShare is the part of the process's memory that the Go runtime may use
// before it collects harder; the rest is for stacks and the kernel's buffers.
const heapShare = 0.7

// New builds a host. Nothing is served before Run.
func New(settings Settings, platform Platform, logger *slog.Logger, registry *prometheus.Registry) (*Host, error) {
	defaults.Set(&settings.LeaveRotation, DefaultLeaveRotation)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	}
	h := &Host{settings: settings, newest: settings, platform: platform, logger: logger, registry: registry, mux: link.NewMux()}
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	h.info = host.Info{
		ID:       host.ID(settings.Name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)),
		Place:    settings.Place,
		LinkAddr: settings.Peers,
		HTTPAddr: settings.Callers,
		Capacity: settings.Capacity,
	}
	if err := h.buildFleet(); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := h.buildCallers(); err != nil {
		return nil, Error.Wrap(err)
	}
	return h, nil
}

// buildFleet makes what joins this host to the others and to the store.
func (h *Host) buildFleet() error {
	h.links = link.NewServer(link.ServerConfig{Mux: h.mux, Key: h.settings.FleetKey, Logger: h.logger, Registerer: h.registry})
	h.peers = link.NewClient(link.ClientConfig{Key: h.settings.FleetKey, DialTimeout: peerDialTimeout})
	h.transport = transport.New(h.registry)
	h.instances = instance.NewTable(h.logInstance)
	lister := &lateList{}
	var err error
	h.members, err = member.New(member.Config{
		Self: h.info, ListenAddr: h.info.LinkAddr.String(), Key: h.settings.FleetKey, Seeds: h.settings.Seeds,
		HostList: lister, Urgent: []member.Topic{quarantine.Topic}, ListInterval: hostListInterval,
		Logger: h.logger, Registerer: h.registry,
	})
	if err != nil {
		return err
	}
	h.directory = directory.New(directory.Config{
		Source: h.platform.Source, Format: h.platform.Format, Instances: h.instances, Fleet: h.members,
		Gossip: h.members, Caller: h.peers, MaxPropagationDelay: h.settings.ChangesWithin, Logger: h.logger, OnConfig: h.adopt,
	}, h.mux)
	lister.set(h.directory)
	return nil
}

const (
	// hostListInterval is how often new hosts in the directory are greeted.
	hostListInterval = time.Second
	// peerDialTimeout is far above the round trip between data centres.
	peerDialTimeout = 500 * time.Millisecond
)

// buildCallers makes what serves callers.
func (h *Host) buildCallers() error {
	h.retries = retry.New(h.settings.Retries, h.hostCount, time.Now())
	h.owners = ownership.New(h.members, time.Now())
	h.gatherer = staging.NewGatherer(staging.GathererConfig{
		Servers: h.instances, Service: h.service, Owns: func(service string) bool {
			_, own := h.owners.Owner(service, time.Now())
			return own
		}, Caller: h.platform.Stages(h.transport), Retries: h.retries,
		Logger: h.logger, Registerer: h.registry,
	})
	suspects, err := quarantine.New(quarantine.Config{Gossip: h.members, Registerer: h.registry})
	if err != nil {
		return err
	}
	placer := placement.New(placement.Config{
		Engines: h.instances, Service: h.service, Owners: h.owners, Caller: h.peers,
		DataCentre: h.settings.Place.DataCentre, Logger: h.logger,
	}, h.mux)
	h.gateway = gateway.New(gateway.Config{
		Codec: h.platform.Codec, Routes: h.directory.Routes, Instances: h.instances, Transport: h.transport,
		Stages: staging.NewRunner(staging.RunnerConfig{
			Owners: h.owners, Caller: h.peers, Gatherer: h.gatherer, Service: h.service, Logger: h.logger,
		}, h.mux),
		Retries: h.retries, Paces: pace.NewTable(), Placer: placer, Quarantine: suspects, DataCentre: h.settings.Place.DataCentre, Logger: h.logger,
		Metrics: gateway.NewMetrics(h.registry),
	})
	h.callers = newCallers(h.gateway, h.directory.Routes, h.logger)
	return nil
}

// hostCount is how many hosts take requests.
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

// adopt takes note of a new configuration.
func (h *Host) adopt(t *routing.Table) { h.members.SetGeneration(uint64(t.Version())) }

// logInstance tells of a change among the upstreams.
func (h *Host) logInstance(c instance.Change) {
	if c.Kind == "changed" {
		return
	}
	h.logger.Info("upstream "+c.Kind, "upstream", string(c.ID), "service", c.Service, "addr", c.Addr.String(),
		"data_centre", string(c.DataCentre), "revision", c.Revision)
	if c.Kind == "removed" {
		h.transport.Forget(c.Addr)
	}
}

// Ready says whether the host takes new connections.
func (h *Host) Ready() bool {
	return !h.draining.Load() && h.directory.Routes() != nil && h.directory.Revision() > 0 && h.owners.Formed(time.Now())
}

// ServeReadiness answers the platform's question whether the host is ready.
func (h *Host) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// listen opens a TCP listener on an address of the settings.
func listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp4", addr.String())
	return l, Error.Wrap(err)
}
