// Package standin runs stand-ins for what the hosts of a deployment depend on,
// in one process on loopback addresses: the platform's services and the pools
// of upstreams. A control API injects faults into each of them over HTTP.
package standin

import (
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/hostlist"
	"github.com/galenaseam/galenaseam/internal/standin/model"
	"github.com/galenaseam/galenaseam/internal/standin/server"
	"github.com/galenaseam/galenaseam/internal/standin/service"
	"github.com/galenaseam/galenaseam/internal/standin/store"
	"github.com/galenaseam/galenaseam/internal/standin/weights"
)

// Error is the class of every error this package returns.
var Error = errs.Class("standin")

// FaultTarget is a stand-in that accepts faults.
type FaultTarget interface {
	Fault(f fault.Fault)
}

// upstreamServer is the interface of every upstream stand-in.
type upstreamServer interface {
	FaultTarget
	Addr() netip.AddrPort
	Stats() server.Stats
	Stop()
}

// Upstream is one running upstream of a deployment.
type Upstream struct {
	upstreamServer
	Listing infra.Listing
	Kind    document.Kind
}

// URLPath returns the URL of a path on the upstream.
func (u *Upstream) URLPath(path string) string { return "http://" + u.Addr().String() + path }

// Engine returns the engine of an upstream of kind generate, and nil for any
// other upstream.
func (u *Upstream) Engine() *model.Engine {
	engine, _ := u.upstreamServer.(*model.Engine)
	return engine
}

// Deployment is a running set of stand-ins. Its fields must not be changed.
type Deployment struct {
	Store    *store.Store
	HostList *hostlist.HostList
	Weights  *weights.Weights
	Ledger   *service.Ledger
	// RunsByReference counts the calls that ran, and CrashesByReference those
	// that crashed an upstream.
	RunsByReference    *ReferenceCounts
	CrashesByReference *ReferenceCounts
	Upstreams          []*Upstream

	control *server.Listener
	spec    Spec
}

// Start starts the stand-ins of spec. If one fails to start, Start stops the
// others and returns the error.
func Start(spec Spec) (*Deployment, error) {
	if len(spec.Places) == 0 {
		return nil, Error.New("the spec has no data centre")
	}
	d := &Deployment{Ledger: service.NewLedger(), RunsByReference: NewReferenceCounts(), CrashesByReference: NewReferenceCounts(), spec: spec}
	if err := d.start(); err != nil {
		d.Stop()
		return nil, Error.Wrap(err)
	}
	return d, nil
}

func (d *Deployment) start() (err error) {
	d.Store, err = store.Start(store.Config{Addr: d.spec.StoreAddr, Delay: d.spec.StoreDelay, Seed: d.spec.Seed})
	if err != nil {
		return err
	}
	d.HostList, err = hostlist.Start(d.spec.HostListAddr, d.spec.HostListLag)
	if err != nil {
		return err
	}
	d.Weights, err = weights.Start(weights.Config{
		ModelBytes: modelWeightBytes, BytesPerSecond: weightBytesPerSecond, MaxDownloads: maxWeightDownloads,
	})
	if err != nil {
		return err
	}
	for _, pool := range d.spec.Pools {
		for range pool.Count {
			if err := d.addUpstream(pool.Pool); err != nil {
				return err
			}
		}
	}
	d.control, err = server.Listen("", d.routes())
	return err
}

// addUpstream starts one upstream of a pool and adds it to the host list.
func (d *Deployment) addUpstream(pool document.Pool) error {
	index := len(d.Upstreams)
	shared := server.UpstreamConfig{
		Concurrency: pool.Concurrency, ReportsLoad: pool.ReportsLoad, LoadInterval: loadInterval,
		Seed: d.spec.Seed + uint64(index) + 1, OnRun: d.RunsByReference.Add, OnCrash: d.CrashesByReference.Add,
	}
	started, err := d.startUpstream(pool, shared)
	if err != nil {
		return err
	}
	listing := infra.Listing{
		Addr: started.Addr(), Pool: pool.Name, Place: d.spec.Places[index%len(d.spec.Places)],
	}
	d.Upstreams = append(d.Upstreams, &Upstream{upstreamServer: started, Listing: listing, Kind: pool.Kind})
	d.HostList.Put(listing)
	return nil
}

