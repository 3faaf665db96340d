package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

func init() { cases["moved"] = playMoved }

// Figures of the case "moved".
const (
	movedHosts   = 4
	oldServes    = 5 * time.Second // after the settings have changed
	turnedAway   = 9 * time.Second
	configApply  = 2 * time.Second
	outerStretch = 5 * time.Second
	checkPause   = 100 * time.Millisecond
	takenKey     = "k2dnn2ctnfzs989anu6"
)

// door is an address at which the store serves. It may turn one process away with 503.
type door struct {
	store    string
	listener net.Listener
	server   *http.Server

	mu   sync.Mutex // guards the fields below
	from *hostProcess
	turn chan struct{} // closed when a process is turned away
}

func newDoor(store string) (*door, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: store, listener: listener, turn: make(chan struct{})}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = d.server.Serve(listener) }() // ends when the server is closed
	return d, nil
}

func (d *door) addr() string { return d.listener.Addr().String() }

// turnAway answers 503 to all calls of a process, also to those that wait; nil ends that.
func (d *door) turnAway(h *hostProcess) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.from = h
	if h != nil {
		close(d.turn)
	} else {
		d.turn = make(chan struct{})
	}
}

func (d *door) turned() (from *hostProcess, turn chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.from, d.turn
}

// ServeHTTP passes a call on to the store.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if from, _ := d.turned(); from != nil && from.owns(r.RemoteAddr) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	_, turn := d.turned()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-turn:
			if from, _ := d.turned(); from != nil && from.owns(r.RemoteAddr) {
				cancel()
			}
		case <-done:
		}
	}()
	passed, err := http.NewRequestWithContext(ctx, r.Method, "http://"+d.store+r.RequestURI, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	passed.Header, passed.ContentLength = r.Header.Clone(), r.ContentLength
	response, err := http.DefaultTransport.RoundTrip(passed)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body) // if it fails, the host has left
}

// owns reports whether the local end of a connection to this process, as the other end sees it, is a
// socket of a host's process.
func (h *hostProcess) owns(remote string) bool {
	_, port, err := net.SplitHostPort(remote)
	number, convErr := strconv.Atoi(port)
	table, readErr := os.ReadFile("/proc/net/tcp")
	if err != nil || convErr != nil || readErr != nil {
		return false
	}
	local := fmt.Sprintf(":%04X", number)
	h.mu.Lock()
	fds := fmt.Sprintf("/proc/%d/fd/*", h.command.Process.Pid)
	h.mu.Unlock()
	sockets := make(map[string]bool)
	links, _ := filepath.Glob(fds) // the pattern is well formed
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil {
			sockets[target] = true
		}
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], local) && sockets["socket:["+fields[9]+"]"] {
			return true
		}
	}
	return false
}

// movedConfig returns a configuration with the given keys.
func movedConfig(version int, keys ...string) []byte {
	raw, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "order-booking", "host": routeHost, "prefix": "/bobo563/", "type": "unsafe", "timeout_ms": 1000, "goal_ms": 100, "priority": 2,
			"service": "noma-kodols", "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": "noma-kodols", "max_conns": 192}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "bozi300", wire().TenantKeys: keys}},
	})
	if err != nil {
		panic(err) // a map of plain values can always be encoded
	}
	return raw
}

// playMoved moves the store to another address, kills one host, and takes a key away while the store
// turns that host away. Without trouble the store stays where it is.
func playMoved(e *environment) (broken int, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	service := newPlainService("noma-kodols", 15*time.Millisecond, time.Second, store, e.note)
	defer service.stop()
	for _, zone := range zones {
		if err := service.start(zone); err != nil {
			return 0, err
		}
	}
	store.Put(platform.ConfigKey, movedConfig(3, apiKey, takenKey))
	used, err := newDoor(store.Addr().String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = used.server.Close() }()
	hosts, err := newFleet(e.command, e.dir, used.addr(), movedHosts)
	if err != nil {
		return 0, err
	}
	defer hosts.stop()
	if err := hosts.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow)
	if e.trouble {
		if used, err = move(e, used, store.Addr().String(), hosts); err != nil {
			return 0, err
		}
		defer func() { _ = used.server.Close() }()
	}
	last := hosts.hosts[movedHosts-1]
	e.note("%s is killed and starts again", last.name)
	exited := last.done()
	_ = last.signal(syscall.SIGKILL) // it may have ended
	<-exited
	if err := hosts.launch(last); err != nil {
		return 0, err
	}
	if err := hosts.awaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow + time.Second)
	return useTakenKey(e, store, used, last, service)
}

// move makes the store serve at another address, tells the hosts, and ends the old address.
func move(e *environment, old *door, store string, hosts *fleet) (*door, error) {
	moved, err := newDoor(store)
	if err != nil {
		return nil, err
	}
	for _, h := range hosts.hosts {
		settings, err := os.ReadFile(h.settings)
		if err == nil {
			err = os.WriteFile(h.settings, []byte(strings.Replace(string(settings), old.addr(), moved.addr(), 1)), 0o600)
		}
		if err == nil {
			err = h.signal(syscall.SIGHUP)
		}
		if err != nil {
			return nil, err
		}
	}
	e.note("the settings of all hosts name another address of the store, SIGHUP")
	time.Sleep(oldServes)
	_ = old.server.Close()
	e.note("the old address has ended")
	time.Sleep(stableWindow)
	return moved, nil
}

// useTakenKey takes a key away while the store turns a host away, and counts the requests with that
// key that the host passes on too late.
func useTakenKey(e *environment, store *platformtest.Store, used *door, h *hostProcess, service *plainService) (broken int, err error) {
	if a := send(h, "/bobo563/2f", "before", "book before", time.Second, http.Header{"Authorization": {"Bearer " + takenKey}}); a.status != http.StatusOK {
		return 0, fmt.Errorf("%s answered %d before the key was taken away", h.name, a.status)
	}
	used.turnAway(h)
	e.note("the store turns %s away with 503", h.name)
	until := time.Now().Add(turnedAway)
	time.Sleep(300 * time.Millisecond)
	store.Put(platform.ConfigKey, movedConfig(7, apiKey))
	acknowledged := time.Now()
	e.note("version 7, without the key, is acknowledged")
	late := make(map[string]bool)
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(checkPause)
		id, sent := fmt.Sprintf("taken-%d", n), time.Now()
		a := send(h, "/bobo563/2f", id, "book "+id, time.Second, http.Header{"Authorization": {"Bearer " + takenKey}})
		if after := sent.Sub(acknowledged); after > configApply+outerStretch {
			late[id] = true
			e.note("%s with the key, sent %d ms after the acknowledgement to %s: %d", id, after.Milliseconds(), h.name, a.status)
		}
	}
	used.turnAway(nil)
	for _, a := range service.recorded() {
		if late[a.request] {
			broken++
			e.note("%s ran at %s", a.request, a.server)
		}
	}
	if len(late) == 0 {
		return 0, fmt.Errorf("no request was sent late enough")
	}
	return broken, nil
}
