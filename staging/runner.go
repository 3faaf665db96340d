package staging

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/routing"
)

// Methods that hosts call on each other.
const (
	gatherMethod link.Method = "staging.Gather"
	freeMethod   link.Method = "staging.Free"
	waitsMethod  link.Method = "staging.Waits"
)

// Limits and intervals for reaching gatherers.
const (
	// gatherTimeoutSlack is how much longer than the group's remaining time a
	// call to a gatherer may take.
	gatherTimeoutSlack = 150 * time.Millisecond
	// livenessInterval is how often the membership is checked for whether a
	// gatherer that has not answered yet is alive.
	livenessInterval = 250 * time.Millisecond
	// maxGatherers is how many gatherers a group is sent to before it is run
	// locally.
	maxGatherers = 3
	// queueingFactor scales the fixed duration of a call to allow for queueing
	// and for pieces of other requests in the call.
	queueingFactor = 3 / 2.0
)

// Failure describes why the stages of a request failed.
type Failure struct {
	Stage   int
	Service string
	Reason  call.PieceFailure
	// Wait is the estimated queueing time of the service, or the time until its
	// servers accept calls again if Reason is PiecePaused; 0 if unknown.
	Wait time.Duration
	// Evacuated is true if evacuations leave the service without servers. Reason is
	// PiecePaused then.
	Evacuated bool
	// Gatherer is the host that gathers for the service.
	Gatherer host.ID
}

// Error returns the message of the failure.
func (f *Failure) Error() string {
	reason := f.Reason.String()
	if f.Evacuated {
		reason = "evacuated"
	}
	return "stage on service " + f.Service + " failed at gatherer " + string(f.Gatherer) + ": " + reason
}

// Runner runs the stages of this host's requests. It is safe for concurrent
// use.
type Runner struct {
	config RunnerConfig
	probes singleflight.Group // of gatherers, by ID of the host

	mu         sync.Mutex // guards the fields below
	queueWaits map[string]queueWait
	shares     shareTracker
	// refused is the pieces that this host has refused and not yet reported, by service.
	refused map[string][]float64
}

// queueWait is the queueing time that a service's gatherer last reported.
type queueWait struct {
	QueueWaits
	pausedFor time.Duration
	at        time.Time
	asked     time.Time // when the gatherer was last asked for it
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	Owners   *ownership.Table
	Caller   link.Caller
	Gatherer *Gatherer
	// Memory bounds what the pieces of this host's requests take; nil sets no limit.
	Memory *memory.Account
	// Service returns a service of the current configuration.
	Service func(name string) (*routing.Service, bool)
	Logger  *slog.Logger
}

// NewRunner creates a runner and registers the methods by which other hosts use
// this host's gatherer.
func NewRunner(config RunnerConfig, registrar link.Registrar) *Runner {
	if config.Memory == nil {
		config.Memory = memory.New(0, 0, config.Logger, nil)
	}
	r := &Runner{config: config, queueWaits: make(map[string]queueWait), refused: make(map[string][]float64), shares: shareTracker{offset: rand.Float64()}}
	link.HandleTyped(registrar, gatherMethod, func(ctx context.Context, g Group) (gatherReply, error) {
		if err := g.check(); err != nil {
			return gatherReply{}, err
		}
		if err := g.checkInputs(); err != nil {
			config.Logger.Warn("malformed group of another host refused", "service", g.Service, "error", err.Error())
			return gatherReply{Results: failedPieces(g.Pieces, call.PieceError)}, nil // an error would have the host ask others
		}
		results := config.Gatherer.Gather(ctx, g)
		if failure(results) == call.PieceRefused {
			return gatherReply{}, Error.New("service %q is not in the configuration of this host", g.Service) // another host may have it
		}
		reply := newGatherReply(config.Gatherer, g.Service, time.Now())
		reply.Results = results
		return reply, nil
	})
	link.HandleTyped(registrar, waitsMethod, func(_ context.Context, q waitsRequest) (gatherReply, error) {
		config.Gatherer.NoteRefused(q.Service, q.Refused)
		return newGatherReply(config.Gatherer, q.Service, time.Now()), nil
	})
	link.HandleTyped(registrar, freeMethod, func(_ context.Context, f freeRequest) (struct{}, error) {
		config.Gatherer.Free(f.Handles)
		return struct{}{}, nil
	})
	return r
}

