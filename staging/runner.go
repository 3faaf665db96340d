package staging

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/routing"
)

// The calls between hosts.
const (
	gatherMethod link.Method = "staging.Gather"
	freeMethod   link.Method = "staging.Free"
)

// How a host reaches the gatherers.
const (
	// gatherSlack is how much longer than the work's own time the way to the
	// gatherer and back may take.
	gatherSlack = 150 * time.Millisecond
	// lifeInterval is how often the membership is asked whether a gatherer that
	// has not answered yet still lives.
	lifeInterval = 250 * time.Millisecond
	// gatherTries is how many gatherers a group is given to.
	gatherTries = 3
	// waitShare is how many times its fixed duration a stage takes, with the
	// wait for its turn and other requests' pieces in the call.
	waitShare = 3 / 2.0
)

// Failure is why a request's stages could not be done.
type Failure struct {
	Stage   int
	Service string
	Reason  call.PieceFailure
	// Wait is how long the service's queue was; 0 when not known.
	Wait time.Duration
}

// Error makes a Failure an error.
func (f *Failure) Error() string {
	return "stage on service " + f.Service + " failed: " + f.Reason.String()
}

// Runner runs the stages of this host's requests. It is safe for concurrent
// use.
type Runner struct {
	config RunnerConfig

	mu    sync.Mutex // guards waits
	waits map[string]wait
}

// wait is what a service's gatherer said of its queue.
type wait struct {
	wait time.Duration
	at   time.Time
}

// RunnerConfig is what a Runner is made of.
type RunnerConfig struct {
	Owners   *ownership.Table
	Caller   link.Caller
	Gatherer *Gatherer
	// Service describes a service of the configuration in force.
	Service func(name string) (*routing.Service, bool)
	Logger  *slog.Logger
}

// NewRunner makes a runner and serves other hosts' groups on the registrar.
func NewRunner(config RunnerConfig, registrar link.Registrar) *Runner {
	r := &Runner{config: config, waits: make(map[string]wait)}
	link.HandleTyped(registrar, gatherMethod, func(ctx context.Context, g Group) (gathered, error) {
		results := config.Gatherer.Gather(ctx, g)
		return gathered{Results: results, Wait: config.Gatherer.Wait(g.Service)}, nil
	})
	link.HandleTyped(registrar, freeMethod, func(_ context.Context, f freed) (struct{}, error) {
		config.Gatherer.Free(f.Handles)
		return struct{}{}, nil
	})
	return r
}

type gathered struct {
	Results []call.PieceResult `cbor:"1,keyasint"`
	// Wait is how long a group that comes now waits for its turn.
	Wait time.Duration `cbor:"2,keyasint"`
}

type freed struct {
	Handles []string `cbor:"1,keyasint"`
}

// Work is what a request asks of its stages.
type Work struct {
	Request *call.Request
	Stages  []routing.Stage
	// Deadline is when the last stage must be done for the request to be of
	// use, Aim when it should be done for the answer to be in time.
	Deadline time.Time
	Aim      time.Time
	Priority int
	// Home is the data centre of the engine that is likely to run the request.
	Home host.DataCentre
}

// Results are the results of a request's stages. Free them.
type Results struct {
	Inputs []string
	// Bytes is how much of the inputs lies in each data centre.
	Bytes  map[host.DataCentre]int64
	runner *Runner

	mu      sync.Mutex              // guards what follows
	spent   map[string][]string     // results by the service that made them
	centres map[int]host.DataCentre // where the first result of each stage lies
}

// Run does the stages of a request and returns the results that it needs. When
// a result was lost before it was used, all is done once more. The error is a
// *Failure, or ctx's.
func (r *Runner) Run(ctx context.Context, w Work) (*Results, error) {
	for !r.config.Owners.Formed(time.Now()) {
		if err := sleep.For(ctx, moveInterval); err != nil {
			return nil, err
		}
	}
	results, err := r.runOnce(ctx, w)
	if f := IsFailure(err); f != nil && f.Reason == call.PieceInputGone {
		r.config.Logger.Warn("stages begun again", "request", w.Request.ID, "service", f.Service, "stage", f.Stage,
			"reason", f.Reason.String())
		return r.runOnce(ctx, w)
	}
	return results, err
}

