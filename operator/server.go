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

// maxEditBytes bounds the body of a change.
const maxEditBytes = 64 << 20

// State is what a host tells about itself. Implementations are safe for
// concurrent use.
type State interface {
	Status() Status
	Hosts() []HostRow
	Upstreams() []UpstreamRow
	Pipelines() []PipelineRow
	Workspaces() []WorkspaceRow
	// Explain returns the inputs of the decisions on a request.
	Explain(requestID string) (any, bool)
	// Costs returns the cost by stage since the start.
	Costs() any
	// Drain starts a graceful shutdown and returns at once.
	Drain()
}

// Editor changes the operators' document. The errors are *problem.Problem.
type Editor interface {
	Text() (ConfigText, error)
	Apply(ctx context.Context, operatorKey string, r ApplyRequest) (ApplyAnswer, error)
	Rollback(ctx context.Context, operatorKey string, r RollbackRequest) (ApplyAnswer, error)
	// Create accepts the first document; it is refused when there is one.
	Create(ctx context.Context, r CreateRequest) (ApplyAnswer, error)
	// Restore puts the newest generation that hosts serve back into a store
	// that has fallen behind.
	Restore(ctx context.Context) (ApplyAnswer, error)
	History(ctx context.Context, n int) ([]HistoryRow, error)
}

// Config is what a Server works with.
type Config struct {
	State    State
	Editor   Editor
	Gatherer prometheus.Gatherer
	// Token is what operators present; empty leaves the interface open.
	Token  string
	Logger *slog.Logger
}

// Server is the operators' http.Handler.
type Server struct {
	cfg       Config
	tokenHash [sha256.Size]byte
	mux       *http.ServeMux
}

// New makes a Server.
func New(cfg Config) *Server {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{cfg: cfg, tokenHash: sha256.Sum256([]byte(cfg.Token)), mux: http.NewServeMux()}
	s.health()
	s.views()
	s.config()
	s.profiles()
	return s
}

// health serves the paths that the balancer asks; they need no token.
func (s *Server) health() {
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

// views serves what the host knows.
func (s *Server) views() {
	state := s.cfg.State
	s.get("/v1/status", func(*http.Request) (any, error) { return state.Status(), nil })
	s.get("/v1/hosts", func(*http.Request) (any, error) { return state.Hosts(), nil })
	s.get("/v1/upstreams", func(*http.Request) (any, error) { return state.Upstreams(), nil })
	s.get("/v1/pipelines", func(*http.Request) (any, error) { return state.Pipelines(), nil })
	s.get("/v1/workspaces", func(*http.Request) (any, error) { return state.Workspaces(), nil })
	s.get("/v1/costs", func(*http.Request) (any, error) { return state.Costs(), nil })
	s.get("/v1/explain/{id}", func(r *http.Request) (any, error) {
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

// profiles serves metrics and the Go runtime's profiles.
func (s *Server) profiles() {
	metrics := promhttp.HandlerFor(s.cfg.Gatherer, promhttp.HandlerOpts{})
	s.mux.Handle("GET /metrics", s.authorised(metrics.ServeHTTP))
	s.mux.Handle("/debug/pprof/", s.authorised(pprof.Index))
	s.mux.Handle("/debug/pprof/cmdline", s.authorised(pprof.Cmdline))
	s.mux.Handle("/debug/pprof/profile", s.authorised(pprof.Profile))
	s.mux.Handle("/debug/pprof/symbol", s.authorised(pprof.Symbol))
	s.mux.Handle("/debug/pprof/trace", s.authorised(pprof.Trace))
}

// get serves one view as JSON.
func (s *Server) get(path string, view func(*http.Request) (any, error)) {
	s.mux.Handle("GET "+path, s.authorised(func(w http.ResponseWriter, r *http.Request) {
		answer, err := view(r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, answer)
	}))
}

// authorised serves only callers that present the operators' token.
func (s *Server) authorised(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.mayCall(r) {
			problem.New(http.StatusUnauthorized, "unauthenticated", "the operators' token is missing or wrong", problem.No).Write(w, "")
			return
		}
		next(w, r)
	})
}

// mayCall compares the presented token in constant time.
func (s *Server) mayCall(r *http.Request) bool {
	if s.cfg.Token == "" {
		return true
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(hash[:], s.tokenHash[:]) == 1
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// writeJSON sends one answer.
func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write error means that the caller has gone.
	_ = encoder.Encode(answer)
}

// writeError sends a problem.
func writeError(w http.ResponseWriter, err error) {
	p, ok := err.(*problem.Problem) //nolint:errorlint // views and editors return problems unwrapped
	if !ok {
		p = problem.New(http.StatusInternalServerError, "internal", err.Error(), problem.Unknown)
	}
	p.Write(w, "")
}
