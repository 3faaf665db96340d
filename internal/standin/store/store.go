// Package store is a stand-in for the platform's key-value store: an in-memory
// implementation of a subset of the etcd v3 API in its JSON form. It supports
// reads and watches of single keys, transactions with at most one comparison and
// one operation, and leases.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// maxBodyBytes bounds the body of a call. It has room for the largest value in
// base64 and the other fields.
const maxBodyBytes = 2 << 20

// expiryInterval is how often leases are checked for expiry.
const expiryInterval = 100 * time.Millisecond

// Counts counts the calls that the store has received.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
	// Open is the number of watches that are open now.
	Open int64 `json:"open"`
	// Keys holds the reads and writes by the first two segments of the key,
	// without digits at the end of the second.
	Keys map[string]KeyCounts `json:"keys"`
}

// KeyCounts counts the calls on the keys of one group of Counts.Keys.
type KeyCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Config holds the settings of a store.
type Config struct {
	// Addr is the address to listen on; empty means a free loopback port.
	Addr string
	// Delay is how long the store waits before it serves a call.
	Delay time.Duration
	// Seed seeds the random choice of the calls that a fault with a Share
	// affects.
	Seed uint64
}

// Store is a running stand-in for the key-value store.
type Store struct {
	*server.Listener
	cfg    Config
	data   *data
	faults *fault.Set

	reads, writes, watches, leases atomic.Int64

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// Start starts an empty store.
func Start(cfg Config) (*Store, error) {
	s := &Store{cfg: cfg, data: newData(), faults: fault.NewSet(cfg.Seed)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	listener, err := server.Listen(cfg.Addr, s.routes())
	if err != nil {
		s.cancel()
		return nil, err
	}
	s.Listener = listener
	s.background.Add(1)
	go s.runLeaseExpiry()
	return s, nil
}

// Stop stops the store. Its content is lost.
func (s *Store) Stop() {
	s.cancel()
	s.Listener.Stop()
	s.background.Wait()
}

// Counts returns the counts of the calls received so far.
func (s *Store) Counts() Counts {
	s.data.mu.Lock()
	open := len(s.data.watchers)
	keys := maps.Clone(s.data.callCounts)
	s.data.mu.Unlock()
	return Counts{
		Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load(),
		Leases: s.leases.Load(), Open: int64(open), Keys: keys,
	}
}

// Fault injects a fault. Refuse answers "no leader", LostAnswer closes the
// connection after the call took effect, and Stall never answers: it closes the
// connection after the delay, or waits for the caller to do so if there is
// none.
func (s *Store) Fault(f fault.Fault) {
	switch f.Kind {
	case fault.Clear:
		s.faults.Add(f)
		_ = s.Up()
	case fault.Down:
		s.takeDown(f)
	case fault.WatchBreak:
		s.data.mu.Lock()
		s.data.breakWatches()
		s.data.mu.Unlock()
	case fault.WatchSkip:
		s.data.mu.Lock()
		s.data.changesToDrop = max(f.Count, 1)
		s.data.mu.Unlock()
	case fault.LeaseLapse:
		s.data.endAllLeases()
	case fault.Snapshot:
		s.data.takeSnapshot()
	case fault.Restore:
		s.data.restore()
	default:
		s.faults.Add(f)
	}
}

func (s *Store) takeDown(f fault.Fault) {
	s.Down()
	if f.ForMS == 0 {
		return
	}
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		if sleep.For(s.ctx, f.Duration()) == nil {
			_ = s.Up()
		}
	}()
}

func (s *Store) runLeaseExpiry() {
	defer s.background.Done()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			s.data.mu.Lock()
			s.data.expireLeases(now)
			s.data.mu.Unlock()
		}
	}
}

func (s *Store) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/fault", fault.Handler(s.Fault))
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("POST /v3/kv/range", unary(s, &s.reads, func(req *rangeRequest) (any, error) {
		if len(req.RangeEnd) > 0 {
			return nil, errBadRequest
		}
		return s.data.get(req.Key), nil
	}))
	mux.HandleFunc("POST /v3/kv/txn", unary(s, &s.writes, func(req *txnRequest) (any, error) {
		return s.data.txn(req)
	}))
	mux.HandleFunc("POST /v3/lease/grant", unary(s, &s.leases, func(req *leaseRequest) (any, error) {
		return s.data.grant(*req), nil
	}))
	mux.HandleFunc("POST /v3/lease/keepalive", unary(s, &s.leases, func(req *leaseRequest) (any, error) {
		return streamResult[leaseResponse]{s.data.keepAlive(req.ID)}, nil
	}))
	mux.HandleFunc("POST /v3/lease/revoke", unary(s, &s.leases, func(req *leaseRequest) (any, error) {
		return s.data.revoke(req.ID)
	}))
	mux.HandleFunc("POST /v3/watch", func(w http.ResponseWriter, r *http.Request) {
		s.watches.Add(1)
		if s.applyFaults(w, r) {
			s.watch(w, r)
		}
	})
	return mux
}

// unary returns a handler for a call with a single response, under the active
// faults.
func unary[Req any](s *Store, counter *atomic.Int64, run func(*Req) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		counter.Add(1)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, errTooLarge)
			return
		}
		if !s.applyFaults(w, r) {
			return
		}
		var req Req
		if json.Unmarshal(body, &req) != nil {
			writeError(w, errBadRequest)
			return
		}
		answer, err := run(&req)
		if _, lost := s.faults.Trigger(fault.LostAnswer); lost {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		server.WriteJSON(w, http.StatusOK, answer)
	}
}

// applyFaults applies the faults that precede the effect of a call. It returns
// false if the call is over.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	if _, ok := s.faults.Trigger(fault.Refuse); ok {
		writeError(w, errNoLeader)
		return false
	}
	if f, ok := s.faults.Trigger(fault.Stall); ok {
		wait := f.Delay()
		if wait == 0 {
			<-r.Context().Done()
		}
		_ = sleep.For(r.Context(), wait)
		panic(http.ErrAbortHandler)
	}
	delay := s.cfg.Delay
	if f, ok := s.faults.Trigger(fault.Slow); ok {
		delay += f.Delay()
	}
	return sleep.For(r.Context(), delay) == nil
}

func writeError(w http.ResponseWriter, err error) {
	var status *statusError
	if !errors.As(err, &status) {
		status = errBadRequest
	}
	server.WriteJSON(w, status.status, status)
}
