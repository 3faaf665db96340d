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

// membership is the part of *member.Membership that a Host uses.
type membership interface {
	host.View
	member.Gossip
	Run(ctx context.Context) error
	Leave(ctx context.Context) error
	SetGeneration(g uint64)
	HasJoined() bool
}

// build creates all components of the host in order of their dependencies,
// starting with the clients of the platform.
func (h *Host) build() error {
	for _, step := range []func() error{
		h.buildPlatform, h.buildLinks, h.buildMembership, h.buildUpstreams, h.buildConfig, h.buildDispatch, h.buildClaims,
	} {
		if err := step(); err != nil {
			return Error.Wrap(err)
		}
	}
	if err := h.buildFrontend(); err != nil {
		return Error.Wrap(err)
	}
	h.buildOperatorServer()
	h.configSyncer.Subscribe(h.applySnapshot)
	return nil
}

// buildPlatform creates the clients of the platform's store and host list.
func (h *Host) buildPlatform() error {
	p := h.options.Settings.Platform
	store, err := kv.New(kv.Config{Endpoints: p.Store, Timeout: p.StoreTimeout.Std()})
	if err != nil {
		return err
	}
	h.storeBudget, err = budget.New(budget.Config{Registerer: h.metrics.Registry()})
	if err != nil {
		return err
	}
	h.claimStore = h.storeBudget.Store(store, infra.PriorityClaim)
	h.configStore = h.storeBudget.Store(store, infra.PriorityConfig)
	h.otherStore = h.storeBudget.Store(store, infra.PriorityOther)
	h.hostList, err = sd.New(sd.Config{URL: p.HostList})
	return err
}

// buildLinks creates the server and the client for calls between hosts.
func (h *Host) buildLinks() error {
	h.linkMux = link.NewMux()
	server := link.ServerConfig{Mux: h.linkMux, Key: h.options.FleetKey, Logger: h.logger, Registerer: h.metrics.Registry()}
	client := link.ClientConfig{Key: h.options.FleetKey}
	if pair := h.options.Settings.TLS.Links; pair.IsSet() {
		source, err := h.certificates(pair)
		if err != nil {
			return err
		}
		server.TLS = source.ServerConfig()
		client.TLS = source.ClientConfig()
	}
	h.linkServer = link.NewServer(server)
	h.linkClient = link.NewClient(client)
	return nil
}

// certificates loads a key pair. The returned source reloads it when its files
// change.
func (h *Host) certificates(pair settings.KeyPair) (*certs.Source, error) {
	return certs.Load(certs.Files{Cert: pair.CertFile, Key: pair.KeyFile, CA: pair.CAFile}, h.logger)
}

// buildMembership creates the host's part in the membership protocol.
func (h *Host) buildMembership() error {
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
		HostList: h.hostList, Urgent: []member.Topic{quarantine.Topic, quarantine.PartTopic},
		Logger: h.logger, Registerer: h.metrics.Registry(),
	})
	if err != nil {
		return err
	}
	h.membership = members
	members.OnChange(h.updateStoreBudget)
	return nil
}

// updateStoreBudget updates the number of hosts that share the store's rate.
func (h *Host) updateStoreBudget() { h.storeBudget.SetHosts(len(h.membership.Members())) }

// upstreamProbePath is the path that probes request from an upstream. A response
// with any status shows that the upstream is alive.
const upstreamProbePath = "/healthz"

// buildUpstreams creates the table of upstreams.
func (h *Host) buildUpstreams() error {
	h.probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	h.upstreams = upstream.NewTable(upstream.Config{
		List:         h.hostList,
		View:         h.membership,
		Gossip:       h.membership,
		Prober:       upstream.HTTPProber{Client: h.probeClient, Path: upstreamProbePath},
		PollInterval: h.options.Settings.Platform.HostListInterval.Std(),
		Logger:       h.logger,
		Registerer:   h.metrics.Registry(),
	})
	return nil
}

