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

// The runner's timers and bounds.
const (
	roundInterval   = 2 * time.Second
	storeTimeout    = 2 * time.Second
	enginesAtOnce   = 32
	candidatesCount = 3
)

// Config is what a Runner works with.
type Config struct {
	// Group names the models that this planner decides on.
	Group string
	Store infra.Store
	View  host.View
	// Document returns what is in force; nil before anything is.
	Document func() *document.Document
	// Engines returns the engines of the group.
	Engines func() []Engine
	// Demand and Failures return what was measured lately.
	Demand   func() []Demand
	Failures func() []Failures
	Settings Settings
	Logger   *slog.Logger
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
}

// Runner plans for one group while it holds the group's lease.
type Runner struct {
	cfg     Config
	metrics *metrics
	tenure  *tenure
	plan    Plan
	planAt  infra.Version
	// read and written say that this tenure has read the plan that stands, and
	// has written it, so that no save of an earlier holder can come after.
	read    bool
	written bool
}

// storedPlan is the plan as it lies in the store.
type storedPlan struct {
	Fencing int64 `cbor:"1,keyasint"`
	Plan    Plan  `cbor:"2,keyasint"`
}

// NewRunner makes a Runner.
func NewRunner(cfg Config) *Runner {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Settings == (Settings{}) {
		cfg.Settings = DefaultSettings()
	}
	return &Runner{cfg: cfg, metrics: newMetrics(cfg.Registerer, cfg.Group)}
}

// Run plans until ctx ends, and returns ctx's error. It gives the lease back.
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

// round does one round of a candidate or a holder.
func (r *Runner) round(ctx context.Context) {
	if r.tenure == nil {
		if !isCandidate(r.cfg.View, r.cfg.Group) || !r.takeOver(ctx) {
			return
		}
	}
	if !r.keep(ctx) || !r.tenure.mayOrder(time.Now()) {
		return
	}
	if !r.read && r.loadPlan(ctx) != nil {
		return
	}
	in, engines := r.gather(ctx)
	if len(in.Models) == 0 || len(in.Engines) == 0 {
		return
	}
	next := Next(in, r.cfg.Settings)
	if err := r.save(ctx, next); err != nil {
		r.cfg.Logger.Warn("plan not saved", "group", r.cfg.Group, "error", err.Error())
		return
	}
	r.give(ctx, engines, Commands(in, next, r.cfg.Settings, r.tenure.fencing))
}

// takeOver tries to become the holder.
func (r *Runner) takeOver(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	tenure, err := acquire(ctx, r.cfg.Store, r.cfg.Group, string(r.cfg.View.Self().ID))
	if err != nil || tenure == nil {
		return false
	}
	r.tenure, r.read, r.written = tenure, false, false
	r.metrics.leading.Set(1)
	r.cfg.Logger.Info("planner took over", "group", r.cfg.Group, "fencing", tenure.fencing)
	return true
}

// keep renews the lease when it is time to. It returns false when the lease
// is lost; then nothing is ordered and the last plan stands.
func (r *Runner) keep(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := r.tenure.renew(ctx, r.cfg.Store)
	if errors.Is(err, infra.ErrLeaseGone) || !time.Now().Before(r.tenure.validUntil) {
		r.stepDown("the lease ended")
		return false
	}
	return true
}

// stepDown ends a tenure. The lease ends by itself.
func (r *Runner) stepDown(cause string) {
	r.cfg.Logger.Warn("planner stepped down", "group", r.cfg.Group, "fencing", r.tenure.fencing, "cause", cause)
	r.tenure = nil
	r.metrics.leading.Set(0)
}

// resign gives the lease back at shutdown, after the last order has ended.
func (r *Runner) resign() {
	if r.tenure == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_ = r.cfg.Store.RevokeLease(ctx, r.tenure.lease) // it ends by itself otherwise
	r.tenure = nil
}

// planKey is where the plan of a group lies.
func planKey(group string) string { return "planner/" + group + "/plan" }

// loadPlan reads the plan that stands, after the settling time.
func (r *Runner) loadPlan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.cfg.Store.Get(ctx, planKey(r.cfg.Group))
	if err != nil {
		return Error.Wrap(err)
	}
	r.planAt, r.plan, r.read = entry.Version, Plan{}, true
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

// save puts a new plan into the store before any engine hears of it.
func (r *Runner) save(ctx context.Context, next Plan) error {
	before, err := cbor.Marshal(r.plan)
	if err != nil {
		return Error.Wrap(err)
	}
	after, err := cbor.Marshal(next)
	if err != nil || (slices.Equal(before, after) && r.written) {
		return Error.Wrap(err)
	}
	value, err := cbor.Marshal(storedPlan{Fencing: r.tenure.fencing, Plan: next})
	if err != nil {
		return Error.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := r.cfg.Store.CompareAndSwap(ctx, planKey(r.cfg.Group), r.planAt, value, infra.NoLease)
	if err != nil {
		r.stepDown("the plan was not saved") // whoever leads next reads what stands
		return Error.Wrap(err)
	}
	r.plan, r.planAt, r.written = next, version, true
	return nil
}

// gather collects what a decision depends on.
func (r *Runner) gather(ctx context.Context) (Input, []Engine) {
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
	in.Engines = readBack(ctx, engines)
	return in, engines
}

// readBack asks every engine what it holds.
func readBack(ctx context.Context, engines []Engine) []Seen {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var mu sync.Mutex
	var seen []Seen
	var group errgroup.Group
	group.SetLimit(enginesAtOnce)
	for _, engine := range engines {
		group.Go(func() error {
			state, err := engine.State(ctx)
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, Seen{ID: engine.ID(), Answered: err == nil, State: state})
			return nil
		})
	}
	_ = group.Wait() // its functions return no error
	slices.SortFunc(seen, func(a, b Seen) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return seen
}

// give gives orders, each only while the lease is surely valid.
func (r *Runner) give(ctx context.Context, engines []Engine, commands []Command) {
	for _, command := range commands {
		engine := engineOf(engines, command.Engine)
		now := time.Now()
		if engine == nil || !r.tenure.mayOrder(now) {
			continue
		}
		if err := r.giveOne(ctx, engine, command.Order, now); errors.Is(err, ErrStaleOrder) {
			r.stepDown("an engine has heard a later holder")
			return
		}
	}
}

// giveOne gives one order, which ends before the lease does.
func (r *Runner) giveOne(ctx context.Context, engine Engine, order Order, now time.Time) error {
	ends := now.Add(orderTimeout)
	if r.tenure.validUntil.Before(ends) {
		ends = r.tenure.validUntil
	}
	ctx, cancel := context.WithDeadline(ctx, ends)
	defer cancel()
	_, err := engine.Order(ctx, order)
	r.metrics.ordered(err)
	attrs := []any{"group", r.cfg.Group, "engine", string(engine.ID()), "fencing", order.Fencing}
	if err != nil {
		r.cfg.Logger.Warn("order failed", append(attrs, "error", err.Error())...)
		return err
	}
	r.cfg.Logger.Info("order given", attrs...)
	return nil
}

// engineOf finds an engine by its ID; nil when it has gone.
func engineOf(engines []Engine, id upstream.ID) Engine {
	for _, engine := range engines {
		if engine.ID() == id {
			return engine
		}
	}
	return nil
}
