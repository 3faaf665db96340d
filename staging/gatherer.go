package staging

import (
	"cmp"
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
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
)

// How a gatherer treats its servers.
const (
	// maxTries is how often a group's pieces are sent again after failures.
	maxTries = 3
	// maxRefusals is how often they are sent again after a server had no memory.
	maxRefusals = 6
	// slowFactor is how many times its usual duration a call may take before
	// its pieces go elsewhere.
	slowFactor = 4
	// slowSlack is added to that, for a queue at the server.
	slowSlack = 400 * time.Millisecond
	// roomShare is the part of a server's memory that is planned with: pieces
	// differ in size.
	roomShare = 0.92
	// tickInterval is how often waiting pieces and held results are looked at.
	tickInterval = 50 * time.Millisecond
	// freeInterval is how long given-up results wait to be named together.
	freeInterval = 5 * time.Millisecond
	// fullPause keeps new work from a server that refused a call.
	fullPause = 40 * time.Millisecond
)

// Caller makes calls to stage servers.
type Caller interface {
	// RunPieces runs pieces on a server. The outcome says what the call tells
	// of the server; notRun that the server surely did not begin.
	RunPieces(ctx context.Context, server instance.Entry, pieces []call.Piece) (results []call.PieceResult, outcome instance.Outcome, notRun bool, err error)
	// FreeRoom asks a server how many bytes are free for results.
	FreeRoom(ctx context.Context, server instance.Entry) (int64, error)
	// FreeResults gives up results on the server that keeps them.
	FreeResults(ctx context.Context, handles []string) error
}

// Gatherer runs the pieces of all hosts for the services that fall to this
// host. It is safe for concurrent use.
type Gatherer struct {
	config  GathererConfig
	metrics *gathererMetrics

	mu       sync.Mutex // guards what follows
	services map[string]*gathering
	freeing  []string
}

// GathererConfig is what a Gatherer is made of.
type GathererConfig struct {
	Servers *instance.Table
	// Service describes a service of the configuration in force.
	Service func(name string) (*routing.Service, bool)
	Caller  Caller
	Retries *retry.Budget
	// Owns says whether this host is to gather for a service; nil if always.
	Owns   func(service string) bool
	Logger *slog.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// gathering is the work for one service.
type gathering struct {
	name    string
	queue   queue
	room    *room
	running map[instance.ID]int
	paused  map[instance.ID]time.Time
	pace    map[instance.ID]float64 // duration of a call against the usual
	drain   drain                   // in pieces
	bytes   drain                   // in bytes of results
	foreign map[instance.ID]foreign
	told    time.Time // when the log was last told of the queue
	// strange is since when another host owns the service; zero if none does.
	strange time.Time
}

// NewGatherer makes a gatherer. Run it to have its timers work.
func NewGatherer(config GathererConfig) *Gatherer {
	return &Gatherer{config: config, metrics: newGathererMetrics(config.Registerer), services: make(map[string]*gathering)}
}

// Run expires waiting pieces and held results until ctx ends.
func (g *Gatherer) Run(ctx context.Context) error {
	return sleep.Every(ctx, tickInterval, g.tick)
}

func (g *Gatherer) tick(now time.Time) {
	g.mu.Lock()
	var ended []func()
	for _, s := range g.services {
		s.room.expire(now)
		ended = append(ended, g.handOver(s, now)...)
		if spec, known := g.spec(s.name); known {
			servers := g.config.Servers.Service(s.name, now)
			s.drain.tick(now, len(s.queue.waiting) > 0, s.capacity(servers, spec))
			s.bytes.tick(now, len(s.queue.waiting) > 0, s.byteCapacity(servers, spec))
			ended = append(ended, s.refuseLate(now, spec)...)
		}
		ended = append(ended, g.pump(s, now)...)
		g.tell(s, now)
	}
	g.mu.Unlock()
	runAll(ended)
}

// tellInterval is how often the log is told of a queue that is not empty.
const tellInterval = time.Second

// serverState is a server as the log shows it.
type serverState struct {
	Upstream  string `json:"upstream"`
	Running   int    `json:"running"`
	RoomBytes int64  `json:"results_bytes"`
	Pace      string `json:"pace"`
	Ejected   bool   `json:"ejected,omitempty"`
	Paused    bool   `json:"paused,omitempty"`
}

// tell tells the log what waits and on what servers. The caller holds mu.
func (g *Gatherer) tell(s *gathering, now time.Time) {
	if len(s.queue.waiting) == 0 || now.Sub(s.told) < tellInterval {
		return
	}
	s.told = now
	var states []serverState
	for _, server := range g.config.Servers.Service(s.name, now) {
		states = append(states, serverState{
			Upstream: string(server.ID), Running: s.running[server.ID], RoomBytes: s.room.byServer[server.ID],
			Pace: strconv.FormatFloat(s.paceOf(server.ID), 'f', 2, 64), Ejected: server.Ejected,
			Paused: now.Before(s.paused[server.ID]),
		})
	}
	g.config.Logger.Info("stage queue", "service", s.name, "groups", len(s.queue.waiting), "pieces", s.queue.total(),
		"rate", int(s.drain.rate), "held_ms", s.room.heldFor.Milliseconds(), "oldest_ms", now.Sub(s.queue.oldest()).Milliseconds(), "servers", states)
}

// handOverAfter is how long another host must own a service before what waits
// goes there: views of the members differ for a moment.
const handOverAfter = 150 * time.Millisecond

// handOver ends the groups that wait when another host gathers for the service
// now. Their hosts ask that one. What a server has begun stays.
func (g *Gatherer) handOver(s *gathering, now time.Time) (ended []func()) {
	if g.config.Owns == nil || g.config.Owns(s.name) {
		s.strange = time.Time{}
		return nil
	}
	if s.strange.IsZero() {
		s.strange = now
	}
	if now.Sub(s.strange) < handOverAfter {
		return nil
	}
	kept := s.queue.waiting[:0]
	for _, w := range s.queue.waiting {
		if w.Stay || w.open > len(w.waiting) {
			kept = append(kept, w)
		} else {
			ended = append(ended, w.end(call.PieceMoved))
		}
	}
	if len(ended) > 0 {
		g.config.Logger.Info("stage queue handed over", "service", s.name, "groups", len(ended), "kept", len(kept))
	}
	s.queue.waiting = kept
	return ended
}

// Gather runs a group's pieces and returns a result for each. When ctx ends
// pieces that wait are dropped. A group for which too much waits is refused at
// once.
func (g *Gatherer) Gather(ctx context.Context, group Group) []call.PieceResult {
	answer := make(chan []call.PieceResult, 1)
	now := time.Now()
	w := newWork(group, now, func(results []call.PieceResult) { answer <- results })
	g.mu.Lock()
	s := g.service(group.Service)
	if spec, known := g.spec(group.Service); known && !s.inTime(w, spec, now) {
		g.mu.Unlock()
		return w.failed(call.PieceOverload)
	}
	s.queue.push(w)
	ended := g.pump(s, now)
	g.mu.Unlock()
	runAll(ended)
	select {
	case results := <-answer:
		return results
	case <-ctx.Done():
		g.mu.Lock()
		w.ended = true
		g.freeResults(w)
		g.mu.Unlock()
		return w.failed(call.PieceLate)
	}
}

// failed gives the same failure for every piece.
func (w *work) failed(f call.PieceFailure) []call.PieceResult {
	results := make([]call.PieceResult, w.Pieces)
	for i := range results {
		results[i].Failure = f
	}
	return results
}

func (g *Gatherer) service(name string) *gathering {
	s := g.services[name]
	if s == nil {
		s = &gathering{
			name: name, room: newRoom(), running: make(map[instance.ID]int),
			paused: make(map[instance.ID]time.Time), pace: make(map[instance.ID]float64),
			foreign: make(map[instance.ID]foreign),
		}
		g.services[name] = s
	}
	return s
}

// spec describes the servers of a service, if it runs stages.
func (g *Gatherer) spec(service string) (*routing.StageServer, bool) {
	described, known := g.config.Service(service)
	if !known || described.Stages == nil {
		return nil, false
	}
	return described.Stages, true
}

// Wait is about how long a group that comes now waits for its turn.
func (g *Gatherer) Wait(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return 0
	}
	return max(s.drain.wait(float64(s.queue.total())), s.bytes.wait(float64(s.queue.totalBytes())))
}