// runOnce does the stages of a request.
func (r *Runner) runOnce(ctx context.Context, w Work) (*Results, error) {
	g, err := newGraph(w.Stages, w.Request.Pieces)
	if err != nil {
		return nil, err
	}
	if late := r.foresee(w, g, time.Now()); late != nil {
		return nil, late
	}
	results := &Results{runner: r, spent: make(map[string][]string), centres: make(map[int]host.DataCentre), Bytes: make(map[host.DataCentre]int64)}
	group, ctx := errgroup.WithContext(ctx)
	done := make([]chan struct{}, len(w.Stages))
	for i := range done {
		done[i] = make(chan struct{})
	}
	for i := range w.Stages {
		group.Go(func() error {
			waits := w.Stages[i].After
			if after := r.startAfter(g, i); after >= 0 {
				waits = []int{after}
			}
			for _, before := range waits {
				select {
				case <-done[before]:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if err := r.runStage(ctx, w, g, i, results); err != nil {
				return err
			}
			close(done[i])
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		results.Free()
		return nil, err
	}
	results.Inputs = g.results()
	return results, nil
}

// runStage does one stage whose inputs are there, and gives the inputs up.
func (r *Runner) runStage(ctx context.Context, w Work, g *graph, stage int, results *Results) error {
	if g.pieces[stage] == 0 {
		return nil
	}
	inputs := g.inputs(stage)
	now := time.Now()
	group := Group{
		Service: w.Stages[stage].Service, RequestID: w.Request.ID, Stage: stage, Pieces: g.pieces[stage],
		Inputs: inputs, Remaining: w.Deadline.Sub(now) - r.following(g, stage), Aim: w.Aim.Sub(now) - r.following(g, stage),
		ResultBytes: w.Stages[stage].ResultBytes, Priority: w.Priority,
	}
	if len(w.Stages[stage].After) == 0 {
		group.Key = w.Request.PiecesKey
	}
	group.Near, group.MovedBytes = results.nearest(w, g, stage)
	group.Scarce = r.holdsScarce(g, stage)
	pieces, err := r.gather(ctx, group)
	if err != nil {
		return err
	}
	handles := make([]string, 0, len(pieces))
	for _, p := range pieces {
		if p.Handle != "" {
			handles = append(handles, p.Handle)
		}
	}
	results.keep(group.Service, handles)
	results.place(stage, pieces)
	if g.isLast(stage) {
		results.count(pieces, group.ResultBytes)
	}
	if reason := failure(pieces); reason != call.PieceDone {
		wait, _ := r.waitOf(group.Service)
		return &Failure{Stage: stage, Service: group.Service, Reason: reason, Wait: wait}
	}
	g.handles[stage] = handles
	for _, before := range w.Stages[stage].After {
		if g.onlyFollower(before, stage) {
			results.freeOf(w.Stages[before].Service, g.handles[before])
		}
	}
	return nil
}

// following is about how long the stages take that come after one.
func (r *Runner) following(g *graph, stage int) time.Duration {
	longest := time.Duration(0)
	for i, s := range g.stages {
		if g.pieces[i] == 0 || !slices.Contains(s.After, stage) {
			continue
		}
		longest = max(longest, r.pathTime(g, i))
	}
	return longest
}

// waitMaxAge is how long a gatherer's word on its queue is taken for true.
const waitMaxAge = 700 * time.Millisecond

// foresee finds the first stage whose queue is known to be too long for the
// request to be of use, so that it is refused before anything is done for it.
func (r *Runner) foresee(w Work, g *graph, now time.Time) error {
	for i, s := range g.stages {
		if g.pieces[i] == 0 {
			continue
		}
		wait, known := r.waitOf(s.Service)
		if known && now.Add(wait+r.following(g, i)).After(w.Deadline) {
			return &Failure{Stage: i, Service: s.Service, Reason: call.PieceOverload, Wait: wait}
		}
	}
	return nil
}

// waitOf is how long a service's queue was of late, if that is known.
func (r *Runner) waitOf(service string) (wait time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.waits[service]; time.Since(w.at) < waitMaxAge {
		return w.wait, true
	}
	return 0, false
}

// startAfter is the stage whose end a stage with large results waits for, so
// that they do not take memory while slower stages beside it run: the last one
// on their path after which there is as much to do still. It is -1 for none.
func (r *Runner) startAfter(g *graph, stage int) int {
	if len(g.stages[stage].After) > 0 || g.stages[stage].ResultBytes < heavyBytes {
		return -1
	}
	own := r.pathTime(g, stage)
	next, longest := -1, own
	for i, s := range g.stages {
		if len(s.After) == 0 && g.pieces[i] > 0 && r.pathTime(g, i) > longest {
			next, longest = i, r.pathTime(g, i)
		}
	}
	after := -1
	for next >= 0 && r.following(g, next) >= own {
		after = next
		next = r.longestFollower(g, after)
	}
	return after
}

// longestFollower is the stage after one that takes longest to the end; -1 for
// none.
func (r *Runner) longestFollower(g *graph, stage int) int {
	best, longest := -1, time.Duration(0)
	for i, s := range g.stages {
		if g.pieces[i] > 0 && slices.Contains(s.After, stage) && r.pathTime(g, i) > longest {
			best, longest = i, r.pathTime(g, i)
		}
	}
	return best
}

// pathTime is about how long a stage and what follows it take.
func (r *Runner) pathTime(g *graph, stage int) time.Duration {
	return r.stageTime(g, stage) + r.following(g, stage)
}

// stageTime is about how long a stage takes.
func (r *Runner) stageTime(g *graph, stage int) time.Duration {
	described, known := r.config.Service(g.stages[stage].Service)
	if !known || described.Stages == nil {
		return 0
	}
	spec := described.Stages
	return time.Duration(waitShare*float64(spec.CallTime)) + time.Duration(g.pieces[stage])*spec.PieceTime
}

// scarcePart is the part of one server's memory from which a group's inputs are
// scarce.
const scarcePart = 20

// holdsScarce says whether a stage's inputs take much of the memory of the
// servers that keep them.
func (r *Runner) holdsScarce(g *graph, stage int) bool {
	for _, before := range g.stages[stage].After {
		described, known := r.config.Service(g.stages[before].Service)
		if !known || described.Stages == nil {
			continue
		}
		if int64(g.pieces[before])*g.stages[before].ResultBytes >= described.Stages.ResultRoom/scarcePart {
			return true
		}
	}
	return false
}

// onlyFollower says whether a stage's results serve one other stage alone.
func (g *graph) onlyFollower(stage, follower int) bool {
	for i, s := range g.stages {
		for _, before := range s.After {
			if before == stage && i != follower {
				return false
			}
		}
	}
	return true
}

// gather has a group's pieces run by the host that gathers for their service,
// or by the next one if that host can't be reached.
func (r *Runner) gather(ctx context.Context, g Group) ([]call.PieceResult, error) {
	begun := time.Now()
	var before host.ID
	for try := 0; ; try++ {
		passed := time.Since(begun)
		left := g
		left.Remaining -= passed
		left.Aim -= passed
		owner, own := r.config.Owners.Owner(g.Service, time.Now())
		left.Stay = owner.ID == before
		before = owner.ID
		results, err := r.gatherAt(ctx, owner, own, left)
		if err == nil && failure(results) == call.PieceMoved && !left.Stay {
			_ = sleep.For(ctx, moveInterval)
			continue
		}
		if err == nil {
			return results, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r.config.Owners.Avoid(owner.ID, time.Now())
		r.config.Logger.Warn("gatherer failed", "request", g.RequestID, "service", g.Service,
			"gatherer", string(owner.ID), "stage", g.Stage, "try", try+1, "error", err.Error())
		if try+1 >= gatherTries {
			return r.config.Gatherer.Gather(ctx, left), ctx.Err()
		}
	}
}

// moveInterval is left to the membership to name the new gatherer.
const moveInterval = 30 * time.Millisecond

// gatherAt gives a group to a host, which may be the local one.
func (r *Runner) gatherAt(ctx context.Context, owner host.Info, own bool, g Group) ([]call.PieceResult, error) {
	if !own {
		return r.ask(ctx, owner, g)
	}
	results := r.config.Gatherer.Gather(ctx, g)
	return results, ctx.Err()
}

// ask gives a group to another host.
func (r *Runner) ask(ctx context.Context, owner host.Info, g Group) ([]call.PieceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Remaining+gatherSlack)
	defer cancel()
	go r.cancelWhenDead(ctx, cancel, owner.ID)
	got, err := link.CallRepeatable[Group, gathered](ctx, r.config.Caller, owner.LinkAddr, gatherMethod, g)
	if err != nil {
		return nil, err
	}
	if len(got.Results) != g.Pieces {
		return nil, Error.New("gatherer returned %d results for %d pieces", len(got.Results), g.Pieces)
	}
	r.mu.Lock()
	r.waits[g.Service] = wait{wait: got.Wait, at: time.Now()}
	r.mu.Unlock()
	return got.Results, nil
}

// cancelWhenDead ends a call when the membership no longer hears its peer: a
// frozen or partitioned host does not answer.
func (r *Runner) cancelWhenDead(ctx context.Context, cancel context.CancelFunc, peer host.ID) {
	ticker := time.NewTicker(lifeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !r.config.Owners.Lives(peer) {
				cancel()
				return
			}
		}
	}
}

// place notes where a stage's results lie.
func (s *Results) place(stage int, pieces []call.PieceResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range pieces {
		if p.Handle != "" {
			s.centres[stage] = p.DataCentre
			return
		}
	}
}

// count counts the bytes that the engine will read.
func (s *Results) count(pieces []call.PieceResult, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range pieces {
		if p.Handle != "" {
			s.Bytes[p.DataCentre] += bytes
		}
	}
}

// nearest is the data centre in which a stage runs with the fewest bytes
// between data centres, and how many it saves. Every piece reads every input;
// the results of a last stage are read by the engine.
func (s *Results) nearest(w Work, g *graph, stage int) (host.DataCentre, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, saved := w.Home, int64(0)
	if g.isLast(stage) {
		saved = int64(g.pieces[stage]) * w.Stages[stage].ResultBytes
	}
	for _, before := range w.Stages[stage].After {
		bytes := int64(g.pieces[stage]*g.pieces[before]) * w.Stages[before].ResultBytes
		if bytes > saved {
			best, saved = s.centres[before], bytes
		}
	}
	return best, saved
}

// keep notes results that are to be given up.
func (s *Results) keep(service string, handles []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spent[service] = append(s.spent[service], handles...)
}

// freeOf gives up some results of a service.
func (s *Results) freeOf(service string, handles []string) {
	s.mu.Lock()
	named := make(map[string]bool, len(handles))
	for _, h := range handles {
		named[h] = true
	}
	var rest []string
	for _, h := range s.spent[service] {
		if !named[h] {
			rest = append(rest, h)
		}
	}
	s.spent[service] = rest
	s.mu.Unlock()
	s.runner.free(service, handles)
}

// Free gives up every result that is left. It may be called more than once.
func (s *Results) Free() {
	s.mu.Lock()
	spent := s.spent
	s.spent = make(map[string][]string)
	s.mu.Unlock()
	for service, handles := range spent {
		s.runner.free(service, handles)
	}
}

// free tells the gatherer, which counts the memory of results, in the
// background.
func (r *Runner) free(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	owner, own := r.config.Owners.Owner(service, time.Now())
	if own {
		r.config.Gatherer.Free(handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		_, err := link.CallRepeatable[freed, struct{}](ctx, r.config.Caller, owner.LinkAddr, freeMethod, freed{Handles: handles})
		if err != nil {
			r.config.Logger.Warn("gatherer not told of free results", "service", service,
				"gatherer", string(owner.ID), "results", len(handles), "error", err.Error())
			r.config.Gatherer.Free(handles)
		}
	}()
}

// IsFailure returns the failure of a stage in an error, or nil.
func IsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return nil
}
