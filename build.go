package galenaseam

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/certs"
	"github.com/galenaseam/galenaseam/claim"
	"github.com/galenaseam/galenaseam/claimed"
	"github.com/galenaseam/galenaseam/config"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/frontend"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/infra/budget"
	"github.com/galenaseam/galenaseam/infra/kv"
	"github.com/galenaseam/galenaseam/infra/sd"
	"github.com/galenaseam/galenaseam/limit"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/operator"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/request"
	"github.com/galenaseam/galenaseam/settings"
	"github.com/galenaseam/galenaseam/upstream"
)

// fleet is the membership as a host uses it.
type fleet interface {
	host.View
	member.Gossip
	Run(ctx context.Context) error
	Leave(ctx context.Context) error
	SetGeneration(g uint64)
	HasJoined() bool
}

// build makes every part of the host, from the platform upwards.
func (h *Host) build() error {
	for _, part := range []func() error{
		h.buildPlatform, h.buildLinks, h.buildMembers, h.buildUpstreams, h.buildConfig, h.buildDispatch, h.buildClaims,
	} {
		if err := part(); err != nil {
			return Error.Wrap(err)
		}
	}
	if err := h.buildCallers(); err != nil {
		return Error.Wrap(err)
	}
	h.buildOperators()
	h.syncer.Subscribe(h.adopt)
	return nil
}

// buildPlatform makes the clients of the platform's services.
func (h *Host) buildPlatform() error {
	p := h.options.Settings.Platform
	store, err := kv.New(kv.Config{Endpoints: p.Store, Timeout: p.StoreTimeout.Std()})
	if err != nil {
		return err
	}
	h.budget, err = budget.New(budget.Config{Registerer: h.metrics.Registry()})
	if err != nil {
		return err
	}
	h.claimStore = h.budget.Store(store, infra.PriorityClaim)
	h.configStore = h.budget.Store(store, infra.PriorityConfig)
	h.otherStore = h.budget.Store(store, infra.PriorityOther)
	h.hostList, err = sd.New(sd.Config{URL: p.HostList})
	return err
}

// buildLinks makes the calls between hosts.
func (h *Host) buildLinks() error {
	h.mux = link.NewMux()
	server := link.ServerConfig{Mux: h.mux, Key: h.options.FleetKey, Logger: h.logger, Registerer: h.metrics.Registry()}
	client := link.ClientConfig{Key: h.options.FleetKey}
	if pair := h.options.Settings.TLS.Links; pair.IsSet() {
		source, err := h.certificates(pair)
		if err != nil {
			return err
		}
		server.TLS = source.ServerConfig()
		client.TLS = source.ClientConfig()
	}
	h.server = link.NewServer(server)
	h.peers = link.NewClient(client)
	return nil
}

// certificates follows the files of a key pair.
func (h *Host) certificates(pair settings.KeyPair) (*certs.Source, error) {
	return certs.Load(certs.Files{Cert: pair.CertFile, Key: pair.KeyFile, CA: pair.CAFile}, h.logger)
}

// buildMembers makes the membership.
func (h *Host) buildMembers() error {
	var seeds []netip.AddrPort
	for _, text := range h.options.Settings.Fleet.Seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		seeds = append(seeds, seed)
	}
	members, err := member.New(member.Config{
		Self: h.info, ListenAddr: h.info.LinkAddr.String(), Key: h.options.FleetKey, Seeds: seeds,
		HostList: h.hostList, Urgent: []member.Topic{quarantine.Topic},
		Logger: h.logger, Registerer: h.metrics.Registry(),
	})
	if err != nil {
		return err
	}
	h.members = members
	members.OnChange(h.shareBudget)
	return nil
}

// shareBudget tells the budget how many hosts share the store's rate.
func (h *Host) shareBudget() { h.budget.SetHosts(len(h.members.Members())) }

// probePath is what an upstream is asked for a sign of life; any answer is one.
const probePath = "/healthz"

// buildUpstreams makes the table of upstreams.
func (h *Host) buildUpstreams() error {
	h.probes = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	h.upstreams = upstream.NewTable(upstream.Config{
		List:         h.hostList,
		View:         h.members,
		Gossip:       h.members,
		Prober:       upstream.HTTPProber{Client: h.probes, Path: probePath},
		PollInterval: h.options.Settings.Platform.HostListEvery.Std(),
		Logger:       h.logger,
		Registerer:   h.metrics.Registry(),
	})
	return nil
}

