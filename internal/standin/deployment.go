// Package standin starts a whole deployment's surroundings in one process on
// loopback addresses: the platform's services and pools of upstreams. Each can
// be told over HTTP to fail.
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

// Faulty is a stand-in that can be told to fail.
type Faulty interface {
	Fault(f fault.Fault)
}

// running is what every upstream stand-in can do.
type running interface {
	Faulty
	Addr() netip.AddrPort
	Stats() server.Stats
	Stop()
}

// Upstream is one running upstream of a deployment.
type Upstream struct {
	running
	Listing infra.Listing
	Kind    document.Kind
}

// URLPath returns the URL of a path on the upstream.
func (u *Upstream) URLPath(path string) string { return "http://" + u.Addr().String() + path }

// Engine returns the engine behind a generate upstream, or nil.
func (u *Upstream) Engine() *model.Engine {
	engine, _ := u.running.(*model.Engine)
	return engine
}

// Deployment is a running set of stand-ins. Its fields must not be changed.
type Deployment struct {
	Store    *store.Store
	HostList *hostlist.HostList
	Weights  *weights.Weights
	Ledger   *service.Ledger
	// Marks counts the calls that ran, and Crashes those that crashed an
	// upstream.
	Marks     *Marks
	Crashes   *Marks
	Upstreams []*Upstream

	control *server.Listener
	spec    Spec
}

// Start starts everything in spec. On an error nothing is left running.
func Start(spec Spec) (*Deployment, error) {
	if len(spec.Places) == 0 {
		return nil, Error.New("no data centre")
	}
	d := &Deployment{Ledger: service.NewLedger(), Marks: NewMarks(), Crashes: NewMarks(), spec: spec}
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
		ModelBytes: weightBytes, BytesPerSecond: weightBytesPerSecond, Downloads: weightDownloads,
	})
	if err != nil {
		return err
	}
	for _, pool := range d.spec.Pools {
		for range pool.Count {
			if err := d.add(pool.Pool); err != nil {
				return err
			}
		}
	}
	d.control, err = server.Listen("", d.routes())
	return err
}

// add starts one upstream of a pool and lists it.
func (d *Deployment) add(pool document.Pool) error {
	index := len(d.Upstreams)
	shared := server.UpstreamConfig{
		Concurrency: pool.Concurrency, ReportsLoad: pool.ReportsLoad, LoadInterval: loadInterval,
		Seed: d.spec.Seed + uint64(index) + 1, Ran: d.Marks.Note, Crashed: d.Crashes.Note,
	}
	started, err := d.launch(pool, shared)
	if err != nil {
		return err
	}
	listing := infra.Listing{
		Addr: started.Addr(), Pool: pool.Name, Place: d.spec.Places[index%len(d.spec.Places)],
	}
	d.Upstreams = append(d.Upstreams, &Upstream{running: started, Listing: listing, Kind: pool.Kind})
	d.HostList.Put(listing)
	return nil
}

// launch starts the stand-in for a pool's kind.
func (d *Deployment) launch(pool document.Pool, shared server.UpstreamConfig) (running, error) {
	switch pool.Kind {
	case document.KindEncode:
		return model.StartEncoder(model.PoolConfig{UpstreamConfig: shared, Duration: d.spec.paced(encodeTime)})
	case document.KindRetrieve:
		return model.StartRetriever(model.PoolConfig{UpstreamConfig: shared, Duration: d.spec.paced(retrieveTime)})
	case document.KindRerank:
		return model.StartReranker(model.PoolConfig{UpstreamConfig: shared, Duration: d.spec.paced(rerankTime)})
	case document.KindGenerate:
		return model.StartEngine(d.engineConfig(pool, shared))
	case document.KindService:
		return service.Start(service.Config{
			UpstreamConfig: shared, Name: pool.Name, Duration: d.spec.paced(serviceTime), Ledger: d.Ledger,
		})
	}
	return nil, Error.New("pool %s: unknown kind %q", pool.Name, pool.Kind)
}

func (d *Deployment) engineConfig(pool document.Pool, shared server.UpstreamConfig) model.EngineConfig {
	var models []model.Loaded
	for _, m := range d.spec.Models {
		models = append(models, model.Loaded{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return model.EngineConfig{
		UpstreamConfig: shared, FirstToken: d.spec.paced(firstTokenTime),
		PerPromptToken: d.spec.paced(perPromptToken), PerToken: d.spec.paced(perTokenTime),
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

// AddHost lists an entry host by the address at which other hosts reach it.
func (d *Deployment) AddHost(addr netip.AddrPort, place host.Place) {
	d.HostList.Put(infra.Listing{Addr: addr, Place: place})
}

// RemoveHost takes an entry host out of the list.
func (d *Deployment) RemoveHost(addr netip.AddrPort) { d.HostList.Remove(infra.Listing{Addr: addr}) }

// Leave makes an upstream refuse new work and marks it in the host list.
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

// StoreURL is the base address of the key-value service.
func (d *Deployment) StoreURL() string { return d.Store.URL() }

// HostListURL is the address of the host list.
func (d *Deployment) HostListURL() string { return d.HostList.URL() + "/hosts" }

// WeightsURL is the base address of the weight store.
func (d *Deployment) WeightsURL() string { return d.Weights.URL() }

// ControlURL is the base address at which stand-ins are told to fail, also
// while they are down.
func (d *Deployment) ControlURL() string { return d.control.URL() }

// ExecutionsURL answers how many times each Idempotency-Key ran.
func (d *Deployment) ExecutionsURL() string { return d.control.URL() + "/executions" }

// Stop ends every stand-in.
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
