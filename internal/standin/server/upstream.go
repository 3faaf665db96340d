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

// UpstreamConfig holds the settings that all upstreams share.
type UpstreamConfig struct {
	// Addr is the address to listen on; empty means a free loopback port.
	Addr string
	// Concurrency is how many calls run at once; the others queue.
	Concurrency int
	// ReportsLoad adds a load header to each answer.
	ReportsLoad bool
	// LoadInterval is how long a load report is repeated before it is updated.
	LoadInterval time.Duration
	// Seed seeds the random choice of the calls that a fault with a Share
	// affects.
	Seed uint64
	// OnRun, unless nil, is called with the body of each call that ran.
	OnRun func(body []byte)
	// OnCrash, unless nil, is called with the body of each call that crashed
	// the upstream.
	OnCrash func(body []byte)
}

// Call is a call that Upstream passes to its WorkFunc.
type Call struct {
	Request *http.Request
	Body    []byte
	// Slots limits how many calls run at once. The WorkFunc acquires a slot.
	Slots *Slots
	// Factor multiplies the processing time. It is 1 unless a Slow fault sets
	// it.
	Factor float64
}

// Wait sleeps for d multiplied by Factor. It returns early with an error if the
// caller disconnects.
func (c *Call) Wait(d time.Duration) error {
	return sleep.For(c.Request.Context(), time.Duration(float64(d)*c.Factor))
}

// WorkFunc runs a call as its kind of upstream does, and writes the answer to
// w.
type WorkFunc func(w http.ResponseWriter, call *Call)

// Upstream is a stand-in for one server behind the hosts.
type Upstream struct {
	*Listener
	cfg      UpstreamConfig
	faults   *fault.Set
	slots    *Slots
	work     WorkFunc
	mux      *http.ServeMux
	ctx      context.Context
	cancel   context.CancelFunc
	restarts sync.WaitGroup

	mu            sync.Mutex
	lastAnswer    *recordedAnswer // the last complete answer, for the faults that send the answer of another call
	load          Load
	loadTime      time.Time
	kvUseShare    func() float64
	crashes       int
	calls         int
	leavingSince  time.Time     // when it was last told to leave
	lastWorkAfter time.Duration // the longest time from leavingSince to a new call
	lateWork      []time.Time   // arrivals of calls more than LeaveGrace after leavingSince
}

// LeaveGrace is how long after it starts to leave an upstream still expects new
// calls. Later ones are recorded as late work.
const LeaveGrace = 5 * time.Second

// maxLateWork bounds the number of late calls that are recorded.
const maxLateWork = 100

// Load is the load that an upstream reports.
type Load struct {
	InFlight   int     `json:"in_flight"`
	Queued     int     `json:"queued"`
	KVUseShare float64 `json:"kv_use_share"`
}

// Stats holds the counters of an upstream.
type Stats struct {
	Calls   int  `json:"calls"`
	Crashes int  `json:"crashes"`
	Leaving bool `json:"leaving"`
	// WorkAfterLeaving is the longest time from the start of leaving to the
	// arrival of a new call, in milliseconds; zero if none arrived.
	WorkAfterLeaving int64 `json:"work_after_leaving_ms"`
	// LateWork holds the arrival times of new calls more than LeaveGrace after
	// the start of leaving.
	LateWork []time.Time `json:"late_work,omitempty"`
	Load     Load        `json:"load"`
}

// StartUpstream starts an upstream. It serves POST /fault, GET /healthz,
// GET /admin/load, GET /admin/stats and the patterns in admin; calls on any
// other path go to work. Unless nil, kvUseShare returns the used share of the KV
// cache for load reports.
func StartUpstream(cfg UpstreamConfig, work WorkFunc, admin map[string]http.HandlerFunc, kvUseShare func() float64) (*Upstream, error) {
	if cfg.Concurrency <= 0 {
		cfg.Concurrency = 8
	}
	ctx, cancel := context.WithCancel(context.Background())
	u := &Upstream{
		cfg: cfg, faults: fault.NewSet(cfg.Seed), slots: NewSlots(cfg.Concurrency), work: work,
		mux: http.NewServeMux(), ctx: ctx, cancel: cancel, kvUseShare: kvUseShare,
	}
	u.mux.Handle("/fault", fault.Handler(u.Fault))
	u.mux.HandleFunc("GET /admin/load", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, u.Load()) })
	u.mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, u.Stats()) })
	u.mux.HandleFunc("GET /healthz", u.handleHealth)
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

// Stop stops the upstream and closes every connection.
func (u *Upstream) Stop() {
	u.cancel()
	u.Listener.Stop()
	u.restarts.Wait()
}

// Fault injects a fault.
func (u *Upstream) Fault(f fault.Fault) {
	switch f.Kind {
	case fault.Clear:
		u.faults.Add(f)
		_ = u.Up()
	case fault.Down:
		u.takeDown(f.Duration())
	case fault.Return:
		u.faults.Remove(fault.Leaving)
	case fault.Leaving:
		u.faults.Add(f)
		u.mu.Lock()
		u.leavingSince = time.Now()
		u.mu.Unlock()
	default:
		u.faults.Add(f)
	}
}

// Load returns the current load report, which may be up to LoadInterval old.
func (u *Upstream) Load() Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); u.loadTime.IsZero() || now.Sub(u.loadTime) >= u.cfg.LoadInterval {
		u.loadTime = now
		running, queued := u.slots.Counts()
		u.load = Load{InFlight: running, Queued: queued}
		if u.kvUseShare != nil {
			u.load.KVUseShare = u.kvUseShare()
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
		WorkAfterLeaving: u.lastWorkAfter.Milliseconds(), LateWork: slices.Clone(u.lateWork),
	}
}

// serve handles one call under the active faults.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		Refuse(w, http.StatusBadRequest, "body too long or cut off")
		return
	}
	u.echoHeaders(w.Header(), r.Header)
	if u.rejectNewWork(w) {
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
	u.answerWithFaults(w, call)
}

// echoHeaders copies the headers that identify the call into the answer, and
// adds a load report if configured.
func (u *Upstream) echoHeaders(to, from http.Header) {
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

// handleHealth answers health probes, which do not count as calls.
func (u *Upstream) handleHealth(w http.ResponseWriter, r *http.Request) {
	u.echoHeaders(w.Header(), r.Header)
	if _, ok := u.faults.Active(fault.Leaving); ok {
		w.Header().Set(HeaderUpstreamState, "leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
