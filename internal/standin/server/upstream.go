package server

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
)

// Headers that upstreams and hosts exchange.
const (
	HeaderRequestID     = "Seam-Request-Id"
	HeaderStage         = "Seam-Stage"
	HeaderAttempt       = "Seam-Attempt"
	HeaderRan           = "Seam-Ran"
	HeaderUpstreamState = "Seam-Upstream-State"
	HeaderLoad          = "Seam-Load"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 16 << 20

// UpstreamConfig is the settings of the part that all upstreams share.
type UpstreamConfig struct {
	// Addr is where to listen; empty means a free loopback port.
	Addr string
	// Concurrency is how many calls run at once; the others queue.
	Concurrency int
	// ReportsLoad adds a load header to each answer.
	ReportsLoad bool
	// LoadInterval is the age up to which a load report is repeated.
	LoadInterval time.Duration
	// Seed decides which calls a fault's share hits.
	Seed uint64
	// OnRun is told the body of each call that ran; nil ignores it.
	OnRun func(body []byte)
	// OnCrash is told the body of each call that crashed the upstream; nil
	// ignores it.
	OnCrash func(body []byte)
}

// Call is what the shared part hands to an upstream's own work.
type Call struct {
	Request *http.Request
	Body    []byte
	// Slots bounds the calls that run at once.
	Slots *Slots
	// Factor stretches the time that work takes; 1 is normal.
	Factor float64
}

// Wait lets d, stretched by the call's factor, pass. It returns early with an
// error when the caller has gone.
func (c *Call) Wait(d time.Duration) error {
	return sleep.For(c.Request.Context(), time.Duration(float64(d)*c.Factor))
}

// Work is an upstream's own part. It writes the answer to w.
type Work func(w http.ResponseWriter, call *Call)

// Upstream is a stand-in for one server behind the hosts.
type Upstream struct {
	*Listener
	cfg    UpstreamConfig
	faults *fault.Set
	slots  *Slots
	work   Work
	mux    *http.ServeMux
	ctx    context.Context
	cancel context.CancelFunc
	timers sync.WaitGroup

	mu       sync.Mutex
	answer   *answer // the newest whole answer, for crossing
	load     Load
	loadTime time.Time
	kvShare  func() float64
	crashes  int
	calls    int
	left     time.Time     // when it began to leave
	lastWork time.Duration // how long after that the last new work came
	late     []time.Time   // new work that came later than LeaveGrace
}

// LeaveGrace is how long after it began to leave an upstream expects new work.
const LeaveGrace = 5 * time.Second

// maxLate bounds the late work that is remembered.
const maxLate = 100

// Load is an upstream's own report of its load.
type Load struct {
	InFlight   int     `json:"in_flight"`
	Queued     int     `json:"queued"`
	KVUseShare float64 `json:"kv_use_share"`
}

// Stats counts what an upstream saw.
type Stats struct {
	Calls   int  `json:"calls"`
	Crashes int  `json:"crashes"`
	Leaving bool `json:"leaving"`
	// WorkAfterLeaving is how long after it began to leave the last new work
	// came, in milliseconds; zero when none came.
	WorkAfterLeaving int64 `json:"work_after_leaving_ms"`
	// LateWork is when new work came later than LeaveGrace.
	LateWork []time.Time `json:"late_work,omitempty"`
	Load     Load        `json:"load"`
}

// StartUpstream serves work on every path but the shared ones: POST /fault,
// GET /healthz, GET /admin/load, GET /admin/stats and what admin adds.
func StartUpstream(cfg UpstreamConfig, work Work, admin map[string]http.HandlerFunc, kvShare func() float64) (*Upstream, error) {
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = 8
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &Upstream{
		cfg: cfg, faults: fault.NewSet(cfg.Seed), slots: NewSlots(cfg.Concurrency), work: work,
		mux: http.NewServeMux(), ctx: ctx, cancel: cancel, kvShare: kvShare,
	}
	u.mux.Handle("/fault", fault.Handler(u.Fault))
	u.mux.HandleFunc("GET /admin/load", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, u.Load()) })
	u.mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, u.Stats()) })
	u.mux.HandleFunc("GET /healthz", u.health)
	for pattern, handler := range admin {
		u.mux.HandleFunc(pattern, handler)
	}
	u.mux.HandleFunc("/", u.serve)
	listener, err := Listen(cfg.Addr, u.mux)
	if err != nil {
		cancel()
		return nil, err
	}
	u.Listener = listener
	return u, nil
}

// Stop ends the upstream and cuts every connection.
func (u *Upstream) Stop() {
	u.cancel()
	u.Listener.Stop()
	u.timers.Wait()
}

// Fault puts a failure in force.
func (u *Upstream) Fault(f fault.Fault) {
	switch f.Kind {
	case fault.Clear:
		u.faults.Add(f)
		_ = u.Up()
	case fault.Down:
		u.goDown(f.Duration())
	case fault.Return:
		u.faults.Remove(fault.Leaving)
	case fault.Leaving:
		u.faults.Add(f)
		u.mu.Lock()
		u.left = time.Now()
		u.mu.Unlock()
	default:
		u.faults.Add(f)
	}
}

// Load returns the newest load report, which lags by up to the load interval.
func (u *Upstream) Load() Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); u.loadTime.IsZero() || now.Sub(u.loadTime) >= u.cfg.LoadInterval {
		u.loadTime = now
		running, queued := u.slots.Counts()
		u.load = Load{InFlight: running, Queued: queued}
		if u.kvShare != nil {
			u.load.KVUseShare = u.kvShare()
		}
	}
	return u.load
}

// Stats returns the counters.
func (u *Upstream) Stats() Stats {
	load := u.Load()
	_, leaving := u.faults.Active(fault.Leaving)
	u.mu.Lock()
	defer u.mu.Unlock()
	return Stats{
		Calls: u.calls, Crashes: u.crashes, Leaving: leaving, Load: load,
		WorkAfterLeaving: u.lastWork.Milliseconds(), LateWork: slices.Clone(u.late),
	}
}

// serve runs one call under the failures in force.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		Refuse(w, http.StatusBadRequest, "body too long or cut off")
		return
	}
	u.echo(w.Header(), r.Header)
	if u.refused(w) {
		return
	}
	u.mu.Lock()
	u.calls++
	u.mu.Unlock()
	call := &Call{Request: r, Body: body, Slots: u.slots, Factor: 1}
	if f, ok := u.faults.Trigger(fault.Slow); ok {
		if f.Factor > 0 {
			call.Factor = f.Factor
		}
		if sleep.For(r.Context(), f.Delay()) != nil {
			return
		}
	}
	if f, ok := u.faults.Active(fault.Crash); ok && f.Marker != "" && bytes.Contains(body, []byte(f.Marker)) {
		u.crash(call, f)
	}
	u.answerCall(w, call)
}

// echo copies the call's identity into the answer's headers.
func (u *Upstream) echo(to, from http.Header) {
	for _, name := range []string{HeaderRequestID, HeaderStage, HeaderAttempt} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
	if u.cfg.ReportsLoad {
		load := u.Load()
		to.Set(HeaderLoad, fmt.Sprintf("inflight=%d,queued=%d,kv=%.3f", load.InFlight, load.Queued, load.KVUseShare))
	}
}

// health answers probes, which are no work.
func (u *Upstream) health(w http.ResponseWriter, r *http.Request) {
	u.echo(w.Header(), r.Header)
	if _, ok := u.faults.Active(fault.Leaving); ok {
		w.Header().Set(HeaderUpstreamState, "leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
