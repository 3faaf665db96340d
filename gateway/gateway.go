// Package gateway takes callers' requests, has their stages done, sends each to
// an upstream of its route and returns the upstream's answer, or an honest
// refusal.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/pace"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/transport"
)

// Error is the class of every error this package returns.
var Error = errs.Class("gateway")

// Codec translates between HTTP messages and typed calls.
type Codec interface {
	// DecodeRequest translates a request without its body.
	DecodeRequest(r *http.Request, arrived time.Time) (*call.Request, error)
	// EncodeRequest gives the headers of a request to an upstream.
	EncodeRequest(q *call.Request, a call.Attempt) http.Header
	// DecodeAnswer translates the head of an upstream's answer.
	DecodeAnswer(r *http.Response) *call.Answer
	// IdleTimeout is how long an upstream keeps an unused connection.
	IdleTimeout(h http.Header) time.Duration
	// EncodeRefusal sets the headers of an answer of the gateway's own.
	EncodeRefusal(h http.Header, requestID string, pause time.Duration)
}

// Config is what a Gateway is made of. All of it must be set.
type Config struct {
	Codec Codec
	// Routes is the configuration in force, nil when none is known.
	Routes     func() *routing.Table
	Instances  *instance.Table
	Transport  *transport.Client
	Stages     *staging.Runner
	Retries    *retry.Budget
	Paces      *pace.Table
	Placer     *placement.Placer
	Quarantine *quarantine.Quarantine
	DataCentre host.DataCentre
	Logger     *slog.Logger
	Metrics    *Metrics
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	config   Config
	draining atomic.Bool
}

// New makes a gateway.
func New(config Config) *Gateway { return &Gateway{config: config} }

// Drain has every further answer close its connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

const (
	// defaultPatience stands for a caller's deadline that was not told and a
	// route's timeout that is not set.
	defaultPatience = 30 * time.Second
	// answerMargin is taken off the caller's time for the way back.
	answerMargin = 15 * time.Millisecond
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBody bounds bodies when the configuration does not.
	defaultMaxBody = 4 << 20
)

// Callers leave a stream that is silent for the longest of these.
const (
	minSilence        = 2 * time.Second
	silenceObjectives = 4
	silenceGaps       = 8
	// startMargin is taken off that for the way of the first event.
	startMargin = 100 * time.Millisecond
)

// exchange is one request on its way through the gateway.
type exchange struct {
	*Gateway
	w       http.ResponseWriter
	r       *http.Request
	request *call.Request
	table   *routing.Table
	route   *routing.Route
	service string
	digest  quarantine.Digest
	// alone says that the request is suspected of crashing upstreams, and runs
	// on this host alone; cleared that it ran to its end.
	alone    bool
	cleared  bool
	priority int
	// workspace is the name that upstreams are given, "" for none.
	workspace string
	deadline  time.Time
	aim       time.Time
	// startBy is when a stream must have begun, for its caller leaves then.
	startBy time.Time
	// ctx ends with the caller's connection or at the deadline.
	ctx    context.Context
	inputs *staging.Results
	redone bool // the stages were done a second time
	random *rand.Rand

	mayRun  bool // an upstream may have run the request
	started bool // the head of the answer was sent
	// spare is an upstream's failure that is passed on if no other upstream
	// does better.
	spare *wholeAnswer

	// What is told in the log.
	tries    []try
	stagesIn time.Duration
	events   int
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{Gateway: g, w: w, r: r, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	request, err := g.config.Codec.DecodeRequest(r, arrived)
	if err != nil {
		x.request = &call.Request{Arrived: arrived, Target: r.RequestURI}
		x.finish(refusal{status: http.StatusBadRequest, reason: "malformed", detail: err.Error()})
		return
	}
	x.request = request
	if refused, ok := x.prepare(); !ok {
		x.finish(refused)
		return
	}
	x.serve()
}

// prepare finds the route and the workspace and reads the body.
func (x *exchange) prepare() (refusal, bool) {
	x.table = x.config.Routes()
	if x.table == nil {
		return refusal{status: http.StatusServiceUnavailable, reason: "no_configuration", pause: configurationPause}, false
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
	x.priority = routing.PriorityOf(route, workspace)
	x.service = route.Target(hash(x.request.ID))
	x.setTimes()
	return x.readBody()
}

// setTimes finds the deadline and the time at which the answer has full value.
func (x *exchange) setTimes() {
	patience := defaultPatience
	if x.request.CallerTimeout > 0 {
		patience = x.request.CallerTimeout
	}
	if x.route.Timeout > 0 {
		patience = min(patience, x.route.Timeout)
	}
	x.deadline = x.request.Arrived.Add(patience - answerMargin)
	x.startBy = x.deadline
	if x.route.Kind == routing.Stream {
		silence := max(minSilence, silenceObjectives*x.route.Objective, silenceGaps*x.route.EventGap)
		x.startBy = earlier(x.deadline, x.request.Arrived.Add(silence-startMargin))
	}
	x.aim = x.request.Arrived.Add(x.route.Objective)
	if x.route.Objective <= 0 {
		x.aim = x.deadline
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serve runs a request that was read whole.
func (x *exchange) serve() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if refused, ok := x.screen(); !ok {
		x.finish(refused)
		return
	}
	defer x.release()
	if refused, ok := x.runStages(); !ok {
		x.finish(refused)
		return
	}
	x.config.Retries.RecordRequest(x.service, time.Now())
	if x.route.Kind == routing.Stream {
		x.stream()
		return
	}
	x.plain()
}

// release gives up what the request holds.
func (x *exchange) release() {
	if x.alone && x.cleared {
		x.config.Quarantine.Ended(x.digest, "", false)
	} else if x.alone {
		x.config.Quarantine.Release(x.digest)
	}
	x.freeInputs()
}

// freeInputs gives up the results of the stages.
func (x *exchange) freeInputs() {
	if x.inputs != nil {
		x.inputs.Free()
	}
}
