package planner

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/upstream"
)

// Intervals, timeouts and limits of a Runner.
const (
	roundInterval      = 2 * time.Second
	storeTimeout       = 2 * time.Second
	maxConcurrentReads = 32
	maxCandidates      = 3
)

// Config configures a Runner.
type Config struct {
	// Group names the group of models that this planner plans for.
	Group string
	Store infra.Store
	View  host.View
	// Document returns the document in force, or nil if there is none yet.
	Document func() *document.Document
	// Engines returns the engines that may hold the group's models.
	Engines func() []Engine
	// Demand and Failures return recent measurements. Either may be nil.
	Demand   func() []Demand
	Failures func() []Failures
	Settings Settings
	Logger   *slog.Logger
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
}

// Runner plans for one group while it holds the group's lease.
type Runner struct {
	cfg         Config
	metrics     *metrics
	tenure      *tenure
	plan        Plan
	planVersion infra.Version
	// planRead reports that this host has read the stored plan in this tenure.
	// planWritten reports that it has also written it. The write changes the
	// key's version, so that a late save of an earlier holder conflicts.
	planRead    bool
	planWritten bool
}

// storedPlan is the stored form of a plan.
type storedPlan struct {
	Fencing int64 `cbor:"1,keyasint"`
	Plan    Plan  `cbor:"2,keyasint"`
}

// NewRunner returns a Runner, which plans once Run is called.
func NewRunner(cfg Config) *Runner {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Settings == (Settings{}) {
		cfg.Settings = DefaultSettings()
	}
	return &Runner{cfg: cfg, metrics: newMetrics(cfg.Registerer, cfg.Group)}
}

// Run plans until ctx ends, then revokes the lease and returns ctx's error.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		r.round(ctx)
		select {
		case <-ctx.Done():
			r.resign()
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// round does one planning round: it acquires or renews the lease and, while it
// holds the lease, saves the next plan and sends orders.
func (r *Runner) round(ctx context.Context) {
	if r.tenure == nil {
		if !isCandidate(r.cfg.View, r.cfg.Group) || !r.tryAcquire(ctx) {
			return
		}
	}
	if !r.renewLease(ctx) || !r.tenure.mayOrder(time.Now()) {
		return
	}
	if !r.planRead && r.loadPlan(ctx) != nil {
		return
	}
	in, engines := r.gatherInput(ctx)
	if len(in.Models) == 0 || len(in.Engines) == 0 {
		return
	}
	next := NextPlan(in, r.cfg.Settings)
	if err := r.savePlan(ctx, next); err != nil {
		r.cfg.Logger.Warn("plan not saved", "group", r.cfg.Group, "error", err.Error())
		return
	}
	r.sendOrders(ctx, engines, Commands(in, next, r.cfg.Settings, r.tenure.fencing))
}

// tryAcquire tries to acquire the lease and reports whether it did.
func (r *Runner) tryAcquire(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	tenure, err := acquire(ctx, r.cfg.Store, r.cfg.Group, string(r.cfg.View.Self().ID))
	if err != nil || tenure == nil {
		return false
	}
	r.tenure, r.planRead, r.planWritten = tenure, false, false
	r.metrics.leading.Set(1)
	r.cfg.Logger.Info("planner acquired the lease", "group", r.cfg.Group, "fencing", tenure.fencing)
	return true
}

// renewLease renews the lease. It returns false when the lease is lost; then no
// orders are sent and the last plan stays in force. A failed call alone does not
// end the tenure while validUntil has not passed.
func (r *Runner) renewLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := r.tenure.renew(ctx, r.cfg.Store)
	if errors.Is(err, infra.ErrLeaseGone) || !time.Now().Before(r.tenure.validUntil) {
		r.stepDown("the lease ended")
		return false
	}
	return true
}

// stepDown ends the tenure without revoking the lease, which expires by itself.
func (r *Runner) stepDown(cause string) {
	r.cfg.Logger.Warn("planner stepped down", "group", r.cfg.Group, "fencing", r.tenure.fencing, "cause", cause)
	r.tenure = nil
	r.metrics.leading.Set(0)
}

// resign revokes the lease at shutdown, after the last order has ended.
func (r *Runner) resign() {
	if r.tenure == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = r.cfg.Store.RevokeLease(ctx, r.tenure.lease) // on failure the lease expires by itself
	r.tenure = nil
}

