// Package drill runs failure drills. It starts real seamd processes for both
// example deployments, with stand-ins in processes of their own, and sends them a
// mixed load while it kills, pauses and drains hosts, makes the store and
// upstreams fail, and lets several editors change the document concurrently. At
// the end it checks its invariants against every request.
package drill

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of every error this package returns.
var Error = errs.Class("drill")

// Config describes a drill.
type Config struct {
	// Seed determines the planned failures and the load.
	Seed uint64
	// Deployments are the operators' documents, one for each deployment.
	Deployments []Deployment
	// Hosts is the number of entry hosts of each deployment.
	Hosts int
	// Length is how long failures are injected.
	Length time.Duration
	// Callers is the number of concurrent callers of each deployment.
	Callers int
	// CrashEngines makes callers also send requests that crash the engines that
	// run them.
	CrashEngines bool
	// Seamd and Seamdrill are the paths of the programs to run.
	Seamd     string
	Seamdrill string
	// Dir is the directory for settings and logs.
	Dir string
	// Out receives a log of the injected failures; nil discards it. It must be
	// safe for concurrent use.
	Out io.Writer
}

// Deployment is one of the example deployments.
type Deployment struct {
	Name string
	// Path is the file of the operators' document. If it is empty, the built-in
	// example called Name is used.
	Path string
	// Upstreams is the number of upstreams in each pool.
	Upstreams int
}

// settleTime is how long the drill waits after the load so that calls which the
// callers abandoned can finish.
const settleTime = 4 * time.Second

// run is a drill in progress.
type run struct {
	cfg    Config
	fleets []*fleet
	report *Report
}

// Run runs a drill and returns its report. It returns an error if the drill itself
// could not run; violated invariants are in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.Out == nil {
		cfg.Out = io.Discard
	}
	r := &run{cfg: cfg, report: &Report{Seed: cfg.Seed}}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if err := r.runLoad(ctx); err != nil {
		return nil, err
	}
	return r.report, r.checkInvariants(ctx)
}

// start starts all deployments concurrently. On an error, stop still ends the
// processes that were started.
func (r *run) start(ctx context.Context) error {
	r.fleets = make([]*fleet, len(r.cfg.Deployments))
	group, ctx := errgroup.WithContext(ctx)
	for index, deployment := range r.cfg.Deployments {
		group.Go(func() (err error) {
			r.fleets[index], err = startFleet(ctx, r.cfg, index, deployment)
			return err
		})
	}
	return group.Wait()
}

// stop ends every process that the drill started.
func (r *run) stop() {
	for _, f := range r.fleets {
		f.stop()
	}
}

// runLoad runs callers, editors and failures until every planned failure has
// ended, and then stops the load.
func (r *run) runLoad(ctx context.Context) error {
	for _, f := range r.fleets {
		f.measureIdle(ctx)
		if err := f.readOverview(ctx); err != nil {
			return err
		}
		f.storeBefore = f.overview.StoreCounts
	}
	started := time.Now()
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var callers sync.WaitGroup
	for _, f := range r.fleets {
		f.startCallers(loading, &callers)
		f.startEditors(loading, &callers)
		f.startObserver(loading, &callers)
	}
	err := r.executePlan(ctx)
	if err == nil {
		err = sleep.For(ctx, time.Second) // one more second of load without failures
	}
	stopLoad()
	callers.Wait()
	if err != nil {
		return err
	}
	return r.endLoad(ctx, time.Since(started))
}

// endLoad records the store's call counts at the end of the load.
func (r *run) endLoad(ctx context.Context, duration time.Duration) error {
	for _, f := range r.fleets {
		if err := f.readOverview(ctx); err != nil {
			return err
		}
		f.storeAfter, f.loadDuration = f.overview.StoreCounts, duration
	}
	return nil
}

// executePlan executes the planned events and waits until every failure has
// ended.
func (r *run) executePlan(ctx context.Context) error {
	started := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range Plan(r.cfg.Seed, len(r.fleets), r.cfg.Length) {
		group.Go(func() error {
			if err := sleep.For(ctx, time.Until(started.Add(e.At))); err != nil {
				return err
			}
			return r.fleets[e.Deployment].execute(ctx, e)
		})
	}
	return group.Wait()
}
