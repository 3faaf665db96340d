package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// modelServer streams events. It can leave as a server does that shuts down in order: it reports
// that it is draining, goes on for a while, accepts no further connections, and ends what it has.
type modelServer struct {
	id, zone   string
	events     int
	eventPause time.Duration
	listener   net.Listener

	mu      sync.Mutex // guards the fields below
	holdTo  time.Time  // events wait until then: the streams are preempted
	leaving bool       // all answers say so
	streams map[string]*modelStream
}

// modelStream is a stream as its server saw it.
type modelStream struct {
	id      string
	server  string
	startAt time.Time
	endAt   time.Time
	events  int
	cut     bool // the host closed the connection before the end
}

func (m *modelServer) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.listener, m.streams = listener, make(map[string]*modelStream)
	go func() { _ = http.Serve(listener, http.HandlerFunc(m.serve)) }() //nolint:gosec // callers are the case's own hosts
	return nil
}

// report writes the server's entry.
func (m *modelServer) report(store *platformtest.Store, state string) error {
	entry, err := json.Marshal(map[string]any{
		"service": modelService, "address": m.listener.Addr().String(), "zone": m.zone, "version": "v1", "concurrency": 64,
		"state": state, "warmup_left_ms": 0, "seq": 1, "born": 1_780_000_000_000,
	})
	if err != nil {
		return err
	}
	store.Put("servers/"+m.id, entry)
	m.mu.Lock()
	m.leaving = state != "ready"
	m.mu.Unlock()
	return nil
}

// stopAccepting closes the listener. What is in progress goes on.
func (m *modelServer) stopAccepting() { _ = m.listener.Close() }

// preempt makes the streams in progress send nothing for a time.
func (m *modelServer) preempt(length time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holdTo = time.Now().Add(length)
}

// markCut records that a host closed the connection of a stream before its end.
func (m *modelServer) markCut(s *modelStream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.cut = true
}

// list returns the streams that the server has run.
func (m *modelServer) list() []modelStream {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]modelStream, 0, len(m.streams))
	for _, s := range m.streams {
		all = append(all, *s)
	}
	return all
}

func (m *modelServer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the body does not matter
	m.mu.Lock()
	if m.leaving {
		w.Header().Set(wire.Leaving, "1")
	}
	m.mu.Unlock()
	if expected := r.Header.Get(wire.ExpectedServer); expected != "" && expected != m.id {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(wire.RequestID)
	s := &modelStream{id: id, server: m.id, startAt: time.Now()}
	m.mu.Lock()
	m.streams[id] = s
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		s.endAt = time.Now()
		m.mu.Unlock()
	}()
	w.Header().Set(wire.RequestID, id)
	w.Header().Set(wire.Stamp, "stamp-of-"+m.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range m.events {
		m.mu.Lock()
		pause := max(time.Until(m.holdTo), 0) + m.eventPause
		m.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			m.markCut(s)
			return
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: event %s\n\n", i, strconv.Itoa(i))
		if err != nil || http.NewResponseController(w).Flush() != nil {
			m.markCut(s)
			return
		}
		m.mu.Lock()
		s.events++
		m.mu.Unlock()
	}
}
