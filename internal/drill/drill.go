// Package drill runs failure drills: real seamd processes of both example
// deployments beside stand-ins in processes of their own, under a mixed load,
// while hosts are killed, paused and drained, the store fails, upstreams fail
// and editors race. At the end it accounts for every request.
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

// Config says what to run.
type Config struct {
	// Seed decides the plan of failures and the load.
	Seed uint64
	// Deployments are the operators' documents, one for each deployment.
	Deployments []Deployment
	// Hosts is the number of entry hosts of each deployment.
	Hosts int
	// Length is how long failures go on.
	Length time.Duration
	// Callers is how many callers each deployment has at once.
	Callers int
	// Poison lets callers send requests that crash the engines which run them.
	Poison bool
	// Seamd and Seamdrill are the programs to run.
	Seamd     string
	Seamdrill string
	// Dir takes settings and logs.
	Dir string
	// Out is told what happens; nil tells nobody. It must be safe for
	// concurrent use.
	Out io.Writer
}

// Deployment is one of the example deployments.
type Deployment struct {
	Name string
	// Path is the file of the operators' document; empty takes the example of
	// the name.
	Path string
	// Upstreams is how many each pool has.
	Upstreams int
}

// settleTime is how long abandoned calls have to come to their end after the
// load.
const settleTime = 4 * time.Second

// run is one drill on its way.
type run struct {
	cfg    Config
	fleets []*fleet
	report *Report
}

// Run runs a drill and returns its account. The error says that the drill
// itself could not be run; what the system did wrong is in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.Out == nil {
		cfg.Out = io.Discard
	}
	r := &run{cfg: cfg, report: &Report{Seed: cfg.Seed}}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	if err := r.load(ctx); err != nil {
		return nil, err
	}
	return r.report, r.account(ctx)
}

// start starts the deployments at once. Those that were begun are ended by stop
// also after an error.
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

// load runs callers, editors and failures, and lets the system come to rest.
func (r *run) load(ctx context.Context) error {
	for _, f := range r.fleets {
		f.measureIdle(ctx)
		if err := f.readOverview(ctx); err != nil {
			return err
		}
		f.before = f.overview.StoreCounts
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
	err := r.fail(ctx)
	if err == nil {
		err = sleep.For(ctx, time.Second) // a last second of load without failures
	}
	stopLoad()
	callers.Wait()
	if err != nil {
		return err
	}
	return r.endLoad(ctx, time.Since(started))
}

// endLoad notes what the store took during the load.
func (r *run) endLoad(ctx context.Context, took time.Duration) error {
	for _, f := range r.fleets {
		if err := f.readOverview(ctx); err != nil {
			return err
		}
		f.after, f.loaded = f.overview.StoreCounts, took
	}
	return nil
}

// fail carries the plan out and waits until every failure has ended.
func (r *run) fail(ctx context.Context) error {
	started := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, e := range Plan(r.cfg.Seed, len(r.fleets), r.cfg.Length) {
		group.Go(func() error {
			if err := sleep.For(ctx, time.Until(started.Add(e.At))); err != nil {
				return err
			}
			return r.fleets[e.Deployment].carryOut(ctx, e)
		})
	}
	return group.Wait()
}
