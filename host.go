// Package galenaseam builds an entry host from its settings, runs it and drains
// it. Command seamd parses flags and calls this package.
package galenaseam

import (
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/claim"
	"github.com/galenaseam/galenaseam/config"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/frontend"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/infra/budget"
	"github.com/galenaseam/galenaseam/limit"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/metrics"
	"github.com/galenaseam/galenaseam/operator"
	"github.com/galenaseam/galenaseam/policy"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/request"
	"github.com/galenaseam/galenaseam/settings"
	"github.com/galenaseam/galenaseam/upstream"
)

// Error is the class of every error this package returns.
var Error = errs.Class("galenaseam")

// Options configures a Host.
type Options struct {
	Settings settings.Settings
	// FleetKey is the secret with which hosts authenticate to each other.
	FleetKey []byte
	// OperatorToken is the token that operators must present. If it is empty,
	// the operators' interface requires none.
	OperatorToken string
	// FirstDocument is put in force if neither the store nor another host has
	// a document. It may be empty.
	FirstDocument []byte
	// Policy configures the scheduling policy; the zero value means
	// policy.Defaults.
	Policy policy.Settings
	Logger *slog.Logger
}

// Host is an entry host. Each component has its own locks. No component calls
// another one while it holds a lock, except in the lock order that
// docs/ARCHITECTURE.md states.
type Host struct {
	options   Options
	logger    *slog.Logger
	info      host.Info
	metrics   *metrics.Metrics
	listeners *listeners

	linkMux     *link.Mux
	linkServer  *link.Server
	linkClient  *link.Client
	storeBudget *budget.Budget
	// Views of the same store that differ in the priority of their calls.
	claimStore  infra.Store
	configStore infra.Store
	otherStore  infra.Store

	hostList       infra.HostList
	membership     membership
	upstreams      *upstream.Table
	probeClient    *http.Client
	limiter        *limit.Limiter
	dispatcher     *dispatch.Runtime
	claims         *claim.Service
	configSyncer   *config.Syncer
	configWriter   *config.Writer
	planners       *groupPlanners
	quarantine     *quarantine.Quarantine
	promptParts    *quarantine.Parts
	attemptClient  *attempt.Client
	runner         *request.Runner
	frontend       *frontend.Frontend
	callerTLS      *tls.Config
	operatorServer *operator.Server

	draining       atomic.Bool
	drainOnce      sync.Once
	drainRequested chan struct{}
}

// listeners holds the open listeners of a host.
type listeners struct {
	http     net.Listener
	link     net.Listener
	operator net.Listener
}

// openListeners opens all listeners. If one fails, it closes the others.
func openListeners(l settings.Listen) (*listeners, error) {
	s := &listeners{}
	for _, open := range []struct {
		addr string
		into *net.Listener
	}{{l.HTTP, &s.http}, {l.Link, &s.link}, {l.Operator, &s.operator}} {
		listener, err := net.Listen("tcp", open.addr)
		if err != nil {
			s.close()
			return nil, Error.Wrap(err)
		}
		*open.into = listener
	}
	return s, nil
}

// close closes all open listeners.
func (s *listeners) close() {
	for _, l := range []net.Listener{s.http, s.link, s.operator} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// New builds a host and opens its listeners. The host serves once Run is called.
func New(o Options) (*Host, error) {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	opened, err := openListeners(o.Settings.Listen)
	if err != nil {
		return nil, err
	}
	h := &Host{options: o, listeners: opened, metrics: metrics.New(), drainRequested: make(chan struct{})}
	h.info = newHostInfo(o.Settings.Host, opened)
	h.logger = o.Logger.With("host", string(h.info.ID))
	if err := h.build(); err != nil {
		opened.close()
		return nil, err
	}
	return h, nil
}

// newHostInfo returns the description of this host for other hosts. If the
// settings have no host ID, it generates one.
func newHostInfo(s settings.Host, opened *listeners) host.Info {
	id := s.ID
	if id == "" {
		id = uuid.NewString()
	}
	return host.Info{
		ID:       host.ID(id),
		Place:    host.Place{DataCentre: host.DataCentre(s.DataCentre), Region: host.Region(s.Region)},
		LinkAddr: listenerAddr(opened.link),
		HTTPAddr: listenerAddr(opened.http),
	}
}

// listenerAddr returns the address of a TCP listener.
func listenerAddr(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// Info returns the host's ID, place and addresses.
func (h *Host) Info() host.Info { return h.info }

// OperatorAddr returns the address of the operators' interface.
func (h *Host) OperatorAddr() netip.AddrPort { return listenerAddr(h.listeners.operator) }

// Drain starts a graceful shutdown and returns at once. Run returns when the
// shutdown is complete. Further calls do nothing.
func (h *Host) Drain() {
	h.drainOnce.Do(func() {
		h.draining.Store(true)
		close(h.drainRequested)
	})
}

// isDraining reports whether a shutdown has started.
func (h *Host) isDraining() bool { return h.draining.Load() }

// ready reports whether balancers should send new work to the host, and the reason
// if not. A host that drains is not ready, but still accepts work for the drain
// delay.
func (h *Host) ready() (bool, string) {
	switch {
	case h.isDraining():
		return false, "draining"
	case !h.configSyncer.Ready() || h.configSyncer.Current() == nil:
		return false, "no configuration in force yet"
	case !h.upstreams.Ready():
		return false, "the host list has not been read yet"
	case !h.membership.HasJoined():
		return false, "the other hosts are not known yet"
	default:
		return true, ""
	}
}

// document returns the document in force, or nil if there is none yet.
func (h *Host) document() *document.Document {
	current := h.configSyncer.Current()
	if current == nil {
		return nil
	}
	return current.Document
}

// generation returns the configuration generation in force, or 0 if there is
// none yet.
func (h *Host) generation() uint64 {
	current := h.configSyncer.Current()
	if current == nil {
		return 0
	}
	return uint64(current.Generation)
}

// currentConfig returns the configuration for one caller's request. It returns
// false until the syncer is ready, so that the host does not serve an older
// generation than its peers.
func (h *Host) currentConfig() (frontend.Current, bool) {
	current := h.configSyncer.Current()
	if current == nil || !h.configSyncer.Ready() {
		return frontend.Current{}, false
	}
	return frontend.Current{Generation: uint64(current.Generation), Document: current.Document}, true
}
