package galenaseam

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/planner"
	"github.com/galenaseam/galenaseam/planner/measure"
	"github.com/galenaseam/galenaseam/upstream"
)

// groupPollInterval is the interval between two checks of the document for new
// model groups.
const groupPollInterval = time.Second

// orderTimeout bounds a call that sends an order to an engine or reads the
// engine's state.
const orderTimeout = 2 * time.Second

// groupPlanners runs a planner for each model group of the document. The planner
// of a group that was removed keeps running, with no models to plan for.
type groupPlanners struct {
	host         *Host
	client       *http.Client
	meter        *measure.Meter
	modelSharing *measure.ModelSharing

	startedMu sync.Mutex // guards started
	started   map[string]bool
}

// newPlanners returns the planners of a host, which start when run is called.
func newPlanners(h *Host) *groupPlanners {
	return &groupPlanners{
		host:         h,
		client:       &http.Client{Timeout: orderTimeout},
		meter:        measure.New(h.membership, time.Now),
		modelSharing: measure.NewModelSharing(h.membership, h.upstreams.ReportModels),
		started:      make(map[string]bool),
	}
}

// run starts a planner for each group that the document names, also for groups
// that appear later. It returns when ctx ends.
func (p *groupPlanners) run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.meter.Run(ctx) })
	group.Go(func() error {
		ticker := time.NewTicker(groupPollInterval)
		defer ticker.Stop()
		for {
			for _, runner := range p.newRunners() {
				group.Go(func() error { return runner.Run(ctx) })
			}
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
	return group.Wait()
}

// newRunners returns a new planner for each group that has none yet.
func (p *groupPlanners) newRunners() []*planner.Runner {
	doc := p.host.document()
	if doc == nil {
		return nil
	}
	p.startedMu.Lock()
	defer p.startedMu.Unlock()
	var runners []*planner.Runner
	for _, model := range doc.Models {
		if model.Group != "" && !p.started[model.Group] {
			p.started[model.Group] = true
			runners = append(runners, p.newRunner(model.Group))
		}
	}
	return runners
}

// newRunner returns a new planner for one group.
func (p *groupPlanners) newRunner(group string) *planner.Runner {
	return planner.NewRunner(planner.Config{
		Group:      group,
		Store:      p.host.otherStore,
		View:       p.host.membership,
		Document:   p.host.document,
		Engines:    func() []planner.Engine { return p.engines(group) },
		Demand:     func() []planner.Demand { return p.demand(group) },
		Failures:   func() []planner.Failures { return p.meter.Failures(p.modelSharing.Version) },
		Logger:     p.host.logger,
		Registerer: p.host.metrics.Registry(),
	})
}

// engines returns the live engines of the pools that serve models of a group.
func (p *groupPlanners) engines(group string) []planner.Engine {
	doc := p.host.document()
	if doc == nil {
		return nil
	}
	pools := poolsOfGroup(doc, group)
	var engines []planner.Engine
	for _, up := range p.host.upstreams.All() {
		if up.State == upstream.Live && slices.Contains(pools, up.Pool) {
			engine := planner.NewHTTPEngine(up.ID, "http://"+up.Addr.String(), p.client)
			engines = append(engines, p.modelSharing.Share(engine))
		}
	}
	return engines
}

// demand returns the fleet's demand for each model of a group.
func (p *groupPlanners) demand(group string) []planner.Demand {
	doc := p.host.document()
	if doc == nil {
		return nil
	}
	var demands []planner.Demand
	for _, model := range doc.Models {
		if model.Group == group {
			demands = append(demands, p.meter.Demand(model.Name, copyConcurrency(doc, model.Name)))
		}
	}
	return demands
}

// poolsOfGroup returns the pools whose stages use models of a group.
func poolsOfGroup(doc *document.Document, group string) []string {
	var pools []string
	for _, stage := range doc.Stages {
		model, ok := doc.Model(stage.Model)
		if ok && model.Group == group && !slices.Contains(pools, stage.Pool) {
			pools = append(pools, stage.Pool)
		}
	}
	return pools
}

// copyConcurrency returns how many attempts one copy of a model runs at once: the
// concurrency of the pool of the first stage that uses the model.
func copyConcurrency(doc *document.Document, model string) int {
	for _, stage := range doc.Stages {
		if pool, ok := doc.Pool(stage.Pool); ok && stage.Model == model {
			return pool.Concurrency
		}
	}
	return 1
}