// buildConfig creates the syncer and the writer of the operators' document.
func (h *Host) buildConfig() (err error) {
	h.configSyncer, err = config.NewSyncer(config.SyncerConfig{
		Store: h.configStore, View: h.membership, Caller: h.linkClient, Registrar: h.linkMux, Gossip: h.membership,
		Logger: h.logger, Registerer: h.metrics.Registry(), FirstDocument: h.options.FirstDocument,
	})
	if err != nil {
		return err
	}
	h.configWriter = config.NewWriter(config.WriterConfig{
		Store: h.configStore, HostState: h.configSyncer, Logger: h.logger, Registerer: h.metrics.Registry(),
	})
	return nil
}

// buildDispatch creates the limiter, which enforces limits across all hosts, and
// the dispatcher, which applies the scheduling policy.
func (h *Host) buildDispatch() (err error) {
	h.limiter = limit.New(limit.Config{
		View: h.membership, Gossip: h.membership, Logger: h.logger, Registerer: h.metrics.Registry(),
	})
	h.dispatcher, err = dispatch.New(dispatch.Config{
		Upstreams:  h.upstreams,
		Settings:   h.options.Policy,
		Gossip:     h.membership,
		Place:      h.info.Place,
		HostCount:  func() int { return len(h.membership.Members()) },
		Seed:       rand.Uint64(),
		Logger:     h.logger,
		Registerer: h.metrics.Registry(),
		Limiter:    h.limiter,
	})
	return err
}

// buildClaims creates the claim service, which ensures that non-idempotent calls
// run at most once.
func (h *Host) buildClaims() (err error) {
	c := h.options.Settings.Claims
	h.claims, err = claim.New(claim.Config{
		Store: h.claimStore, View: h.membership, Caller: h.linkClient, Registrar: h.linkMux,
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

// buildFrontend creates the callers' interface and the runner of their requests.
func (h *Host) buildFrontend() (err error) {
	h.planners = newPlanners(h)
	h.promptParts = quarantine.NewParts(quarantine.PartsConfig{
		Gossip: h.membership, Fleet: h.membership, Caller: h.linkClient, Logger: h.logger, Registerer: h.metrics.Registry(),
	}, h.linkMux)
	h.quarantine, err = quarantine.New(quarantine.Config{
		Gossip: h.membership, Fleet: h.membership, Caller: h.linkClient, Logger: h.logger, Registerer: h.metrics.Registry(),
		Settings: quarantine.Settings{Explained: h.promptParts.Explains},
	}, h.linkMux)
	if err != nil {
		return err
	}
	h.attemptClient = attempt.New(attempt.Config{Reporter: h.upstreams})
	h.metrics.WatchWrongAnswers(h.attemptClient.WrongAnswers)
	h.runner = request.New(request.Config{
		Dispatcher: h.dispatcher,
		Upstreams:  h.upstreams,
		Client:     h.attemptClient,
		Guard:      quarantineGuard{h.quarantine, h.promptParts, h.logger},
		Meter:      h.planners.meter,
		Claims:     claimed.New(h.claims, h.logger),
		Logger:     h.logger,
		Observe:    h.metrics.Observe,
	})
	h.frontend = frontend.New(frontend.Config{
		Runner:    h.runner,
		Current:   h.currentConfig,
		Limits:    frontend.Limits{MaxBodyBytes: int64(h.options.Settings.Limits.MaxBodyBytes)},
		Logger:    h.logger,
		OnRefusal: h.metrics.CountRefusal,
		Draining:  h.isDraining,
	})
	pair := h.options.Settings.TLS.Callers
	if !pair.IsSet() {
		return nil
	}
	source, err := h.certificates(pair)
	if err != nil {
		return err
	}
	h.callerTLS = source.ServerConfig()
	return nil
}

// buildOperatorServer creates the operators' interface.
func (h *Host) buildOperatorServer() {
	h.operatorServer = operator.New(operator.Config{
		State:    &hostState{host: h},
		Editor:   &configEditor{writer: h.configWriter, syncer: h.configSyncer},
		Gatherer: h.metrics.Registry(),
		Token:    h.options.OperatorToken,
		Logger:   h.logger,
	})
}

// applySnapshot passes a new generation to the components that hold state derived
// from the document. Other components read the current document on each use.
func (h *Host) applySnapshot(s *config.Snapshot) {
	h.metrics.Configure(s.Document)
	h.limiter.Configure(s.Document)
	h.membership.SetGeneration(uint64(s.Generation))
	h.logger.Info("configuration in force", "generation", uint64(s.Generation), "hash", s.Hash.String())
}
