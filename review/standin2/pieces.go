package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

func init() { cases["pieces"] = playPieces }

// Figures of the case "pieces".
const (
	piecesHosts   = 4
	keptPerHost   = 6
	bookingRest   = 240 * time.Millisecond
	usualPieces   = 8
	manyPieces    = 6_000_000
	manySent      = 3
	betweenMany   = 7 * time.Second
	memoryLimit   = 206 << 20 // limits.memory_mb
	memoryPoll    = 10 * time.Millisecond
	restartAfter  = time.Second
	allowedLosses = 3
)

// booking is one call on a kept connection and what its client got.
type booking struct {
	id       string
	host     *hostProcess
	kept     bool // the connection has carried an answer before
	sentAt   time.Time
	answered bool
	status   int
}

// piecesCase is the state of the case.
type piecesCase struct {
	*environment
	hosts   *fleet
	service *plainService

	mu       sync.Mutex // guards the fields below
	bookings []booking
	started  map[*hostProcess]time.Time // when the process was started
	ends     map[*hostProcess][]time.Time
	most     int64 // resident memory
}

// playPieces sends a few requests with very many pieces while other clients book on kept
// connections. It ends processes over their memory, as the platform does.
func playPieces(e *environment) (broken int, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	c := &piecesCase{
		environment: e, service: newPlainService("noma-kodols", 60*time.Millisecond, time.Second, store, e.note),
		started: make(map[*hostProcess]time.Time), ends: make(map[*hostProcess][]time.Time),
	}
	defer c.service.stop()
	for _, zone := range zones {
		if err := c.service.start(zone); err != nil {
			return 0, err
		}
	}
	for i, service := range []string{"valodas-serveri", "apkope", "apkope"} {
		u := &platformtest.Upstream{ID: fmt.Sprintf("i-55%06x", i), Service: service, Zone: zones[i], Work: 20 * time.Millisecond}
		if service == "valodas-serveri" {
			u.Events, u.EventPause = 10, 18*time.Millisecond
		}
		u.Start()
		defer u.Close()
		u.Register(store, "ready")
	}
	config, err := piecesConfig()
	if err != nil {
		return 0, err
	}
	store.Put(platform.ConfigKey, config)
	if c.hosts, err = newFleet(e.command, e.dir, store.Addr().String(), piecesHosts); err != nil {
		return 0, err
	}
	defer c.hosts.stop()
	if err := c.hosts.awaitReady(); err != nil {
		return 0, err
	}
	for _, h := range c.hosts.hosts {
		c.started[h] = time.Now()
	}
	time.Sleep(stableWindow + time.Second)
	c.play()
	return c.judge()
}

// piecesConfig returns a configuration with a staged route and a plain one.
func piecesConfig() ([]byte, error) {
	return json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{
				"name": "quick-answer", "host": routeHost, "prefix": "/puxa400/", "type": "stream", "resumable": true, "timeout_ms": 15000, "goal_ms": 1500,
				"itl_target_ms": 200, "priority": 2, "service": "valodas-serveri", "max_attempts": 2,
				"stages": []map[string]any{{"service": "apkope", "after": []int{}, "bytes": 6000}},
			},
			{
				"name": "order-booking", "host": routeHost, "prefix": "/bobo563/", "type": "unsafe", "timeout_ms": 3000, "goal_ms": 100, "priority": 2,
				"service": "noma-kodols", "max_attempts": 1,
			},
		},
		"services": []map[string]any{
			{"name": "valodas-serveri", "max_conns": 720, "engine": map[string]any{"concurrency": 64, "kv_capacity": 557011}},
			{"name": "noma-kodols", "max_conns": 192},
			{"name": "apkope", "max_conns": 720, "segments": map[string]any{
				"concurrency": 1, "queue": 2, "batch": 44, "call_ms": 150, "item_ms": 2.9, wire().HostMemory: 36, "handle_s": 4, "link_mbps": 10000,
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "bozi300", wire().TenantKeys: []string{apiKey}}},
	})
}

