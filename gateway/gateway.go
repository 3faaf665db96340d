// Package gateway serves callers' requests: it runs a request's stages, sends the
// request to an upstream of its route, and returns the upstream's answer or a
// refusal that says whether the request may have run.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/pace"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/resume"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/transport"
	"github.com/galenaseam/galenaseam/workload"
)

// Error is the class of every error this package returns.
var Error = errs.Class("gateway")

// Codec translates between HTTP messages and typed calls.
type Codec interface {
	// DecodeRequest translates a request without its body.
	DecodeRequest(r *http.Request, arrived time.Time) (*call.Request, error)
	// EncodeRequest returns the headers of a request to an upstream.
	EncodeRequest(q *call.Request, a call.Attempt) http.Header
	// DecodeAnswer translates the status and headers of an upstream's answer.
	DecodeAnswer(r *http.Response) *call.Answer
	// DecodeNotice returns what the sender of an answer says about itself.
	DecodeNotice(r *http.Response) call.Notice
	// IdleTimeout returns how long an upstream keeps an unused connection
	// open, according to the headers of its answer.
	IdleTimeout(h http.Header) time.Duration
	// EncodeRefusal sets the headers of a refusal by the gateway. retryAfter is
	// how long the caller should wait before it retries; 0 omits it.
	EncodeRefusal(h http.Header, requestID string, retryAfter time.Duration)
}

// Config holds the dependencies of a Gateway. Every field must be set.
type Config struct {
	Codec Codec
	// Routes returns the current configuration, nil if none is known yet.
	Routes func() *routing.Table
	// AwaitRoutes is Routes, but waits for the first configuration while it is read.
	AwaitRoutes   func(context.Context) *routing.Table
	Instances     *instance.Table
	Transport     *transport.Client
	Stages        *staging.Runner
	Retries       *retry.Budget
	ResponseTimes *pace.Table
	Placer        *placement.Placer
	Streams       *resume.Keeper
	// Workload is nil if upstreams are chosen without it.
	Workload *workload.Table
	// ConfirmUpstreams brings Instances up to date with what the store has acknowledged when
	// it is called.
	ConfirmUpstreams func(context.Context) error
	// VersionMemory is how long a software version counts after its last upstream was
	// removed. It must be longer than streams last.
	VersionMemory time.Duration
	Quarantine    *quarantine.Quarantine
	Parts         *quarantine.Parts
	// Memory bounds what requests in progress hold.
	Memory     *memory.Account
	DataCentre host.DataCentre
	Logger     *slog.Logger
	Metrics    *Metrics
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	config Config
	drain  atomic.Pointer[Drain] // nil unless the host stops
	// stopped is done when Stop was called.
	stopped context.Context
	stop    context.CancelFunc
}

// New creates a gateway.
func New(config Config) *Gateway {
	g := &Gateway{config: config}
	g.stopped, g.stop = context.WithCancel(context.Background())
	return g
}

// Stop ends the requests in progress. Those whose answer has not begun are refused with what
// is known of them, the others are cut.
func (g *Gateway) Stop() { g.stop() }

const (
	// defaultTimeout applies when neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// answerMargin is subtracted from the caller's timeout, so that the answer
	// reaches the caller in time.
	answerMargin = 15 * time.Millisecond
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBody is the maximum body size if the configuration sets none.
	defaultMaxBody = 4 << 20
)

// Callers give up a stream after a silence of the longest of these: a fixed time,
// a multiple of the route's latency objective, and a multiple of its event gap.
const (
	minCallerSilence        = 2 * time.Second
	callerSilenceObjectives = 4
	callerSilenceGaps       = 8
	// firstEventMargin is subtracted from that silence, so that the first event
	// reaches the caller in time.
	firstEventMargin = 100 * time.Millisecond
)

