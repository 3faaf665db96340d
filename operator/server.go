package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/galenaseam/galenaseam/problem"
)

// HeaderOperatorKey carries the team's key with a change of the document.
const HeaderOperatorKey = "Seam-Operator-Key"

// maxEditBytes is the largest request body accepted for a change.
const maxEditBytes = 64 << 20

// State gives access to what a host knows about itself and the fleet.
// Implementations are safe for concurrent use.
type State interface {
	Status() Status
	Hosts() []HostRow
	Upstreams() []UpstreamRow
	Pipelines() []PipelineRow
	Workspaces() []WorkspaceRow
	// Explain returns the recorded decisions on a request with their inputs.
	// It returns false if the host has no record of the request.
	Explain(requestID string) (any, bool)
	// Costs returns the cost by stage since the process started.
	Costs() any
	// Drain starts a graceful shutdown and returns at once.
	Drain()
}

// Editor reads and changes the operators' document. The errors are
// *problem.Problem.
type Editor interface {
	Text() (ConfigText, error)
	Apply(ctx context.Context, operatorKey string, r ApplyRequest) (ApplyResponse, error)
	Rollback(ctx context.Context, operatorKey string, r RollbackRequest) (ApplyResponse, error)
	// Create accepts the first document. It fails if there is one already.
	Create(ctx context.Context, r CreateRequest) (ApplyResponse, error)
	// Restore writes the generation in force on this host back into a store
	// that has an older one or none. It fails if another host is known to hold
	// a newer generation.
	Restore(ctx context.Context) (ApplyResponse, error)
	History(ctx context.Context, n int) ([]HistoryRow, error)
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	State    State
	Editor   Editor
	Gatherer prometheus.Gatherer
	// Token is the bearer token that operators must send. If it is empty, the
	// interface needs no authentication.
	Token  string
	Logger *slog.Logger
}

// Server is the http.Handler of the operators' interface.
type Server struct {
	cfg       Config
	tokenHash [sha256.Size]byte
	mux       *http.ServeMux
}

// New returns a Server with every endpoint registered.
func New(cfg Config) *Server {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{cfg: cfg, tokenHash: sha256.Sum256([]byte(cfg.Token)), mux: http.NewServeMux()}
	s.registerHealth()
	s.registerViews()
	s.registerConfig()
	s.registerProfiles()
	return s
}

// registerHealth registers the health checks, which the load balancer calls
// without a token.
func (s *Server) registerHealth() {
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	s.mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		status := s.cfg.State.Status()
		if !status.Ready {
			http.Error(w, status.Reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}

// registerViews registers the read-only views of the host's state, and POST
// /v1/drain.
func (s *Server) registerViews() {
	state := s.cfg.State
	s.handleGet("/v1/status", func(*http.Request) (any, error) { return state.Status(), nil })
	s.handleGet("/v1/hosts", func(*http.Request) (any, error) { return state.Hosts(), nil })
	s.handleGet("/v1/upstreams", func(*http.Request) (any, error) { return state.Upstreams(), nil })
	s.handleGet("/v1/pipelines", func(*http.Request) (any, error) { return state.Pipelines(), nil })
	s.handleGet("/v1/workspaces", func(*http.Request) (any, error) { return state.Workspaces(), nil })
	s.handleGet("/v1/costs", func(*http.Request) (any, error) { return state.Costs(), nil })
	s.handleGet("/v1/explain/{id}", func(r *http.Request) (any, error) {
		explanation, ok := state.Explain(r.PathValue("id"))
		if !ok {
			return nil, problem.New(http.StatusNotFound, "unknown_request", "this host remembers no such request", problem.No)
		}
		return explanation, nil
	})
	s.mux.Handle("POST /v1/drain", s.authorised(func(w http.ResponseWriter, _ *http.Request) {
		state.Drain()
		writeJSON(w, state.Status())
	}))
}

// registerProfiles registers the metrics and the Go runtime's profiles.
func (s *Server) registerProfiles() {
	metrics := promhttp.HandlerFor(s.cfg.Gatherer, promhttp.HandlerOpts{})
	s.mux.Handle("GET /metrics", s.authorised(metrics.ServeHTTP))
	s.mux.Handle("/debug/pprof/", s.authorised(pprof.Index))
	s.mux.Handle("/debug/pprof/cmdline", s.authorised(pprof.Cmdline))
	s.mux.Handle("/debug/pprof/profile", s.authorised(pprof.Profile))
	s.mux.Handle("/debug/pprof/symbol", s.authorised(pprof.Symbol))
	s.mux.Handle("/debug/pprof/trace", s.authorised(pprof.Trace))
}

// handleGet registers a view that is served as JSON to authorised callers.
func (s *Server) handleGet(path string, view func(*http.Request) (any, error)) {
	s.mux.Handle("GET "+path, s.authorised(func(w http.ResponseWriter, r *http.Request) {
		answer, err := view(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, answer)
	}))
}

// authorised wraps next so that it is called only if the request has the
// operators' token.
func (s *Server) authorised(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.tokenMatches(r) {
			problem.New(http.StatusUnauthorized, "unauthenticated", "the operators' token is missing or wrong", problem.No).Write(w, "")
			return
		}
		next(w, r)
	})
}

// tokenMatches reports whether the request has the operators' token as its
// bearer token, or none is configured. It compares hashes in constant time.
func (s *Server) tokenMatches(r *http.Request) bool {
	if s.cfg.Token == "" {
		return true
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(hash[:], s.tokenHash[:]) == 1
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// writeJSON writes the answer as indented JSON.
func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write error means that the caller has disconnected.
	_ = encoder.Encode(answer)
}

// writeError writes err as a problem document. Errors other than
// *problem.Problem become an internal error.
func writeError(w http.ResponseWriter, err error) {
	p, ok := err.(*problem.Problem) //nolint:errorlint // State and Editor return problems unwrapped
	if !ok {
		p = problem.New(http.StatusInternalServerError, "internal", err.Error(), problem.Unknown)
	}
	p.Write(w, "")
}
