package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// arrival is a request that a server began to run.
type arrival struct {
	request, server string
	body            string
	at              time.Time
	crashed         bool
}

// plainService is the servers of a plain service. A request whose body begins with crashingBody
// crashes each server that begins to run it. Another process takes the place of a crashed one
// after some seconds.
type plainService struct {
	name  string
	work  time.Duration
	back  time.Duration // after a crash
	store *platformtest.Store
	note  func(format string, args ...any)

	mu       sync.Mutex // guards the fields below
	live     map[string]*plainServer
	started  int
	arrivals []arrival
	closed   bool
	restarts sync.WaitGroup
}

// crashingBody is the body of the request that crashes servers.
const crashingBody = "crash"

// plainServer is one process of a plain service.
type plainServer struct {
	id, zone string
	service  *plainService
	listener net.Listener
	server   *http.Server
	born     int64
}

func newPlainService(name string, work, back time.Duration, store *platformtest.Store, note func(string, ...any)) *plainService {
	return &plainService{name: name, work: work, back: back, store: store, note: note, live: make(map[string]*plainServer)}
}

// start starts a server and writes its entry.
func (p *plainService) start(zone string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return listener.Close()
	}
	p.started++
	s := &plainServer{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+p.started), zone: zone, service: p, listener: listener, born: time.Now().UnixMilli()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	p.live[s.id] = s
	go func() { _ = s.server.Serve(listener) }() // ends when the server is closed
	raw, err := json.Marshal(map[string]any{
		"service": p.name, "address": listener.Addr().String(), "zone": zone, "version": "v1", "concurrency": 6,
		"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": s.born,
	})
	if err != nil {
		return err
	}
	p.store.Put("servers/"+s.id, raw)
	return nil
}

// ServeHTTP runs a request.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender has left
	}
	id, body := r.Header.Get(wire().RequestID), string(raw)
	switch {
	case r.Header.Get(wire().ExpectedServer) != "" && r.Header.Get(wire().ExpectedServer) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(wire().NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	crashes := strings.HasPrefix(body, crashingBody)
	s.service.mu.Lock()
	s.service.arrivals = append(s.service.arrivals, arrival{request: id, server: s.id, body: body, at: time.Now(), crashed: crashes})
	s.service.mu.Unlock()
	if crashes {
		s.service.crash(s, id)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.service.work)
	w.Header().Set(wire().RequestID, id)
	w.Header().Set(wire().Signature, "stamp."+s.id)
	_, _ = io.WriteString(w, "answer of "+s.id+" to "+id) // if it fails, the sender has left
}

// crash ends a server: it closes its listener and resets its connections. Its entry is removed
// after three heartbeats of silence, and another process starts after some seconds.
func (p *plainService) crash(s *plainServer, request string) {
	p.mu.Lock()
	_, alive := p.live[s.id]
	delete(p.live, s.id)
	closed := p.closed
	if alive && !closed {
		p.restarts.Add(1)
	}
	p.mu.Unlock()
	if !alive || closed {
		return
	}
	p.note("%s begins to run %s and crashes", s.id, request)
	go func() { _ = s.server.Close() }()
	go func() {
		defer p.restarts.Done()
		time.Sleep(p.back)
		if err := p.start(s.zone); err != nil {
			p.note("a server could not be started: %v", err)
		}
		time.Sleep(max(3*heartbeat-p.back, 0))
		p.store.Delete("servers/" + s.id)
	}()
}

// heartbeat is the interval of the servers' writes to the store.
const heartbeat = 1200 * time.Millisecond

// recorded returns the requests that the servers began to run.
func (p *plainService) recorded() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.arrivals...)
}

// stop ends all servers.
func (p *plainService) stop() {
	p.mu.Lock()
	p.closed = true
	for _, s := range p.live {
		_ = s.server.Close()
	}
	p.mu.Unlock()
	p.restarts.Wait()
}