// exchange is the state of one request in the gateway.
type exchange struct {
	*Gateway
	w       http.ResponseWriter
	r       *http.Request
	request *call.Request
	// bodyRoom is the memory of the request's body, answerRoom that of its answers and long
	// events.
	bodyRoom, answerRoom memory.Holder
	table                *routing.Table
	route                *routing.Route
	// stagePlan is which stages the request runs; nil if the route has none.
	stagePlan *staging.Plan
	service   string
	// version is the software version of the upstreams that may serve the request;
	// "" means any. A stream has the one that began it.
	version string
	// resumption is nil unless the caller resumes a stream.
	resumption *resumption
	digest     quarantine.Digest
	// sharedParts are the parts of the prompt that other requests may have too.
	sharedParts []string
	// soundAnswer means that an upstream has answered the request without a crash.
	soundAnswer bool
	// partsRefusedUntil is when a condemned part of the prompt may be tried again; zero
	// if none is known to be condemned.
	partsRefusedUntil time.Time
	// runAlone means that the request is suspected of crashing upstreams and
	// that only this host may run it now. completed means that an upstream ran
	// it to its end.
	runAlone  bool
	completed bool
	// priority is the rank in queues; lower is more urgent. A stream that its caller takes
	// up is one step ahead of new ones: the caller holds a part of the answer.
	priority int
	// workspace is the workspace's name, which upstreams are sent; "" if the
	// request has none.
	workspace string
	deadline  time.Time
	// targetTime is when the answer is due by the route's latency objective.
	targetTime time.Time
	// startBy is when a stream must have begun, since its caller gives up then.
	startBy time.Time
	// ctx is done when the caller's connection closes, the deadline passes or the host ends
	// its requests.
	ctx    context.Context
	random *rand.Rand

	inputsMu sync.Mutex       // guards inputs
	inputs   *staging.Results // results of the stages; nil if there are none or they were freed

	placements atomic.Uint32 // how often an engine was chosen
	mayHaveRun bool          // an upstream may have run the request
	started    bool          // the status and headers of the answer were sent
	bodyRead   bool          // the request has no body, or it has been read to its end
	aborted    bool          // the connection is closed without a complete answer
	// fallbackAnswer is an upstream's error answer, which the caller gets if no
	// other upstream succeeds.
	fallbackAnswer *wholeAnswer

	// The remaining fields are for the request's log line.
	attempts []attemptRecord
	// stagesTook is the time from the request's arrival to the end of its stages.
	stagesTook time.Duration
	events     int
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{Gateway: g, w: w, r: r, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	request, err := g.config.Codec.DecodeRequest(r, arrived)
	if err != nil {
		x.request = &call.Request{Arrived: arrived, Target: r.RequestURI}
		x.refuse(refusal{status: http.StatusBadRequest, reason: "malformed", detail: err.Error()})
		return
	}
	x.request = request
	x.answerRoom.Init(g.config.Memory, memory.Answer, x.endWrite)
	defer x.bodyRoom.Free()
	defer x.answerRoom.Free()
	if refused, ok := x.prepare(); !ok {
		x.refuse(refused)
		return
	}
	x.serve()
}

// prepare finds the route and the workspace and reads the body. It returns false
// and a refusal if the request can't be served.
func (x *exchange) prepare() (refusal, bool) {
	x.table = x.configuration()
	if x.table == nil {
		return refusal{status: http.StatusServiceUnavailable, reason: "no_configuration", retryAfter: x.spread(configurationRetryAfter)}, false
	}
	route, found := x.table.Match(x.request.Host, x.request.Target)
	if !found {
		return refusal{status: http.StatusNotFound, reason: "no_route"}, false
	}
	x.route = route
	workspace, known := x.table.Workspace(x.request.APIKey)
	if x.table.NeedsKeys() && !route.Public && !known {
		return refusal{status: http.StatusUnauthorized, reason: "unknown_key"}, false
	}
	if known {
		x.workspace = workspace.Name
	} else {
		workspace = nil
	}
	x.priority = x.table.Rank(route, workspace)
	if x.resumesStream() {
		x.priority--
	}
	x.service = route.Target(hashName(x.request.ID))
	x.setTimes()
	if refused, ok := x.planStages(); !ok {
		return refused, false
	}
	return x.readBody()
}

// setTimes sets the deadline, the latest start of a stream, and the target time.
func (x *exchange) setTimes() {
	timeout := defaultTimeout
	if x.request.CallerTimeout > 0 {
		timeout = x.request.CallerTimeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.request.Arrived.Add(timeout - answerMargin)
	x.startBy = x.deadline
	if x.route.Kind == routing.Stream {
		x.startBy = earlier(x.deadline, x.request.Arrived.Add(callerPatience(x.route)-firstEventMargin))
	}
	x.targetTime = x.request.Arrived.Add(x.route.Objective)
	if x.route.Objective <= 0 {
		x.targetTime = x.deadline
	}
}

// callerPatience returns the silence after which callers give up a stream of a route.
func callerPatience(route *routing.Route) time.Duration {
	return max(minCallerSilence, callerSilenceObjectives*route.Objective, callerSilenceGaps*route.EventGap)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serve runs a request whose body was read.
func (x *exchange) serve() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.stopped, cancel)()
	x.ctx = ctx
	if refused, late := x.refuseLate(); late {
		x.refuse(refused)
		return
	}
	if refused, ok := x.checkQuarantine(); !ok {
		x.refuse(refused)
		return
	}
	defer x.release()
	if refused, ok := x.requireVersion(); !ok {
		x.refuse(refused)
		return
	}
	if refused, ok := x.requireUpstreams(); !ok {
		x.refuse(refused)
		return
	}
	if refused, ok := x.runStages(); !ok {
		x.refuse(refused)
		return
	}
	x.config.Retries.RecordRequest(x.service, time.Now())
	x.runAttempts()
}

// release gives up the right to run alone and the stages' results.
func (x *exchange) release() {
	if x.runAlone && x.completed {
		x.config.Quarantine.Ended(x.digest, "", false)
	} else if x.runAlone {
		x.config.Quarantine.Release(x.digest)
	}
	x.freeInputs()
}

// stageResults returns the results of the stages; nil if there are none or they were
// freed.
func (x *exchange) stageResults() *staging.Results {
	x.inputsMu.Lock()
	defer x.inputsMu.Unlock()
	return x.inputs
}

// replaceInputs stores the results of the stages and frees earlier ones.
func (x *exchange) replaceInputs(results *staging.Results) {
	x.inputsMu.Lock()
	old := x.inputs
	x.inputs = results
	x.inputsMu.Unlock()
	if old != nil {
		old.Free()
	}
}

// freeInputs frees the stages' results on the stage servers.
func (x *exchange) freeInputs() { x.replaceInputs(nil) }