// gatherReply is the answer to staging.Gather.
type gatherReply struct {
	Results []call.PieceResult `cbor:"1,keyasint"`
	// Wait estimates how long a new group is queued that can meet its target, LateWait one
	// that can't.
	Wait     time.Duration `cbor:"2,keyasint"`
	LateWait time.Duration `cbor:"4,keyasint,omitempty"`
	// PausedFor is how long until the first server accepts calls of the gatherer
	// again; 0 unless all are paused.
	PausedFor time.Duration `cbor:"3,keyasint"`
	// The following are those of QueueWaits.
	Overloaded   bool            `cbor:"5,keyasint,omitempty"`
	ByClass      []time.Duration `cbor:"6,keyasint,omitempty"`
	LaterByClass []time.Duration `cbor:"7,keyasint,omitempty"`
	FitByClass   []float64       `cbor:"8,keyasint,omitempty"`
}

// newGatherReply returns the answer of a gatherer without results.
func newGatherReply(g *Gatherer, service string, now time.Time) gatherReply {
	waits := g.Waits(service, now)
	return gatherReply{
		Wait: waits.InTime, LateWait: waits.Late, PausedFor: g.PausedFor(service, now),
		Overloaded: waits.Overloaded, ByClass: waits.ByClass, LaterByClass: waits.LaterByClass, FitByClass: waits.FitByClass,
	}
}

// freeRequest is the input of staging.Free.
type freeRequest struct {
	Handles []string `cbor:"1,keyasint"`
}

// Work is the stages to run for a request, with their time limits.
type Work struct {
	Request *call.Request
	Plan    *Plan
	// Deadline is when the last stage must be done for the request to be of
	// use. TargetTime is when it should be done for the answer to meet its
	// latency objective.
	Deadline   time.Time
	TargetTime time.Time
	Priority   int
	// EngineDataCentre is the data centre of the engine that is likely to run the
	// request.
	EngineDataCentre host.DataCentre
	// guaranteed is set by Run for a request that would otherwise be refused.
	guaranteed bool
}

// Results are the results of a request's stages. The caller must call Free on
// them.
type Results struct {
	// Inputs are the handles of the results that the request itself needs.
	Inputs []string
	// Bytes is how many bytes of the inputs each data centre holds.
	Bytes  map[host.DataCentre]int64
	runner *Runner
	rooms  []*memory.Holder // memory for the pieces

	mu               sync.Mutex              // guards the fields below
	unfreed          map[string][]string     // handles by the service that made the results
	stageDataCentres map[int]host.DataCentre // where the first result of each stage is held
}

// Run runs the stages of a request and returns the results that it needs. If a
// result is lost before it is used, all stages run once more. The error is a
// *Failure or the error of ctx.
func (r *Runner) Run(ctx context.Context, w Work) (*Results, error) {
	for !r.config.Owners.Formed(time.Now()) {
		if err := sleep.For(ctx, ownershipRetryInterval); err != nil {
			return nil, err
		}
	}
	results, err := r.runOnce(ctx, w)
	if f := AsFailure(err); f != nil && f.Reason == call.PieceInputGone {
		r.config.Logger.Warn("restarting stages after an input was lost", "request", w.Request.ID, "service", f.Service, "stage", f.Stage,
			"reason", f.Reason.String())
		results, err = r.runOnce(ctx, w)
	}
	r.recordServed(w, err, time.Now())
	return results, err
}

