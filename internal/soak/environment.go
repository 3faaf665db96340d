package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/ports"
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
	upstreams []*platformtest.Upstream
	proxies   []*proxy
	hosts     []*hostProcess
	// reservations keep the hosts' ports while a host is down.
	reservations []*ports.Reservation
	// restores is true if the store comes back from older copies.
	restores bool

	mu      sync.Mutex // guards version and keys
	version int
	keys    []string
}

// newEnvironment starts the store, the upstreams and the hosts.
func newEnvironment(binary, dir string) (*environment, error) {
	e := &environment{store: platformtest.NewStore(), keys: []string{"key-0", "kept"}}
	if err := e.start(binary, dir); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

// start starts the upstreams and the hosts.
func (e *environment) start(binary, dir string) error {
	for service, n := range map[string]int{"plain": plainServers, "events": engineServers, platformtest.StageService: stageServers} {
		for i := range n {
			u := &platformtest.Upstream{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: "riga-a", Work: 5 * time.Millisecond}
			if service == "events" {
				u.Events, u.EventPause = eventCount, 10*time.Millisecond
			}
			if err := e.addUpstream(u); err != nil {
				return err
			}
		}
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

// addUpstream starts an upstream behind a proxy and registers it as ready.
func (e *environment) addUpstream(u *platformtest.Upstream) error {
	u.Start()
	p, err := newProxy(u.Addr())
	if err != nil {
		return err
	}
	u.Public = p.addr()
	e.upstreams, e.proxies = append(e.upstreams, u), append(e.proxies, p)
	u.Register(e.store, "ready")
	return nil
}

// configure writes the configuration with a higher version. Versions also skip
// numbers.
func (e *environment) configure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version += 1 + e.version%3
	e.store.Configure(e.version, []platformtest.Route{
		{Prefix: "/read/", Type: "safe", Service: "plain"},
		{Prefix: "/order/", Type: "unsafe", Service: "plain"},
		{Prefix: "/talk/", Type: "stream", Service: "events", Resumable: true},
		{Prefix: "/staged/", Type: "stream", Service: "events", Staged: true},
	}, e.keys)
}

// rotateKeys replaces the first API key. Callers use the other one, which stays
// valid.
func (e *environment) rotateKeys() {
	e.mu.Lock()
	e.keys = []string{fmt.Sprint("key-", e.version+1), "kept"}
	e.mu.Unlock()
	e.configure()
}

// pick returns a random element.
func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// clearFaults ends all faults.
func (e *environment) clearFaults() {
	e.store.SetFault(nil)
	for _, h := range e.hosts {
		h.storeProxy.SetFault(platformtest.FaultNone)
	}
	for i, u := range e.upstreams {
		u.QueueFaults()
		e.proxies[i].setState(proxyState{})
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
	for i, u := range e.upstreams {
		e.proxies[i].close()
		u.Close()
	}
	e.store.Close()
	for _, r := range e.reservations {
		_ = r.Release() // the reservation ends with the process at the latest
	}
}
