// Package galenaseam is the library form of the serving system: it builds an
// entry host from its settings, runs it, and drains it. The programs under cmd
// only parse flags and call this package.
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

// Options is what a Host is built from.
type Options struct {
	Settings settings.Settings
	// FleetKey authenticates hosts to each other.
	FleetKey []byte
	// OperatorToken is what operators present; empty leaves their interface
	// open.
	OperatorToken string
	// FirstDocument is put in force when neither the store nor another host
	// has a document; empty for none.
	FirstDocument []byte
	// Policy switches the parts of the policy; the whole policy when zero.
	Policy policy.Settings
	Logger *slog.Logger
}

// Host is one entry host. Its parts each have locks of their own; no lock of
// one part is held while another part is called, but for the order stated in
// docs/ARCHITECTURE.md.
type Host struct {
	options Options
	logger  *slog.Logger
	info    host.Info
	metrics *metrics.Metrics
	sockets *sockets

	mux    *link.Mux
	server *link.Server
	peers  *link.Client
	budget *budget.Budget
	// The store, by the priority of the calls.
	claimStore  infra.Store
	configStore infra.Store
	otherStore  infra.Store
	hostList    infra.HostList
	members     fleet
	upstreams   *upstream.Table
	probes      *http.Client
	limiter     *limit.Limiter
	dispatcher  *dispatch.Runtime
	claims      *claim.Service
	syncer      *config.Syncer
	writer      *config.Writer
	planners    *planners
	quarantine  *quarantine.Quarantine
	client      *attempt.Client
	runner      *request.Runner
	callers     *frontend.Frontend
	callersTLS  *tls.Config
	operators   *operator.Server

	draining  atomic.Bool
	drainOnce sync.Once
	drain     chan struct{}
}

// sockets is the open listeners of a host.
type sockets struct {
	http     net.Listener
	link     net.Listener
	operator net.Listener
}

// openSockets opens every listener, or none.
func openSockets(l settings.Listen) (*sockets, error) {
	s := &sockets{}
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

// close closes the listeners that are open.
func (s *sockets) close() {
	for _, l := range []net.Listener{s.http, s.link, s.operator} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// New builds a host and opens its listeners. Nothing is served before Run.
func New(o Options) (*Host, error) {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	open, err := openSockets(o.Settings.Listen)
	if err != nil {
		return nil, err
	}
	h := &Host{options: o, sockets: open, metrics: metrics.New(), drain: make(chan struct{})}
	h.info = infoOf(o.Settings.Host, open)
	h.logger = o.Logger.With("host", string(h.info.ID))
	if err := h.build(); err != nil {
		open.close()
		return nil, err
	}
	return h, nil
}

// infoOf describes the host to others.
func infoOf(s settings.Host, open *sockets) host.Info {
	id := s.ID
	if id == "" {
		id = uuid.NewString()
	}
	return host.Info{
		ID:       host.ID(id),
		Place:    host.Place{DataCentre: host.DataCentre(s.DataCentre), Region: host.Region(s.Region)},
		LinkAddr: addrOf(open.link),
		HTTPAddr: addrOf(open.http),
	}
}

// addrOf is a listener's address.
func addrOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// Info describes the host.
func (h *Host) Info() host.Info { return h.info }

// OperatorAddr is where the operators' interface listens.
func (h *Host) OperatorAddr() netip.AddrPort { return addrOf(h.sockets.operator) }

// Drain starts the graceful shutdown and returns at once; Run ends when it is
// done. Further calls do nothing.
func (h *Host) Drain() {
	h.drainOnce.Do(func() {
		h.draining.Store(true)
		close(h.drain)
	})
}

// isDraining says whether the shutdown has begun.
func (h *Host) isDraining() bool { return h.draining.Load() }

// ready says whether the host takes new work, and if not why.
func (h *Host) ready() (bool, string) {
	switch {
	case h.isDraining():
		return false, "draining"
	case !h.syncer.Ready() || h.syncer.Current() == nil:
		return false, "no configuration in force yet"
	case !h.upstreams.Ready():
		return false, "the host list has not been read yet"
	case !h.members.HasJoined():
		return false, "the other hosts are not known yet"
	default:
		return true, ""
	}
}

// document is the document in force, or nil.
func (h *Host) document() *document.Document {
	current := h.syncer.Current()
	if current == nil {
		return nil
	}
	return current.Document
}

// generation is the configuration generation in force, or 0.
func (h *Host) generation() uint64 {
	current := h.syncer.Current()
	if current == nil {
		return 0
	}
	return uint64(current.Generation)
}

// current is what one caller's request sees. Nothing is served before the host
// knows that what it holds is as new as its peers'.
func (h *Host) current() (frontend.Current, bool) {
	current := h.syncer.Current()
	if current == nil || !h.syncer.Ready() {
		return frontend.Current{}, false
	}
	return frontend.Current{Generation: uint64(current.Generation), Document: current.Document}, true
}
