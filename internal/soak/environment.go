package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/internal/soak/cutdial"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// The numbers of hosts, upstreams of each service, and events of each stream.
const (
	hostCount     = 3
	plainServers  = 3
	engineServers = 3
	stageServers  = 2
	eventCount    = 12
)

// environment is the store, the upstreams behind their proxies, and the host
// processes of a run.
type environment struct {
	store     *platformtest.Store
	upstreams []*server // those that serve throughout the run
	hosts     []*hostProcess
	// storeRestores is true if the store comes back from older copies.
	storeRestores bool
	signals       sync.Mutex     // held by the base fault that signals a host
	leaving       sync.WaitGroup // upstreams that leave
	// reservations keep the hosts' ports while a host is down.
	reservations []*ports.Reservation

	mu       sync.Mutex // guards the fields below
	version  int
	keys     []string
	changed  []*server // upstreams that are started and leave during the run
	retired  []retiredKey
	restores []time.Time              // of the store
	engines  []*platformtest.Upstream // of promptService
	crashes  []partCrash
	crashed  map[string]bool // IDs of engines
	// crashingPart is the part that callers send and that crashes engines; "" for none.
	crashingPart string
	limits       []namedLimit
	cuts         []linkCut
	brittle      []brittleTime
	evacuated    map[string]bool // data centres that the operator evacuates now
	evacuations  []evacuationTime
}

// server is an upstream behind a proxy.
type server struct {
	*platformtest.Upstream
	proxy      *proxy
	readyAt    time.Time
	leavingAt  time.Time   // zero if it does not leave
	unlistedAt time.Time   // when the store no longer listed it as ready; zero before
	announced  bool        // the store lists it as leaving
	removed    bool        // it left without being listed as leaving
	replacedAt []time.Time // when another process took its ID
}

// newEnvironment starts the store, the upstreams and the hosts.
func newEnvironment(binary, dir string) (*environment, error) {
	e := &environment{store: platformtest.NewStore(), keys: []string{"key-0", keptKey}, crashed: make(map[string]bool), evacuated: make(map[string]bool)}
	if err := e.start(binary, dir); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

// start starts the upstreams and the hosts.
func (e *environment) start(binary, dir string) error {
	for _, s := range []struct {
		service string
		servers int
	}{{"plain", plainServers}, {"events", engineServers}, {platformtest.StageService, stageServers}} {
		for i := range s.servers {
			u := &platformtest.Upstream{ID: fmt.Sprintf("%s-%d", s.service, i), Service: s.service, Zone: "riga-a", Work: 5 * time.Millisecond}
			if s.service == "events" {
				u.Events, u.EventPause = eventCount, 10*time.Millisecond
			}
			added, err := e.startServer(u)
			if err != nil {
				return err
			}
			e.upstreams = append(e.upstreams, added)
		}
	}
	if err := e.release(softwareVersions[0]); err != nil {
		return err
	}
	for range promptEngines {
		e.startEngine()
	}
	e.configure()
	var seeds []netip.AddrPort
	for i := range hostCount {
		callers, readiness, peers, metrics, err := e.reserveAddrs()
		if err != nil {
			return err
		}
		storeProxy := platformtest.NewFaultProxy(e.store.Addr())
		s := platformtest.HostSettings{
			Name: fmt.Sprint("entry-", i), CallerAddr: callers, ReadinessAddr: readiness, PeerAddr: peers,
			Seeds: seeds, Store: storeProxy.Addr(), GraceS: graceSeconds,
		}
		seeds = append(seeds, s.PeerAddr)
		h, err := newHost(binary, dir, s, metrics.Port(), storeProxy)
		if err != nil {
			return err
		}
		e.hosts = append(e.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// reserveAddrs reserves an address for each listener of a host, for the length of
// the run.
func (e *environment) reserveAddrs() (callers, readiness, peers, metrics netip.AddrPort, err error) {
	for _, into := range []*netip.AddrPort{&callers, &readiness, &peers, &metrics} {
		r, err := ports.Reserve()
		if err != nil {
			return callers, readiness, peers, metrics, err
		}
		e.reservations = append(e.reservations, r)
		*into = r.Addr()
	}
	return callers, readiness, peers, metrics, nil
}

// startServer starts an upstream behind a proxy and registers it as ready.
func (e *environment) startServer(u *platformtest.Upstream) (*server, error) {
	u.Start()
	p, err := newProxy(u.Addr())
	if err != nil {
		u.Close()
		return nil, err
	}
	u.Public = p.addr()
	u.Register(e.store, "ready")
	return &server{Upstream: u, proxy: p, readyAt: time.Now()}, nil
}

// servers returns all upstreams of the run, also those that have left.
func (e *environment) servers() []*server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(slices.Clone(e.upstreams), e.changed...)
}

// configure writes the configuration with a higher version. Versions also skip
// numbers.
func (e *environment) configure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeConfiguration()
}

// writeConfiguration does the work of configure. The caller holds mu.
func (e *environment) writeConfiguration() {
	e.version += 1 + e.version%3
	e.store.Configure(e.version, []platformtest.Route{
		{Prefix: "/read/", Type: "safe", Service: "plain"},
		{Prefix: "/order/", Type: "unsafe", Service: "plain"},
		{Prefix: "/talk/", Type: "stream", Service: "events", Resumable: true},
		{Prefix: "/staged/", Type: "stream", Service: "events", Staged: true},
		{Prefix: "/turn/", Type: "stream", Service: releasedService, Resumable: true},
		{Prefix: askPath, Type: "stream", Service: promptService, Resumable: true, Engine: true},
	}, e.keys)
}

// rotateKeys replaces the first API key. Callers use the other one, which stays
// valid.
func (e *environment) rotateKeys() {
	e.mu.Lock()
	defer e.mu.Unlock()
	retired := e.keys[0]
	e.keys = []string{fmt.Sprint("key-", e.version+1), keptKey}
	e.writeConfiguration()
	e.retired = append(e.retired, retiredKey{retired, time.Now()})
}

// pick returns a random element.
func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// clearFaults ends all faults.
func (e *environment) clearFaults() {
	e.store.SetFault(nil)
	for _, h := range e.hosts {
		h.storeProxy.SetFault(platformtest.FaultNone)
		_ = h.setLinks(cutdial.Whole) // a link that stays cut shows in the requests that follow
	}
	for _, u := range e.servers() {
		u.QueueFaults()
		u.QueueSilences()
		u.NameLimit("")
		u.SetBrittle(nil)
		u.proxy.setState(proxyState{})
	}
}

// close ends the hosts and everything else.
func (e *environment) close() {
	for _, h := range e.hosts {
		h.mu.Lock()
		launched := h.exited != nil && h.command.Process != nil
		if launched {
			_ = h.command.Process.Kill() // it may have ended
		}
		h.mu.Unlock()
		if launched {
			h.wait(5 * time.Second)
		}
		_ = h.log.Close()
		h.storeProxy.Close()
	}
	e.leaving.Wait()
	for _, u := range e.servers() {
		u.proxy.close()
		u.Close()
	}
	for _, u := range e.allEngines() {
		u.Close()
	}
	e.store.Close()
	for _, r := range e.reservations {
		_ = r.Release() // the reservation ends with the process at the latest
	}
}
