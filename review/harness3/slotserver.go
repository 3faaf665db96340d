package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// slotServer is a plain server with few slots and a short queue. It rejects what does not fit
// without running it.
type slotServer struct {
	id, service, zone string
	work              time.Duration
	slots             chan struct{}
	queue             chan struct{}
	born              time.Time
	listener          net.Listener
	arrivals          *arrivals
	leaving           atomic.Bool // all answers say so
}

// arrivals are the requests that reached a service. It is safe for concurrent use.
type arrivals struct {
	mu  sync.Mutex // guards all
	all []arrival
}

type arrival struct {
	id     string
	server string
	at     time.Time
	ran    bool
}

func (a *arrivals) add(id, server string) (index int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, arrival{id: id, server: server, at: time.Now()})
	return len(a.all) - 1
}

func (a *arrivals) setRan(index int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all[index].ran = true
}

func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.all...)
}

// start starts the server and registers it in a store.
func (s *slotServer) start(store *platformtest.Store, slots, queue int) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.born = listener, time.Now().Add(-time.Minute)
	s.slots, s.queue = make(chan struct{}, slots), make(chan struct{}, slots+queue)
	go func() { _ = http.Serve(listener, http.HandlerFunc(s.serve)) }() //nolint:gosec // callers are the case's own hosts
	entry, err := json.Marshal(map[string]any{
		"service": s.service, "address": listener.Addr().String(), "zone": s.zone, "version": "v1", "concurrency": slots,
		"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": s.born.UnixMilli(),
	})
	if err != nil {
		return err
	}
	store.Put("servers/"+s.id, entry)
	return nil
}

func (s *slotServer) close() { _ = s.listener.Close() }

func (s *slotServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the body does not matter
	id := r.Header.Get(wire.RequestID)
	index := s.arrivals.add(id, s.id)
	w.Header().Set(wire.RequestID, id)
	if s.leaving.Load() {
		w.Header().Set(wire.Leaving, "1")
	}
	select {
	case s.queue <- struct{}{}:
		defer func() { <-s.queue }()
	default:
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.arrivals.setRan(index)
	time.Sleep(s.work)
	body := fmt.Sprintf("answer of %s to %s", s.id, id)
	w.Header().Set(wire.Stamp, "stamp-of-"+s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // the host may have left
}
