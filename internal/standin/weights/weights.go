// Package weights is a stand-in for the platform's weight store. It serves a
// model's weights over HTTP at a limited rate that all callers share.
package weights

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// chunkBytes is the size of the pieces in which weights are sent.
const chunkBytes = 16 << 10

// retryAfterSeconds is the Retry-After header of a 429 response.
const retryAfterSeconds = "1"

// Config holds the settings of a weight store.
type Config struct {
	// Addr is the address to listen on; empty means a free loopback port.
	Addr string
	// ModelBytes is the size of each model's weights.
	ModelBytes int
	// BytesPerSecond is the rate that all callers share.
	BytesPerSecond int
	// MaxDownloads is the maximum number of concurrent downloads; further ones get
	// 429.
	MaxDownloads int
}

// Weights is a running stand-in for the weight store.
type Weights struct {
	*server.Listener
	cfg     Config
	faults  *fault.Set
	limiter *rate.Limiter
	active  atomic.Int64
	served  atomic.Int64
}

// Start starts a weight store, which serves GET /weights/{model}/{version}.
func Start(cfg Config) (*Weights, error) {
	limiter := rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), max(cfg.BytesPerSecond, chunkBytes))
	w := &Weights{cfg: cfg, faults: fault.NewSet(1), limiter: limiter}
	mux := http.NewServeMux()
	mux.Handle("/fault", fault.Handler(w.Fault))
	mux.HandleFunc("GET /weights/{model}/{version}", w.serve)
	listener, err := server.Listen(cfg.Addr, mux)
	if err != nil {
		return nil, err
	}
	w.Listener = listener
	return w, nil
}

// Fault injects a fault.
func (s *Weights) Fault(f fault.Fault) {
	s.faults.Add(f)
	switch f.Kind {
	case fault.Down:
		s.Down()
	case fault.Clear:
		_ = s.Up()
	}
}

// Served returns how many downloads were completed.
func (s *Weights) Served() int64 { return s.served.Load() }

func (s *Weights) serve(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.faults.Trigger(fault.Refuse); ok {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(s.cfg.ModelBytes))
	if r.Method == http.MethodHead {
		return
	}
	defer s.active.Add(-1)
	if s.active.Add(1) > int64(s.cfg.MaxDownloads) {
		w.Header().Del("Content-Length")
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "too many downloads", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	if s.sendWeights(r.Context(), w) == nil {
		s.served.Add(1)
	}
}

func (s *Weights) sendWeights(ctx context.Context, w http.ResponseWriter) error {
	chunk := make([]byte, chunkBytes)
	for left := s.cfg.ModelBytes; left > 0; {
		n := min(left, chunkBytes)
		if err := s.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return err
		}
		left -= n
	}
	return nil
}
