package staging

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/workload"
)

// Limits and intervals of a gatherer.
const (
	// maxRetries is how many times pieces of a group are retried after failures.
	maxRetries = 3
	// maxRefusals is how many times pieces of a group are retried after a
	// server had no memory for them.
	maxRefusals = 6
	// timeoutFactor times the expected duration of a call is its timeout. When
	// it has passed, the call's pieces are retried if the retry budget allows it.
	timeoutFactor = 4
	// timeoutSlack is added to the timeout to allow for queueing at the server.
	timeoutSlack = 400 * time.Millisecond
	// tickInterval is how often queues and held results are checked for expiry.
	tickInterval = 50 * time.Millisecond
	// freeInterval is how long handles are collected before one request frees
	// them together.
	freeInterval = 5 * time.Millisecond
	// refusalPause is how long a server that refused a call gets no new work.
	refusalPause = 40 * time.Millisecond
)

// Caller makes calls to stage servers.
type Caller interface {
	// RunPieces runs pieces on a server. outcome is what the call shows about
	// the server's health. notRun is true if the server certainly did not start
	// the pieces.
	RunPieces(ctx context.Context, server instance.Entry, pieces []call.Piece) (results []call.PieceResult, outcome instance.Outcome, notRun bool, err error)
	// Probe fails if a server accepts no connections.
	Probe(ctx context.Context, server instance.Entry) error
	// FreeMemory returns how many bytes a server has free for results.
	FreeMemory(ctx context.Context, server instance.Entry) (int64, error)
	// IsIdle reports whether a server says that it runs no call and none waits there.
	IsIdle(ctx context.Context, server instance.Entry) (bool, error)
	// FreeResults frees results on the servers that hold them.
	FreeResults(ctx context.Context, handles []string) error
}

// Gatherer batches and runs the pieces of all hosts for the services that this
// host owns. It is safe for concurrent use.
type Gatherer struct {
	config  GathererConfig
	metrics *gathererMetrics

	mu           sync.Mutex // guards the fields below
	services     map[string]*serviceState
	pendingFrees []string
}

