// Package store is a stand-in for the platform's key-value service: a subset of
// the etcd v3 API in its JSON form, kept in memory. It serves single keys,
// transactions with one comparison and one operation, leases and watches.
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

// maxBodyBytes bounds a call: the largest value in base64 and some room.
const maxBodyBytes = 2 << 20

// expiryInterval is how often leases are looked at.
const expiryInterval = 100 * time.Millisecond

// Counts is the calls that the store has taken.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
	// Open is how many watches are open now.
	Open int64 `json:"open"`
	// Keys is the reads and writes by the first part of the key.
	Keys map[string]KeyCounts `json:"keys"`
}

// KeyCounts is the calls on the keys with one first part.
type KeyCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Config is the settings of a store.
type Config struct {
	// Addr is where to listen; empty means a free loopback port.
	Addr string
	// Delay is how long each call takes.
	Delay time.Duration
	// Seed decides which calls a fault's share hits.
	Seed uint64
}

// Store is a running stand-in.
type Store struct {
	*server.Listener
	cfg    Config
	data   *data
	faults *fault.Set

	reads, writes, watches, leases atomic.Int64

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Start serves an empty store.
func Start(cfg Config) (*Store, error) {
	s := &Store{cfg: cfg, data: newData(), faults: fault.NewSet(cfg.Seed)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	listener, err := server.Listen(cfg.Addr, s.routes())
	if err != nil {
		s.cancel()
		return nil, err
	}
	s.Listener = listener
	s.running.Add(1)
	go s.expireLeases()
	return s, nil
}

// Stop ends the store and forgets its content.
func (s *Store) Stop() {
	s.cancel()
	s.Listener.Stop()
	s.running.Wait()
}

// Counts returns the calls taken so far.
func (s *Store) Counts() Counts {
	s.data.mu.Lock()
	open := len(s.data.watchers)
	keys := maps.Clone(s.data.calls)
	s.data.mu.Unlock()
	return Counts{
		Reads: s.reads.Load(), Writes: s.writes.Load(), Watches: s.watches.Load(),
		Leases: s.leases.Load(), Open: int64(open), Keys: keys,
	}
}

// Fault puts a failure in force. Refuse answers "no leader", LostAnswer cuts
// the connection after the effect, Stall never answers.
func (s *Store) Fault(f fault.Fault) {
	switch f.Kind {
	case fault.Clear:
		s.faults.Add(f)
		_ = s.Up()
	case fault.Down:
		s.goDown(f)
	case fault.WatchBreak:
		s.data.mu.Lock()
		s.data.breakWatches()
		s.data.mu.Unlock()
	case fault.WatchSkip:
		s.data.mu.Lock()
		s.data.skip = max(f.Count, 1)
		s.data.mu.Unlock()
	case fault.LeaseLapse:
		s.data.lapse()
	case fault.Snapshot:
		s.data.keep()
	case fault.Restore:
		s.data.restore()
	default:
		s.faults.Add(f)
	}
}

func (s *Store) goDown(f fault.Fault) {
	s.Down()
	if f.ForMS == 0 {
		return
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		if sleep.For(s.ctx, f.Duration()) == nil {
			_ = s.Up()
		}
	}()
}

func (s *Store) expireLeases() {
	defer s.running.Done()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			s.data.mu.Lock()
			s.data.expire(now)
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
		return streamed[leaseResponse]{s.data.keepAlive(req.ID)}, nil
	}))
	mux.HandleFunc("POST /v3/lease/revoke", unary(s, &s.leases, func(req *leaseRequest) (any, error) {
		return s.data.revoke(req.ID)
	}))
	mux.HandleFunc("POST /v3/watch", func(w http.ResponseWriter, r *http.Request) {
		s.watches.Add(1)
		if s.before(w, r) {
			s.watch(w, r)
		}
	})
	return mux
}

// unary serves a call with one answer under the failures in force.
func unary[Req any](s *Store, counter *atomic.Int64, run func(*Req) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		counter.Add(1)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, errTooLarge)
			return
		}
		if !s.before(w, r) {
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

// before shows the failures that come ahead of a call's effect. It returns
// false when the call is over.
func (s *Store) before(w http.ResponseWriter, r *http.Request) bool {
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
