// Package frontend is the HTTP interface for callers. It validates requests,
// authenticates the workspace, and passes requests to package request.
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

// Headers of the callers' interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderGeneration     = "Seam-Generation"
	HeaderReplayed       = "Idempotency-Replayed"
)

// Current is the configuration that a request is served with.
type Current struct {
	Generation uint64
	Document   *document.Document
}

// Limits bounds the size of a caller's input.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// MaxKeyBytes bounds an Idempotency-Key.
	MaxKeyBytes int
}

// Defaults of Limits.
const (
	DefaultMaxBodyBytes = 1 << 20
	DefaultMaxKeyBytes  = 255
)

// Runner runs requests. It is implemented by *request.Runner.
type Runner interface {
	RunPipeline(ctx context.Context, job request.Job) (request.Result, error)
	RunService(ctx context.Context, job request.ServiceJob) (request.ServiceAnswer, error)
}

// Config holds the dependencies and limits of a Frontend.
type Config struct {
	Runner Runner
	// Current returns the configuration in force, or false if there is none yet.
	Current func() (Current, bool)
	Limits  Limits
	Logger  *slog.Logger
	// OnRefusal is called with the cause of each request that the frontend
	// refuses. It may be nil.
	OnRefusal func(cause string)
	// Draining reports whether the host is shutting down; nil means never.
	Draining func() bool
}

// Frontend is the http.Handler for callers.
type Frontend struct {
	cfg Config
	mux *http.ServeMux
}

// New returns a Frontend. Limits of 0 are replaced by their defaults.
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
	if cfg.OnRefusal == nil {
		cfg.OnRefusal = func(string) {}
	}
	if cfg.Draining == nil {
		cfg.Draining = func() bool { return false }
	}
	f := &Frontend{cfg: cfg, mux: http.NewServeMux()}
	f.mux.HandleFunc("POST /v1/pipelines/{pipeline}", f.wrap(f.pipeline))
	f.mux.HandleFunc("POST /v1/chat/completions", f.wrap(f.chat))
	f.mux.HandleFunc("/v1/services/{service}/{path...}", f.wrap(f.service))
	f.mux.HandleFunc("/", f.wrap(f.notFound))
	return f
}

// ServeHTTP serves a request.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p := checkPath(r.URL); p != nil {
		f.refuse(w, p, requestID(r))
		return
	}
	f.mux.ServeHTTP(w, r)
}

// requestInfo describes a request whose workspace has been authenticated.
type requestInfo struct {
	id        string
	workspace document.Workspace
	current   Current
	arrived   time.Time
}

// handler serves an authenticated request. A returned problem is sent as the
// answer.
type handler func(w http.ResponseWriter, r *http.Request, c requestInfo) *problem.Problem

// wrap does the work that all routes share: it assigns the request ID, limits the
// body, authenticates the workspace, and answers with the handler's problem.
func (f *Frontend) wrap(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := requestInfo{id: requestID(r), arrived: time.Now()}
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

// refuse answers with a problem and reports its cause.
func (f *Frontend) refuse(w http.ResponseWriter, p *problem.Problem, id string) {
	f.cfg.OnRefusal(p.Cause)
	f.cfg.Logger.Debug("request refused", "request_id", id, "cause", p.Cause, "ran", string(p.Ran))
	setWriteDeadline(w)
	p.Write(w, id)
}

// identify sets the configuration in force and the caller's workspace.
func (f *Frontend) identify(r *http.Request, c *requestInfo) *problem.Problem {
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

// notFound serves paths that do not exist.
func (f *Frontend) notFound(_ http.ResponseWriter, _ *http.Request, _ requestInfo) *problem.Problem {
	return problem.New(http.StatusNotFound, "unknown_path", "no such path or method", problem.No)
}

// maxRequestIDBytes bounds the request ID that a caller may choose.
const maxRequestIDBytes = 64

// requestID returns the caller's request ID if it is well-formed, and a new one
// otherwise.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id != "" && len(id) <= maxRequestIDBytes && isToken(id) {
		return id
	}
	return uuid.NewString()
}

// isToken reports whether s consists of ASCII letters, digits and - _ . :
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