// startUpstream starts a stand-in of the pool's kind.
func (d *Deployment) startUpstream(pool document.Pool, shared server.UpstreamConfig) (upstreamServer, error) {
	switch pool.Kind {
	case document.KindEncode:
		return model.StartEncoder(model.PoolConfig{UpstreamConfig: shared, Duration: d.spec.scaleDuration(encodeTime)})
	case document.KindRetrieve:
		return model.StartRetriever(model.PoolConfig{UpstreamConfig: shared, Duration: d.spec.scaleDuration(retrieveTime)})
	case document.KindRerank:
		return model.StartReranker(model.PoolConfig{UpstreamConfig: shared, Duration: d.spec.scaleDuration(rerankTime)})
	case document.KindGenerate:
		return model.StartEngine(d.engineConfig(pool, shared))
	case document.KindService:
		return service.Start(service.Config{
			UpstreamConfig: shared, Name: pool.Name, Duration: d.spec.scaleDuration(serviceTime), Ledger: d.Ledger,
		})
	}
	return nil, Error.New("pool %s: unknown kind %q", pool.Name, pool.Kind)
}

func (d *Deployment) engineConfig(pool document.Pool, shared server.UpstreamConfig) model.EngineConfig {
	var models []model.EngineModel
	for _, m := range d.spec.Models {
		models = append(models, model.EngineModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return model.EngineConfig{
		UpstreamConfig: shared, FirstToken: d.spec.scaleDuration(firstTokenTime),
		PerPromptToken: d.spec.scaleDuration(perPromptTokenTime), PerToken: d.spec.scaleDuration(perTokenTime),
		CacheEventLag: cacheEventLag, CacheEventGap: cacheEventGap,
		Models: models, ChecksFencing: pool.ChecksFencing, WeightsURL: d.Weights.URL(),
	}
}

// Pool returns the upstreams of one pool.
func (d *Deployment) Pool(name string) []*Upstream {
	var members []*Upstream
	for _, u := range d.Upstreams {
		if u.Listing.Pool == name {
			members = append(members, u)
		}
	}
	return members
}

// AddHost adds an entry host to the host list, by the address at which other
// hosts reach it.
func (d *Deployment) AddHost(addr netip.AddrPort, place host.Place) {
	d.HostList.Put(infra.Listing{Addr: addr, Place: place})
}

// RemoveHost removes an entry host from the host list.
func (d *Deployment) RemoveHost(addr netip.AddrPort) { d.HostList.Remove(infra.Listing{Addr: addr}) }

// Leave makes an upstream refuse new work and marks it as leaving in the host
// list.
func (d *Deployment) Leave(u *Upstream) {
	u.Fault(fault.Fault{Kind: fault.Leaving})
	leaving := u.Listing
	leaving.Leaving = true
	d.HostList.Put(leaving)
}

// Return undoes Leave.
func (d *Deployment) Return(u *Upstream) {
	u.Fault(fault.Fault{Kind: fault.Return})
	d.HostList.Put(u.Listing)
}

// StoreURL returns the base URL of the key-value store.
func (d *Deployment) StoreURL() string { return d.Store.URL() }

// HostListURL returns the URL of the host list.
func (d *Deployment) HostListURL() string { return d.HostList.URL() + "/hosts" }

// WeightsURL returns the base URL of the weight store.
func (d *Deployment) WeightsURL() string { return d.Weights.URL() }

// ControlURL returns the base URL of the control API, which accepts faults also
// for stand-ins that are down.
func (d *Deployment) ControlURL() string { return d.control.URL() }

// ExecutionsURL returns the URL that reports how many times each
// Idempotency-Key ran.
func (d *Deployment) ExecutionsURL() string { return d.control.URL() + "/executions" }

// Stop stops every stand-in.
func (d *Deployment) Stop() {
	if d.control != nil {
		d.control.Stop()
	}
	for _, u := range d.Upstreams {
		u.Stop()
	}
	if d.Weights != nil {
		d.Weights.Stop()
	}
	if d.HostList != nil {
		d.HostList.Stop()
	}
	if d.Store != nil {
		d.Store.Stop()
	}
}
