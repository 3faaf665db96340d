// Package service is a stand-in for upstreams of kind service, which are called
// in JSON over HTTP on any path. It counts how often each Idempotency-Key ran.
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// HeaderIdempotencyKey is the header that identifies a call which must run at
// most once.
const HeaderIdempotencyKey = "Idempotency-Key"

// Ledger counts executions for all services that share it. It is safe for
// concurrent use.
type Ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	total int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// Executions returns how many times each Idempotency-Key ran.
func (l *Ledger) Executions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make(map[string]int, len(l.runs))
	for key, count := range l.runs {
		runs[key] = count
	}
	return runs
}

// Total returns how many calls ran, with and without a key.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// recordRun counts one execution and returns the count of its key, or 1 if it
// has no key.
func (l *Ledger) recordRun(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if key == "" {
		return 1
	}
	l.runs[key]++
	return l.runs[key]
}

// ServeHTTP responds with a JSON object that maps each Idempotency-Key to its
// count.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, l.Executions())
}

// Config holds the settings of a service.
type Config struct {
	server.UpstreamConfig
	// Name is the service's name, which its answers contain.
	Name string
	// Duration is how long a call runs.
	Duration time.Duration
	// Ledger counts executions. If it is nil, the service gets its own.
	Ledger *Ledger
}

// Answer is the JSON answer of a service. It repeats the content of the call.
type Answer struct {
	Service        string          `json:"service"`
	Method         string          `json:"method"`
	Path           string          `json:"path"`
	Query          string          `json:"query,omitempty"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Execution      int             `json:"execution"`
	Request        json.RawMessage `json:"request,omitempty"`
}

// Service is a running stand-in for a service.
type Service struct {
	*server.Upstream
	Ledger *Ledger
}

// Start starts a service. It serves the ledger on GET /executions and calls on
// any other path.
func Start(cfg Config) (*Service, error) {
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	admin := map[string]http.HandlerFunc{"GET /executions": cfg.Ledger.ServeHTTP}
	u, err := server.StartUpstream(cfg.UpstreamConfig, cfg.handleCall, admin, nil)
	if err != nil {
		return nil, err
	}
	return &Service{Upstream: u, Ledger: cfg.Ledger}, nil
}

// handleCall runs one call. Once a call has a slot, it runs to its end even if
// its caller disconnects.
func (c Config) handleCall(w http.ResponseWriter, call *server.Call) {
	r := call.Request
	if call.Slots.Acquire(r.Context(), 0) != nil {
		return
	}
	defer call.Slots.Release()
	key := r.Header.Get(HeaderIdempotencyKey)
	count := c.Ledger.recordRun(key)
	w.Header().Set(server.HeaderRan, "yes")
	time.Sleep(time.Duration(float64(c.Duration) * call.Factor))
	server.WriteJSON(w, http.StatusOK, Answer{
		Service: c.Name, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		IdempotencyKey: key, Execution: count, Request: rawBody(call.Body),
	})
}

// rawBody returns a body of valid JSON unchanged, and any other body as a JSON
// string.
func rawBody(body []byte) json.RawMessage {
	if len(body) == 0 {
		return nil
	}
	if json.Valid(body) {
		return body
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return nil
	}
	return text
}