// play runs the clients and the watch over the memory.
func (c *piecesCase) play() {
	done := make(chan struct{})
	var all sync.WaitGroup
	for i, h := range c.hosts.hosts {
		all.Go(func() { c.watchMemory(h, done) })
		for k := range keptPerHost {
			all.Go(func() { c.book(h, fmt.Sprintf("booking-%d-%d", i, k), done) })
		}
	}
	pieces := usualPieces
	if c.trouble {
		pieces = manyPieces
	}
	for n := range manySent {
		time.Sleep(betweenMany)
		h, id := c.hosts.hosts[n%len(c.hosts.hosts)], fmt.Sprintf("pieces-%d", n)
		c.note("%s with Chunks: %d is sent to %s", id, pieces, h.name)
		a := send(h, "/puxa400/2f", id, "body of "+id, 15*time.Second, http.Header{
			"Model": {"m"}, wire().TokenUsage: {"1460,80"}, wire().PromptParts: {"5c1e07a2:800,91bd3f06:410"},
			"Chunks": {strconv.Itoa(pieces)}, wire().PieceKey: {"7c1e07a291bd"},
		})
		c.note("%s is answered %d, complete %t", id, a.status, a.complete)
	}
	time.Sleep(betweenMany)
	close(done)
	all.Wait()
}

// resident returns the resident memory of a process, 0 if it has ended.
func resident(h *hostProcess) int64 {
	h.mu.Lock()
	pid := h.command.Process.Pid
	h.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// watchMemory kills the process of a host that exceeds its memory and starts it again, as the
// platform does. A process that ends otherwise is started again as well.
func (c *piecesCase) watchMemory(h *hostProcess, done <-chan struct{}) {
	for {
		exited := h.done()
		select {
		case <-done:
			return
		case <-exited:
		case <-time.After(memoryPoll):
			used := resident(h)
			c.mu.Lock()
			c.most = max(c.most, used)
			c.mu.Unlock()
			if used <= memoryLimit {
				continue
			}
			_ = h.signal(syscall.SIGKILL) // it may have ended
			<-exited
			c.note("%s uses %d MiB and is killed", h.name, used>>20)
		}
		c.mu.Lock()
		c.ends[h] = append(c.ends[h], time.Now())
		c.mu.Unlock()
		time.Sleep(restartAfter)
		if err := c.hosts.launch(h); err != nil {
			c.note("%s could not be started: %v", h.name, err)
			return
		}
		c.mu.Lock()
		c.started[h] = time.Now()
		c.mu.Unlock()
	}
}

// book makes one booking after the other on a kept connection.
func (c *piecesCase) book(h *hostProcess, name string, done <-chan struct{}) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	kept := false
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		b := booking{id: fmt.Sprintf("%s-%d", name, n), host: h, kept: kept, sentAt: time.Now()}
		b.status, b.answered = c.bookOnce(transport, b)
		kept = b.answered
		c.mu.Lock()
		c.bookings = append(c.bookings, b)
		c.mu.Unlock()
		time.Sleep(bookingRest)
		if !b.answered {
			time.Sleep(restartAfter)
		}
	}
}

// bookOnce makes one booking and reports whether its answer was complete.
func (c *piecesCase) bookOnce(transport *http.Transport, b booking) (status int, complete bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+b.host.callers()+"/bobo563/2f", io.NopCloser(strings.NewReader("book "+b.id)))
	if err != nil {
		return 0, false
	}
	r.ContentLength = int64(len("book " + b.id))
	r.Host = routeHost
	r.Header = http.Header{wire().RequestID: {b.id}, "Deadline-Ms": {"3000"}, "Authorization": {"Bearer " + apiKey}}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err == nil
}

// judge counts the bookings that a host in touch had read from a kept connection and passed on to a
// sound server, and whose connection it closed without an answer.
func (c *piecesCase) judge() (broken int, err error) {
	ran := make(map[string]string)
	for _, a := range c.service.recorded() {
		ran[a.request] = a.server
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, answered, ends := 0, 0, 0
	for _, b := range c.bookings {
		server, passedOn := ran[b.id]
		switch {
		case b.answered:
			answered++
		case b.kept && passedOn:
			lost++
			c.note("%s, sent to %s on a kept connection, ran at %s; the connection was closed without an answer", b.id, b.host.name, server)
		}
	}
	for _, h := range c.hosts.hosts {
		ends += len(c.ends[h])
		c.note("%s ended %d times", h.name, len(c.ends[h]))
	}
	c.note("%d bookings were answered, %d passed on and not answered (%d allowed); processes ended by themselves %d times; the most memory was %d MiB",
		answered, lost, allowedLosses, ends, c.most>>20)
	if answered == 0 {
		return 0, fmt.Errorf("no booking was answered")
	}
	return max(lost-allowedLosses, 0), nil
}