// GathererConfig configures a Gatherer.
type GathererConfig struct {
	Servers *instance.Table
	// Service returns a service of the current configuration.
	Service func(name string) (*routing.Service, bool)
	Caller  Caller
	Retries *retry.Budget
	// Workload is nil if the load that servers report is ignored.
	Workload *workload.Table
	// Memory bounds what queued and running groups take; nil sets no limit.
	Memory *memory.Account
	// Owns reports whether this host gathers for a service; nil means always.
	Owns   func(service string) bool
	Logger *slog.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// serviceState is the queue and the servers' state of one service.
type serviceState struct {
	name      string
	metrics   *gathererMetrics
	queue     queue
	memory    *resultMemory
	running   map[instance.ID]int       // calls in progress
	paused    map[instance.ID]time.Time // when the pause of a server ends
	workload  *workload.Table           // nil if the reported load is ignored
	slowdown  map[instance.ID]float64   // call duration relative to the expected one at the reported pace
	busyUntil map[instance.ID]time.Time // when the last call of a server is expected to end
	wakes     bool                      // the queue is dispatched again after a wait
	pieceRate rateEstimator             // in pieces per second
	byteRate  rateEstimator             // in bytes of results per second
	// pieceArrivals and byteArrivals are the work of groups that arrive in time.
	pieceArrivals arrivalRate
	byteArrivals  arrivalRate
	contention    contention
	untracked     map[instance.ID]untrackedMemory
	lastLogged    time.Time // when the queue was last logged
	// disownedSince is the time since which another host owns the service; zero
	// while this host owns it.
	disownedSince time.Time
}

// NewGatherer creates a gatherer. Timeouts and expiry need Run.
func NewGatherer(config GathererConfig) *Gatherer {
	if config.Memory == nil {
		config.Memory = memory.New(0, 0, config.Logger, nil)
	}
	return &Gatherer{config: config, metrics: newGathererMetrics(config.Registerer), services: make(map[string]*serviceState)}
}

// Run periodically expires queued groups and held results until ctx ends.
func (g *Gatherer) Run(ctx context.Context) error {
	return sleep.Every(ctx, tickInterval, g.tick)
}

// tick runs the periodic work on every service: expiry, handover, rate
// estimates and dispatch.
func (g *Gatherer) tick(now time.Time) {
	g.mu.Lock()
	var callbacks []func()
	for _, s := range g.services {
		s.memory.expire(now)
		s.pieceArrivals.update(now)
		s.byteArrivals.update(now)
		callbacks = append(callbacks, g.handOver(s, now)...)
		if spec, known := g.spec(s.name); known {
			servers := g.config.Servers.Service(s.name, now)
			s.pieceRate.update(now, len(s.queue.waiting) > 0, s.capacity(servers, spec))
			s.byteRate.update(now, len(s.queue.waiting) > 0, s.byteCapacity(servers, spec, s.memory.meanHoldTime))
			g.updateContention(s, servers, spec, now)
			callbacks = append(callbacks, s.refuseLate(now, spec)...)
		}
		callbacks = append(callbacks, g.dispatch(s, now)...)
		g.logQueue(s, now)
	}
	g.mu.Unlock()
	runAll(callbacks)
}

// queueLogInterval is how often a queue that is not empty is logged.
const queueLogInterval = time.Second

// serverState is the state of a server as it is logged.
type serverState struct {
	Upstream    string `json:"upstream"`
	Running     int    `json:"running"`
	ResultBytes int64  `json:"results_bytes"`
	Slowdown    string `json:"pace"`
	Ejected     bool   `json:"ejected,omitempty"`
	Paused      bool   `json:"paused,omitempty"`
}

// logQueue logs the queue of a service and the state of its servers. The caller
// holds mu.
func (g *Gatherer) logQueue(s *serviceState, now time.Time) {
	if len(s.queue.waiting) == 0 || now.Sub(s.lastLogged) < queueLogInterval {
		return
	}
	s.lastLogged = now
	var states []serverState
	for _, server := range g.config.Servers.Service(s.name, now) {
		states = append(states, serverState{
			Upstream: string(server.ID), Running: s.running[server.ID], ResultBytes: s.memory.byServer[server.ID],
			Slowdown: strconv.FormatFloat(s.slownessAt(server, now), 'f', 2, 64), Ejected: server.Ejected,
			Paused: now.Before(s.paused[server.ID]),
		})
	}
	g.config.Logger.Info("stage queue", "service", s.name, "groups", len(s.queue.waiting), "pieces", s.queue.totalPieces(),
		"rate", int(s.pieceRate.rate), "held_ms", s.memory.meanHoldTime.Milliseconds(), "oldest_ms", now.Sub(s.queue.oldest()).Milliseconds(), "servers", states)
}

// handOverDelay is how long another host must own a service before the queued
// groups are handed over. Hosts disagree about the owner for a short time when
// the membership changes.
const handOverDelay = 150 * time.Millisecond

// handOver ends the queued groups when another host owns the service, so that
// the requesting hosts send them to that host. Groups with pieces on a server
// stay, and so do those with NoHandOver.
func (g *Gatherer) handOver(s *serviceState, now time.Time) (callbacks []func()) {
	if g.config.Owns == nil || g.config.Owns(s.name) {
		s.disownedSince = time.Time{}
		return nil
	}
	if s.disownedSince.IsZero() {
		s.disownedSince = now
	}
	if now.Sub(s.disownedSince) < handOverDelay {
		return nil
	}
	kept := s.queue.waiting[:0]
	for _, w := range s.queue.waiting {
		if w.NoHandOver || w.unfinished > len(w.waiting) {
			kept = append(kept, w)
		} else {
			callbacks = append(callbacks, w.end(call.PieceMoved))
		}
	}
	if len(callbacks) > 0 {
		g.config.Logger.Info("stage queue handed over", "service", s.name, "groups", len(callbacks), "kept", len(kept))
	}
	s.queue.waiting = kept
	return callbacks
}

// Gather runs the pieces of a group and returns one result for each. Queued
// pieces are dropped when ctx ends. A group that cannot meet its deadline
// behind the queued work, or for which there is no memory, is refused at once. The group must be
// valid.
func (g *Gatherer) Gather(ctx context.Context, group Group) []call.PieceResult {
	answer := make(chan []call.PieceResult, 1)
	now := time.Now()
	room := newHolder(g.config.Memory)
	defer room.Free()
	if !room.TryGrow(group.bytes(), now) {
		g.metrics.countRefused(group.Service, group.Priority, refusedMemory, "queue")
		return failedPieces(group.Pieces, call.PieceOverload)
	}
	w := newWorkItem(group, now, func(results []call.PieceResult) { answer <- results })
	g.mu.Lock()
	s := g.service(group.Service)
	if spec, known := g.spec(group.Service); known && g.refuseArrival(s, w, spec, now) {
		g.mu.Unlock()
		return w.failed(call.PieceOverload)
	}
	s.queue.push(w)
	s.countArrival(w, now, g)
	callbacks := g.dispatch(s, now)
	g.mu.Unlock()
	runAll(callbacks)
	select {
	case results := <-answer:
		return results
	case <-ctx.Done():
		g.mu.Lock()
		w.ended = true
		s.queue.remove(w)
		g.freeResults(w)
		g.mu.Unlock()
		return w.failed(call.PieceDeadlineExceeded)
	}
}

// failed returns the same failure for every piece.
func (w *workItem) failed(f call.PieceFailure) []call.PieceResult { return failedPieces(w.Pieces, f) }

// failedPieces returns the same failure for a number of pieces.
func failedPieces(pieces int, f call.PieceFailure) []call.PieceResult {
	results := make([]call.PieceResult, pieces)
	for i := range results {
		results[i].Failure = f
	}
	return results
}

// service returns the state of a service and creates it if needed. The caller
// holds mu.
func (g *Gatherer) service(name string) *serviceState {
	s := g.services[name]
	if s == nil {
		s = g.newService(name)
		g.services[name] = s
	}
	return s
}

func (g *Gatherer) newService(name string) *serviceState {
	return &serviceState{
		name: name, metrics: g.metrics, memory: newResultMemory(), running: make(map[instance.ID]int),
		paused: make(map[instance.ID]time.Time), slowdown: make(map[instance.ID]float64),
		untracked: make(map[instance.ID]untrackedMemory),
		workload:  g.config.Workload, busyUntil: make(map[instance.ID]time.Time),
	}
}

// spec returns the description of a service's stage servers. The second result
// is false if the service is unknown or runs no stages.
func (g *Gatherer) spec(service string) (*routing.StageServer, bool) {
	described, known := g.config.Service(service)
	if !known || described.Stages == nil {
		return nil, false
	}
	return described.Stages, true
}

// countArrival counts a group that was queued: for its class, and if it can
// still be in time. The caller holds mu of g.
func (s *serviceState) countArrival(w *workItem, now time.Time, g *Gatherer) {
	s.contention.arrivals[w.class()].add(float64(w.Pieces))
	if spec, known := g.spec(s.name); known && w.canMeetTarget(now, spec.FullBatchTime()) {
		s.pieceArrivals.add(float64(w.Pieces))
		s.byteArrivals.add(float64(int64(w.Pieces) * w.ResultBytes))
	}
}

// QueueWaits are estimates of how long new groups of a service are queued.
type QueueWaits struct {
	InTime time.Duration // a group that can meet its target
	Late   time.Duration // one that can't
	// Overloaded means that the service can't do all queued work in time. ByClass is then how
	// long a group that can meet its target is queued, by class; the last entry is also that
	// of all less urgent classes. LaterByClass is the same for a group that arrives after
	// waitHorizon.
	Overloaded   bool
	ByClass      []time.Duration
	LaterByClass []time.Duration
	// FitByClass is the part of the requests of a class that the servers can do.
	FitByClass []float64
}

// Waits estimates how long new groups of a service are queued.
func (g *Gatherer) Waits(service string, now time.Time) QueueWaits {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	spec, known := g.spec(service)
	if s == nil || !known {
		return QueueWaits{}
	}
	all := s.queue.backlog(now, spec.FullBatchTime())
	inTime := backlog{inTime: all.inTime}
	waits := QueueWaits{InTime: max(s.pieceWait(inTime), s.byteWait(inTime)), Late: max(s.pieceWait(all), s.byteWait(all))}
	if s.queue.overloaded && !g.hasRoom(s, spec, now) {
		waits.Overloaded, waits.FitByClass = true, s.contention.fits(s.contention.rate)
		waits.ByClass, waits.LaterByClass = s.classWaits(now, spec.FullBatchTime())
	}
	return waits
}

// dispatch sends queued pieces to available servers. The caller holds mu and
// runs the returned functions after releasing it.
func (g *Gatherer) dispatch(s *serviceState, now time.Time) (callbacks []func()) {
	if len(s.queue.waiting) == 0 {
		return nil
	}
	spec, known := g.spec(s.name)
	if !known {
		return s.refuseUnknown(now)
	}
	for _, late := range s.queue.expire(now, spec.CallTime) {
		callbacks = append(callbacks, late.end(call.PieceDeadlineExceeded))
	}
	if g.isEvacuated(s.name) {
		return append(callbacks, s.refuseEvacuated()...)
	}
	servers := g.config.Servers.Service(s.name, now)
	if back, paused := g.config.Servers.FirstBack(s.name, now); paused {
		return append(callbacks, s.refusePaused(back, spec)...)
	}
	free := s.availableServers(servers, spec, now)
	if len(free) == 0 {
		return callbacks
	}
	s.queue.sort(now, spec.FullBatchTime())
	served := make(map[host.DataCentre]bool)
	for _, server := range servers {
		served[server.DataCentre] = served[server.DataCentre] || !server.Ejected
	}
	held := make(map[host.DataCentre]bool)
	for _, server := range free {
		at := locality{dataCentre: server.DataCentre, servedDataCentres: served}
		used, known := s.usedMemory(server.ID, now)
		if !known {
			g.queryFreeMemory(s, server, spec)
			continue
		}
		if held[server.DataCentre] || !g.batchStarts(s, server, servers, spec, at, now) {
			held[server.DataCentre] = true // the other free servers there are slower
			continue
		}
		freeMemory := freeResultMemory(spec, used)
		if batch := s.queue.takeBatch(now, spec, freeMemory, at); len(batch) > 0 {
			g.start(s, server, spec, batch, now)
		}
	}
	return callbacks
}

// availableServers returns the servers that can take a call, the fastest first.
// No call is sent to queue at a server: pieces that are queued here can still
// be batched and reordered.
func (s *serviceState) availableServers(servers []instance.Status, spec *routing.StageServer, now time.Time) []instance.Status {
	var free []instance.Status
	for _, server := range servers {
		if s.unavailable(server, spec, now) == "" {
			free = append(free, server)
		}
	}
	s.byFinish(free, now)
	return free
}

// slowdownOf returns the average slowdown of a server, 1 if none is measured.
func (s *serviceState) slowdownOf(id instance.ID) float64 {
	if slowdown := s.slowdown[id]; slowdown > 0 {
		return slowdown
	}
	return 1
}

// unknownServiceWait is how long a group waits for a configuration that has its service. The
// host that sent the group may have read the configuration earlier than this one.
const unknownServiceWait = time.Second

// refuseUnknown refuses the groups that have waited long enough for their service to appear
// in the configuration.
func (s *serviceState) refuseUnknown(now time.Time) (callbacks []func()) {
	s.queue.waiting = slices.DeleteFunc(s.queue.waiting, func(w *workItem) bool {
		late := now.Sub(w.queued) >= unknownServiceWait || now.After(w.deadline)
		if late {
			callbacks = append(callbacks, w.end(call.PieceRefused))
		}
		return late || w.ended
	})
	return callbacks
}

// end completes a group. Pieces without a result fail with f. The returned
// function delivers the results to the waiting Gather call.
func (w *workItem) end(f call.PieceFailure) func() {
	if w.ended {
		return func() {}
	}
	w.ended = true
	for i := range w.results {
		if w.results[i].Handle == "" && w.results[i].Failure == call.PieceDone {
			w.results[i].Failure = f
		}
	}
	results := w.results
	return func() { w.reply(results) }
}

func runAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}
