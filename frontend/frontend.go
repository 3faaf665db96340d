// Package frontend is the HTTP interface that callers use. It checks what
// comes in, finds the workspace, and hands requests to package request.
package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/request"
)

// The headers of the callers' interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderGeneration     = "Seam-Generation"
	HeaderReplayed       = "Idempotency-Replayed"
)

// Current is the configuration that one request sees.
type Current struct {
	Generation uint64
	Document   *document.Document
}

// Limits bounds what a caller may send.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxKeyBytes bounds an Idempotency-Key.
	MaxKeyBytes int
}

// The defaults of Limits.
const (
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxKeyBytes  = 255
)

// Runner runs requests; *request.Runner is one.
type Runner interface {
	RunPipeline(ctx context.Context, job request.Job) (request.Result, error)
	RunService(ctx context.Context, job request.ServiceJob) (request.ServiceAnswer, error)
}

// Config is what a Frontend works with.
type Config struct {
	Runner Runner
	// Current returns the configuration in force, or false before any.
	Current func() (Current, bool)
	Limits  Limits
	Logger  *slog.Logger
	// Refused is told the cause of each refusal made here; nil ignores it.
	Refused func(cause string)
	// Draining says that the host is shutting down; nil means never.
	Draining func() bool
}

// Frontend is an http.Handler for callers.
type Frontend struct {
	cfg Config
	mux *http.ServeMux
}

// New makes a Frontend. Zero limits take their defaults.
func New(cfg Config) *Frontend {
	if cfg.Limits.MaxBodyBytes == 0 {
		cfg.Limits.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if cfg.Limits.MaxKeyBytes == 0 {
		cfg.Limits.MaxKeyBytes = DefaultMaxKeyBytes
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Refused == nil {
		cfg.Refused = func(string) {}
	}
	if cfg.Draining == nil {
		cfg.Draining = func() bool { return false }
	}
	f := &Frontend{cfg: cfg, mux: http.NewServeMux()}
	f.mux.HandleFunc("POST /v1/pipelines/{pipeline}", f.handle(f.pipeline))
	f.mux.HandleFunc("POST /v1/chat/completions", f.handle(f.chat))
	f.mux.HandleFunc("/v1/services/{service}/{path...}", f.handle(f.service))
	f.mux.HandleFunc("/", f.handle(f.notFound))
	return f
}

// ServeHTTP serves one request.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p := checkPath(r.URL); p != nil {
		f.refuse(w, p, requestID(r))
		return
	}
	f.mux.ServeHTTP(w, r)
}

// caller is one request whose sender is known.
type caller struct {
	id        string
	workspace document.Workspace
	current   Current
	arrived   time.Time
}

// handler serves a request whose sender is known. A returned problem becomes
// the answer.
type handler func(w http.ResponseWriter, r *http.Request, c caller) *problem.Problem

// handle does what all routes share: the request ID, the caller's workspace,
// the limits, and the answer when something is wrong.
func (f *Frontend) handle(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := caller{id: requestID(r), arrived: time.Now()}
		w.Header().Set(HeaderRequestID, c.id)
		if f.cfg.Draining() {
			w.Header().Set("Connection", "close")
		}
		r.Body = http.MaxBytesReader(w, r.Body, f.cfg.Limits.MaxBodyBytes)
		if p := f.identify(r, &c); p != nil {
			f.refuse(w, p, c.id)
			return
		}
		if p := next(w, r, c); p != nil {
			f.refuse(w, p, c.id)
		}
	}
}

// refuse answers with a problem.
func (f *Frontend) refuse(w http.ResponseWriter, p *problem.Problem, id string) {
	f.cfg.Refused(p.Cause)
	f.cfg.Logger.Debug("refused", "request_id", id, "cause", p.Cause, "ran", string(p.Ran))
	boundWrite(w)
	p.Write(w, id)
}

// identify finds the configuration in force and the caller's workspace in it.
func (f *Frontend) identify(r *http.Request, c *caller) *problem.Problem {
	current, ok := f.cfg.Current()
	if !ok {
		return problem.New(http.StatusServiceUnavailable, "not_ready", "the host has no configuration yet", problem.No).
			WithRetryAfter(time.Second)
	}
	c.current = current
	workspace, p := authenticate(r, current.Document)
	c.workspace = workspace
	return p
}

// notFound answers for paths that do not exist.
func (f *Frontend) notFound(_ http.ResponseWriter, _ *http.Request, _ caller) *problem.Problem {
	return problem.New(http.StatusNotFound, "unknown_path", "no such path or method", problem.No)
}

// maxRequestIDBytes bounds a request ID that a caller chose.
const maxRequestIDBytes = 64

// requestID takes the caller's request ID when it is well formed, and makes
// one otherwise.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id != "" && len(id) <= maxRequestIDBytes && isToken(id) {
		return id
	}
	return uuid.NewString()
}

// isToken says whether s has only letters, digits and the marks - _ . :
func isToken(s string) bool {
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		mark := c == '-' || c == '_' || c == '.' || c == ':'
		if !letter && !digit && !mark {
			return false
		}
	}
	return true
}