// pump sends waiting pieces to free servers. The caller holds mu and runs what
// pump returns after it has let go of it.
func (g *Gatherer) pump(s *gathering, now time.Time) (ended []func()) {
	if len(s.queue.waiting) == 0 {
		return nil
	}
	spec, known := g.spec(s.name)
	if !known {
		return s.failAll(call.PieceRefused)
	}
	for _, late := range s.queue.expire(now, spec.CallTime) {
		ended = append(ended, late.end(call.PieceLate))
	}
	s.queue.sort(now, spec.FullCall())
	servers := g.config.Servers.Service(s.name, now)
	served := make(map[host.DataCentre]bool)
	for _, server := range servers {
		served[server.DataCentre] = served[server.DataCentre] || !server.Ejected
	}
	for _, server := range s.free(servers, spec, now) {
		at := place{centre: server.DataCentre, served: served}
		used, known := s.usedRoom(server.ID, now)
		if !known {
			g.askRoom(s, server, spec)
			continue
		}
		room := int64(roomShare*float64(spec.ResultRoom)) - used
		if batch := s.queue.batch(now, spec, room, at); len(batch) > 0 {
			g.start(s, server, spec, batch, now)
		}
	}
	return ended
}

// free returns the servers that can take a call, the fastest first. None is
// given a call to queue: what waits here can still be joined and reordered.
func (s *gathering) free(servers []instance.Status, spec *routing.StageServer, now time.Time) []instance.Status {
	var free []instance.Status
	for _, server := range servers {
		running := s.running[server.ID]
		if server.Ejected || now.Before(s.paused[server.ID]) || running >= spec.Concurrency {
			continue
		}
		free = append(free, server)
	}
	slices.SortStableFunc(free, func(a, b instance.Status) int {
		return cmp.Compare(s.paceOf(a.ID), s.paceOf(b.ID))
	})
	return free
}

func (s *gathering) paceOf(id instance.ID) float64 {
	if pace := s.pace[id]; pace > 0 {
		return pace
	}
	return 1
}

// failAll ends every group that waits.
func (s *gathering) failAll(f call.PieceFailure) (ended []func()) {
	for _, w := range s.queue.waiting {
		ended = append(ended, w.end(f))
	}
	s.queue.waiting = nil
	return ended
}

// end settles a group: pieces without a result fail. The returned function
// tells the asker.
func (w *work) end(f call.PieceFailure) func() {
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
	return func() { w.done(results) }
}

func runAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}
