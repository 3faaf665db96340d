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

// groupsEvery is how often the document is looked at for new model groups.
const groupsEvery = time.Second

// orderTimeout bounds one call that gives or reads back an order.
const orderTimeout = 2 * time.Second

// planners runs a planner for each model group of the document. A planner
// stays when its group goes: it then plans for no models.
type planners struct {
	host   *Host
	client *http.Client
	meter  *measure.Meter
	models *measure.ModelSharing

	startedMu sync.Mutex // guards started
	started   map[string]bool
}

// newPlanners makes the planners of a host.
func newPlanners(h *Host) *planners {
	return &planners{
		host:    h,
		client:  &http.Client{Timeout: orderTimeout},
		meter:   measure.New(h.members, time.Now),
		models:  measure.NewModels(h.members, h.upstreams.ReportModels),
		started: make(map[string]bool),
	}
}

// run starts a planner for each group that the document names, until ctx ends.
func (p *planners) run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.meter.Run(ctx) })
	group.Go(func() error {
		ticker := time.NewTicker(groupsEvery)
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

// newRunners makes a planner for each group that has none yet.
func (p *planners) newRunners() []*planner.Runner {
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

// newRunner makes the planner of one group.
func (p *planners) newRunner(group string) *planner.Runner {
	return planner.NewRunner(planner.Config{
		Group:      group,
		Store:      p.host.otherStore,
		View:       p.host.members,
		Document:   p.host.document,
		Engines:    func() []planner.Engine { return p.engines(group) },
		Demand:     func() []planner.Demand { return p.demand(group) },
		Failures:   func() []planner.Failures { return p.meter.Failures(p.models.Version) },
		Logger:     p.host.logger,
		Registerer: p.host.metrics.Registry(),
	})
}

// engines lists the engines that the models of a group may stand on.
func (p *planners) engines(group string) []planner.Engine {
	doc := p.host.document()
	if doc == nil {
		return nil
	}
	pools := poolsOfGroup(doc, group)
	var engines []planner.Engine
	for _, up := range p.host.upstreams.All() {
		if up.State == upstream.Live && slices.Contains(pools, up.Pool) {
			engine := planner.NewHTTPEngine(up.ID, "http://"+up.Addr.String(), p.client)
			engines = append(engines, p.models.Share(engine))
		}
	}
	return engines
}

// demand returns the fleet's demand of each model of a group.
func (p *planners) demand(group string) []planner.Demand {
	doc := p.host.document()
	if doc == nil {
		return nil
	}
	var demands []planner.Demand
	for _, model := range doc.Models {
		if model.Group == group {
			demands = append(demands, p.meter.Demand(model.Name, perCopy(doc, model.Name)))
		}
	}
	return demands
}

// poolsOfGroup lists the pools whose stages use models of a group.
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

// perCopy is how many attempts one copy of a model runs at once.
func perCopy(doc *document.Document, model string) int {
	for _, stage := range doc.Stages {
		if pool, ok := doc.Pool(stage.Pool); ok && stage.Model == model {
			return pool.Concurrency
		}
	}
	return 1
}