// planKey is the store key of a group's plan.
func planKey(group string) string { return "planner/" + group + "/plan" }

// loadPlan reads the stored plan, after the settling time.
func (r *Runner) loadPlan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.cfg.Store.Get(ctx, planKey(r.cfg.Group))
	if err != nil {
		return Error.Wrap(err)
	}
	r.planVersion, r.plan, r.planRead = entry.Version, Plan{}, true
	if entry.Version == infra.NoVersion {
		return nil
	}
	var stored storedPlan
	if err := cbor.Unmarshal(entry.Value, &stored); err != nil {
		return Error.Wrap(err)
	}
	r.plan = stored.Plan
	return nil
}

// savePlan stores a new plan before any engine gets an order from it. A plan that
// did not change is written once in each tenure.
func (r *Runner) savePlan(ctx context.Context, next Plan) error {
	before, err := cbor.Marshal(r.plan)
	if err != nil {
		return Error.Wrap(err)
	}
	after, err := cbor.Marshal(next)
	if err != nil || (slices.Equal(before, after) && r.planWritten) {
		return Error.Wrap(err)
	}
	value, err := cbor.Marshal(storedPlan{Fencing: r.tenure.fencing, Plan: next})
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := r.cfg.Store.CompareAndSwap(ctx, planKey(r.cfg.Group), r.planVersion, value, infra.NoLease)
	if err != nil {
		r.stepDown("the plan was not saved") // the next holder reads the stored plan
		return Error.Wrap(err)
	}
	r.plan, r.planVersion, r.planWritten = next, version, true
	return nil
}

// gatherInput collects the input of a planning decision and returns it with the
// engines.
func (r *Runner) gatherInput(ctx context.Context) (Input, []Engine) {
	in := Input{Now: time.Now(), Last: r.plan}
	if current := r.cfg.Document(); current != nil {
		for _, model := range current.Models {
			if model.Group == r.cfg.Group {
				in.Models = append(in.Models, model)
			}
		}
	}
	if r.cfg.Demand != nil {
		in.Demand = r.cfg.Demand()
	}
	if r.cfg.Failures != nil {
		in.Failures = r.cfg.Failures()
	}
	engines := r.cfg.Engines()
	in.Engines = readEngineStates(ctx, engines)
	return in, engines
}

// readEngineStates asks every engine what it holds and returns the results
// ordered by engine ID.
func readEngineStates(ctx context.Context, engines []Engine) []ObservedEngine {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var mu sync.Mutex
	var observed []ObservedEngine
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for _, engine := range engines {
		group.Go(func() error {
			state, err := engine.State(ctx)
			mu.Lock()
			defer mu.Unlock()
			observed = append(observed, ObservedEngine{ID: engine.ID(), Answered: err == nil, State: state})
			return nil
		})
	}
	_ = group.Wait() // the functions never return an error
	slices.SortFunc(observed, func(a, b ObservedEngine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return observed
}

// sendOrders sends the orders one after another. It checks before each of them
// that the lease is still valid.
func (r *Runner) sendOrders(ctx context.Context, engines []Engine, commands []Command) {
	for _, command := range commands {
		engine := findEngine(engines, command.Engine)
		now := time.Now()
		if engine == nil || !r.tenure.mayOrder(now) {
			continue
		}
		if err := r.sendOrder(ctx, engine, command.Order, now); errors.Is(err, ErrStaleOrder) {
			r.stepDown("an engine has heard a later holder")
			return
		}
	}
}

// sendOrder sends one order. Its timeout ends no later than the lease's validity.
func (r *Runner) sendOrder(ctx context.Context, engine Engine, order Order, now time.Time) error {
	deadline := now.Add(orderTimeout)
	if r.tenure.validUntil.Before(deadline) {
		deadline = r.tenure.validUntil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	_, err := engine.Order(ctx, order)
	r.metrics.countOrder(err)
	attrs := []any{"group", r.cfg.Group, "engine", string(engine.ID()), "fencing", order.Fencing}
	if err != nil {
		r.cfg.Logger.Warn("order failed", append(attrs, "error", err.Error())...)
		return err
	}
	r.cfg.Logger.Info("order accepted", attrs...)
	return nil
}

// findEngine returns the engine with an ID, or nil if it is no longer listed.
func findEngine(engines []Engine, id upstream.ID) Engine {
	for _, engine := range engines {
		if engine.ID() == id {
			return engine
		}
	}
	return nil
}