// runOnce runs the stages of a request once. A stage starts when the stages
// before it are done.
func (r *Runner) runOnce(ctx context.Context, w Work) (*Results, error) {
	g := newGraph(w.Plan, r.stageTime)
	if evacuated := r.findEvacuated(g); evacuated != nil {
		return nil, evacuated
	}
	if hopeless := r.findHopeless(w, g, time.Now()); hopeless != nil {
		return nil, hopeless
	}
	r.refreshWaits(ctx, g)
	now := time.Now()
	if overload := r.predictOverload(w, g, now); overload != nil {
		return nil, overload
	}
	var overload error
	if w.guaranteed, overload = r.admitOverPath(w, g, now); overload != nil {
		return nil, overload
	}
	results := &Results{runner: r, unfreed: make(map[string][]string), stageDataCentres: make(map[int]host.DataCentre), Bytes: make(map[host.DataCentre]int64)}
	if err := results.takeMemory(ctx, r.config.Memory, g); err != nil {
		results.Free()
		return nil, err
	}
	group, ctx := errgroup.WithContext(ctx)
	done := make([]chan struct{}, len(g.stages))
	for i := range done {
		done[i] = make(chan struct{})
	}
	for i := range g.stages {
		group.Go(func() error {
			predecessors := g.graph.Inputs(i)
			if after := g.startAfter(i); after >= 0 {
				predecessors = []int{after}
			}
			for _, before := range predecessors {
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

// runStage runs one stage whose inputs are ready. Afterwards it frees the
// inputs that no other stage uses.
func (r *Runner) runStage(ctx context.Context, w Work, g *graph, stage int, results *Results) error {
	if g.pieces[stage] == 0 {
		return nil
	}
	now := time.Now()
	group := Group{
		Service: g.stages[stage].Service, RequestID: w.Request.ID, Stage: stage, Pieces: g.pieces[stage],
		Inputs: g.inputs(stage), Remaining: w.Deadline.Sub(now) - g.timesAfter[stage], RemainingToTarget: w.TargetTime.Sub(now) - g.timesAfter[stage],
		ResultBytes: g.stages[stage].ResultBytes, Priority: w.Priority, Guaranteed: w.guaranteed,
		LateTolerance: lateToleranceOf(classOf(w.Priority), w.TargetTime.Sub(w.Request.Arrived)),
	}
	if len(g.graph.Inputs(stage)) == 0 {
		group.Key = g.key
	}
	group.PreferredDataCentre, group.TransferBytes = results.preferredDataCentre(w, g, stage)
	group.ScarceInputs = r.hasScarceInputs(g, stage)
	if err := errs.Combine(group.check(), group.checkInputs()); err != nil {
		return err
	}
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
	results.track(group.Service, handles)
	results.recordDataCentre(stage, pieces)
	if g.graph.IsLast(stage) {
		results.addInputBytes(pieces, group.ResultBytes)
	}
	if reason := failure(pieces); reason != call.PieceDone {
		waits, _ := r.recentQueueWaits(group.Service, time.Now())
		wait := waits.after(classOf(w.Priority), 0)
		if reason == call.PiecePaused {
			wait = r.pausedFor(group.Service, time.Now())
		}
		return r.newFailure(stage, group.Service, reason, wait)
	}
	g.handles[stage] = handles
	for _, before := range g.graph.Inputs(stage) {
		if g.isOnlyConsumer(before, stage) {
			results.freeSome(g.stages[before].Service, g.handles[before])
		}
	}
	return nil
}

// newFailure returns the failure of a stage, with the host that gathers for its service
// now.
func (r *Runner) newFailure(stage int, service string, reason call.PieceFailure, wait time.Duration) *Failure {
	owner, _ := r.config.Owners.Owner(service, time.Now())
	evacuated := reason == call.PiecePaused && r.config.Gatherer.isEvacuated(service)
	return &Failure{Stage: stage, Service: service, Reason: reason, Wait: wait, Evacuated: evacuated, Gatherer: owner.ID}
}

// pausedFor returns how long until a server of a service accepts calls of its
// gatherer again, as that gatherer last reported.
func (r *Runner) pausedFor(service string, now time.Time) time.Duration {
	if _, own := r.config.Owners.Owner(service, now); own {
		return r.config.Gatherer.PausedFor(service, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.queueWaits[service]
	return max(w.pausedFor-now.Sub(w.at), 0)
}

// queueWaitMaxAge is how long a queueing time reported by a gatherer is used.
const queueWaitMaxAge = 700 * time.Millisecond

// predictOverload returns the failure of the first stage whose queue is known to be too
// long: the request would be late there, and groups that are late wait too long to meet the
// deadline. Such a request is refused before any work is done for it. admitOverPath decides
// about services that are overloaded.
func (r *Runner) predictOverload(w Work, g *graph, now time.Time) error {
	for i, s := range g.stages {
		if g.pieces[i] == 0 {
			continue
		}
		waits, known := r.recentQueueWaits(s.Service, now)
		inTime := !now.Add(waits.InTime + g.timesAfter[i]).After(w.TargetTime)
		if known && !waits.Overloaded && !inTime && now.Add(waits.Late+g.timesAfter[i]).After(w.Deadline) {
			return r.newFailure(i, s.Service, call.PieceOverload, waits.InTime)
		}
	}
	return nil
}

// findHopeless returns the failure of the first stage that can't be done before the deadline
// even if its servers do nothing else.
func (r *Runner) findHopeless(w Work, g *graph, now time.Time) error {
	for i, s := range g.stages {
		described, known := r.config.Service(s.Service)
		if g.pieces[i] == 0 || !known || described.Stages == nil {
			continue
		}
		servers := len(r.config.Gatherer.config.Servers.Service(s.Service, now))
		if now.Add(leastTime(g.pieces[i], servers, described.Stages)).After(w.Deadline) {
			return r.newFailure(i, s.Service, call.PieceOverload, 0)
		}
	}
	return nil
}

// recentQueueWaits returns the queueing times that a service's gatherer recently
// reported. known is false if there are none.
func (r *Runner) recentQueueWaits(service string, now time.Time) (waits QueueWaits, known bool) {
	if _, own := r.config.Owners.Owner(service, now); own {
		return r.config.Gatherer.Waits(service, now), true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.queueWaits[service]
	return w.QueueWaits, now.Sub(w.at) < queueWaitMaxAge
}

// startAfter returns the stage that a stage with large results and no inputs
// waits for, or -1 for none. The wait keeps the results from taking memory
// while slower parallel stages still run. The returned stage is the last one on
// the slowest path after which the rest of that path takes at least as long as
// the delayed stage and those after it.
func (g *graph) startAfter(stage int) int {
	if len(g.graph.Inputs(stage)) > 0 || g.stages[stage].ResultBytes < largeResultBytes {
		return -1
	}
	own := g.pathTime(stage)
	next, longest := -1, own
	for i := range g.stages {
		if len(g.graph.Inputs(i)) == 0 && g.pieces[i] > 0 && g.pathTime(i) > longest {
			next, longest = i, g.pathTime(i)
		}
	}
	after := -1
	for next >= 0 && g.timesAfter[next] >= own {
		after = next
		next = g.slowestDependent(after)
	}
	return after
}

// slowestDependent returns the dependent stage with the longest path to the end;
// -1 for none.
func (g *graph) slowestDependent(stage int) int {
	best, longest := -1, time.Duration(0)
	for _, i := range g.graph.Readers(stage) {
		if g.pieces[i] > 0 && g.pathTime(i) > longest {
			best, longest = i, g.pathTime(i)
		}
	}
	return best
}

// stageTime estimates how long a number of pieces takes at a service.
func (r *Runner) stageTime(service string, pieces int) time.Duration {
	described, known := r.config.Service(service)
	if !known || described.Stages == nil {
		return 0
	}
	spec := described.Stages
	return time.Duration(queueingFactor*float64(spec.CallTime)) + time.Duration(pieces)*spec.PieceTime
}

// scarceInputDivisor: inputs are scarce if they take at least
// 1/scarceInputDivisor of one server's memory.
const scarceInputDivisor = 20

// hasScarceInputs reports whether a stage's inputs take up much of the memory
// of the servers that hold them.
func (r *Runner) hasScarceInputs(g *graph, stage int) bool {
	for _, before := range g.graph.Inputs(stage) {
		described, known := r.config.Service(g.stages[before].Service)
		if !known || described.Stages == nil {
			continue
		}
		if int64(g.pieces[before])*g.stages[before].ResultBytes >= described.Stages.ResultMemory/scarceInputDivisor {
			return true
		}
	}
	return false
}

// gather has a group run by the host that owns its service. If that host cannot
// be reached, the next owner is asked, and after maxGatherers attempts the
// local gatherer. A group whose time is up fails.
func (r *Runner) gather(ctx context.Context, g Group) ([]call.PieceResult, error) {
	begun := time.Now()
	var previousOwner host.ID
	for try := 0; ; try++ {
		elapsed := time.Since(begun)
		current := g
		current.Remaining -= elapsed
		current.RemainingToTarget -= elapsed
		owner, own := r.config.Owners.Owner(g.Service, time.Now())
		current.NoHandOver = owner.ID == previousOwner
		previousOwner = owner.ID
		results, err := r.gatherAt(ctx, owner, own, current)
		if err == nil && failure(results) == call.PieceMoved && !current.NoHandOver {
			_ = sleep.For(ctx, ownershipRetryInterval)
			continue
		}
		if err == nil {
			return results, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if time.Since(begun) >= g.Remaining {
			go r.avoidIfUnresponsive(context.WithoutCancel(ctx), owner)
			return failedPieces(g.Pieces, call.PieceDeadlineExceeded), nil
		}
		r.config.Owners.Avoid(owner.ID, time.Now())
		r.config.Logger.Warn("gatherer failed", "request", g.RequestID, "service", g.Service,
			"gatherer", string(owner.ID), "stage", g.Stage, "try", try+1, "error", err.Error())
		if try+1 >= maxGatherers {
			return r.config.Gatherer.Gather(ctx, current), ctx.Err()
		}
	}
}

// avoidIfUnresponsive avoids a gatherer that did not answer in a group's time only if it does
// not respond to a probe either. Under overload groups wait until their time is up, and hosts
// that then avoided a sound gatherer would give the service several, each with small calls.
// Groups whose time is up while a probe runs share it.
func (r *Runner) avoidIfUnresponsive(ctx context.Context, owner host.Info) {
	_, _, _ = r.probes.Do(string(owner.ID), func() (any, error) {
		if !link.IsResponsive(ctx, r.config.Caller, owner.LinkAddr) {
			r.config.Owners.Avoid(owner.ID, time.Now())
			r.config.Logger.Warn("gatherer does not respond", "gatherer", string(owner.ID))
		}
		return nil, nil
	})
}

// ownershipRetryInterval is the pause before the owner of a service is looked
// up again while the membership converges.
const ownershipRetryInterval = 30 * time.Millisecond

// gatherAt sends a group to a host, which may be the local one.
func (r *Runner) gatherAt(ctx context.Context, owner host.Info, own bool, g Group) ([]call.PieceResult, error) {
	if !own {
		return r.gatherRemotely(ctx, owner, g)
	}
	results := r.config.Gatherer.Gather(ctx, g)
	return results, ctx.Err()
}

// gatherRemotely sends a group to another host.
func (r *Runner) gatherRemotely(ctx context.Context, owner host.Info, g Group) ([]call.PieceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, g.Remaining+gatherTimeoutSlack)
	defer cancel()
	go r.cancelWhenDead(ctx, cancel, owner.ID)
	got, err := link.CallIdempotent[Group, gatherReply](ctx, r.config.Caller, owner.LinkAddr, gatherMethod, g)
	if err != nil {
		return nil, err
	}
	if len(got.Results) != g.Pieces {
		return nil, Error.New("gatherer returned %d results for %d pieces", len(got.Results), g.Pieces)
	}
	r.recordWaits(g.Service, got, time.Now())
	return got.Results, nil
}

// cancelWhenDead cancels a call when the membership no longer considers its
// peer alive. A frozen or partitioned host would never answer.
func (r *Runner) cancelWhenDead(ctx context.Context, cancel context.CancelFunc, peer host.ID) {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !r.config.Owners.Reachable(peer) {
				cancel()
				return
			}
		}
	}
}

// recordDataCentre records where a stage's results are held.
func (s *Results) recordDataCentre(stage int, pieces []call.PieceResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range pieces {
		if p.Handle != "" {
			s.stageDataCentres[stage] = p.DataCentre
			return
		}
	}
}

// addInputBytes counts the bytes that the engine will read from each data
// centre.
func (s *Results) addInputBytes(pieces []call.PieceResult, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range pieces {
		if p.Handle != "" {
			s.Bytes[p.DataCentre] += bytes
		}
	}
}

// preferredDataCentre returns the data centre in which running a stage causes
// the least traffic between data centres, and how many bytes that saves. Every
// piece reads every input; the engine reads the results of a last stage.
func (s *Results) preferredDataCentre(w Work, g *graph, stage int) (host.DataCentre, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, saved := w.EngineDataCentre, int64(0)
	if g.graph.IsLast(stage) {
		saved = int64(g.pieces[stage]) * g.stages[stage].ResultBytes
	}
	for _, before := range g.graph.Inputs(stage) {
		bytes := int64(g.pieces[stage]*g.pieces[before]) * g.stages[before].ResultBytes
		if bytes > saved {
			best, saved = s.stageDataCentres[before], bytes
		}
	}
	return best, saved
}

// track records results that must be freed.
func (s *Results) track(service string, handles []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfreed[service] = append(s.unfreed[service], handles...)
}

// freeSome frees some results of a service.
func (s *Results) freeSome(service string, handles []string) {
	s.mu.Lock()
	freed := make(map[string]bool, len(handles))
	for _, h := range handles {
		freed[h] = true
	}
	var rest []string
	for _, h := range s.unfreed[service] {
		if !freed[h] {
			rest = append(rest, h)
		}
	}
	s.unfreed[service] = rest
	s.mu.Unlock()
	s.runner.free(service, handles)
}

// Free frees every result that is left. It may be called more than once.
func (s *Results) Free() {
	s.mu.Lock()
	unfreed := s.unfreed
	s.unfreed = make(map[string][]string)
	s.mu.Unlock()
	for _, room := range s.rooms {
		room.Free()
	}
	for service, handles := range unfreed {
		s.runner.free(service, handles)
	}
}

// free asks the gatherer of a service, which tracks the memory of results, to
// free some of them. It does not wait for another host; if that host cannot be
// reached, the local gatherer frees them.
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
		_, err := link.CallIdempotent[freeRequest, struct{}](ctx, r.config.Caller, owner.LinkAddr, freeMethod, freeRequest{Handles: handles})
		if err != nil {
			r.config.Logger.Warn("failed to tell gatherer to free results", "service", service,
				"gatherer", string(owner.ID), "results", len(handles), "error", err.Error())
			r.config.Gatherer.Free(handles)
		}
	}()
}

// AsFailure returns the *Failure that err wraps, or nil.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return nil
}