// buildConfig makes the document's reader and writer.
func (h *Host) buildConfig() (err error) {
	h.syncer, err = config.NewSyncer(config.SyncerConfig{
		Store: h.configStore, View: h.members, Caller: h.peers, Registrar: h.mux, Gossip: h.members,
		Logger: h.logger, Registerer: h.metrics.Registry(), FirstDocument: h.options.FirstDocument,
	})
	if err != nil {
		return err
	}
	h.writer = config.NewWriter(config.WriterConfig{
		Store: h.configStore, HostState: h.syncer, Logger: h.logger, Registerer: h.metrics.Registry(),
	})
	return nil
}

// buildDispatch makes the limits over all hosts and the policy's runtime.
func (h *Host) buildDispatch() (err error) {
	h.limiter = limit.New(limit.Config{
		View: h.members, Gossip: h.members, Logger: h.logger, Registerer: h.metrics.Registry(),
	})
	h.dispatcher, err = dispatch.New(dispatch.Config{
		Upstreams:  h.upstreams,
		Settings:   h.options.Policy,
		Gossip:     h.members,
		Place:      h.info.Place,
		HostCount:  func() int { return len(h.members.Members()) },
		Seed:       rand.Uint64(),
		Logger:     h.logger,
		Registerer: h.metrics.Registry(),
		Limiter:    h.limiter,
	})
	return err
}

// buildClaims makes the claims on calls that may run only once.
func (h *Host) buildClaims() (err error) {
	c := h.options.Settings.Claims
	h.claims, err = claim.New(claim.Config{
		Store: h.claimStore, View: h.members, Caller: h.peers, Registrar: h.mux,
		Logger: h.logger, Registerer: h.metrics.Registry(),
		Settings: claim.Settings{
			Shards:       c.Shards,
			Retention:    c.Retention.Std(),
			BatchWindow:  c.BatchWindow.Std(),
			ClaimTimeout: c.Timeout.Std(),
			StoreTimeout: h.options.Settings.Platform.StoreTimeout.Std(),
		},
	})
	return err
}

// buildCallers makes the callers' interface and what runs their requests.
func (h *Host) buildCallers() (err error) {
	h.planners = newPlanners(h)
	if h.quarantine, err = quarantine.New(quarantine.Config{Gossip: h.members, Registerer: h.metrics.Registry()}); err != nil {
		return err
	}
	h.client = attempt.New(attempt.Config{Listener: h.upstreams})
	h.metrics.WatchWrongAnswers(h.client.WrongAnswers)
	h.runner = request.New(request.Config{
		Dispatcher: h.dispatcher,
		Upstreams:  h.upstreams,
		Client:     h.client,
		Guard:      guard{h.quarantine, h.logger},
		Meter:      h.planners.meter,
		Claims:     claimed.New(h.claims, h.logger),
		Logger:     h.logger,
		Observe:    h.metrics.Observe,
	})
	h.callers = frontend.New(frontend.Config{
		Runner:   h.runner,
		Current:  h.current,
		Limits:   frontend.Limits{MaxBodyBytes: int64(h.options.Settings.Limits.MaxBodyBytes)},
		Logger:   h.logger,
		Refused:  h.metrics.Refused,
		Draining: h.isDraining,
	})
	pair := h.options.Settings.TLS.Callers
	if !pair.IsSet() {
		return nil
	}
	source, err := h.certificates(pair)
	if err != nil {
		return err
	}
	h.callersTLS = source.ServerConfig()
	return nil
}

// buildOperators makes the operators' interface.
func (h *Host) buildOperators() {
	h.operators = operator.New(operator.Config{
		State:    &state{host: h},
		Editor:   &editor{writer: h.writer, syncer: h.syncer},
		Gatherer: h.metrics.Registry(),
		Token:    h.options.OperatorToken,
		Logger:   h.logger,
	})
}

// adopt puts a generation in force in the parts that keep something of it.
func (h *Host) adopt(s *config.Snapshot) {
	h.metrics.Configure(s.Document)
	h.limiter.Configure(s.Document)
	h.members.SetGeneration(uint64(s.Generation))
	h.logger.Info("configuration in force", "generation", uint64(s.Generation), "hash", s.Hash.String())
}
