package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

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
	signals   sync.Mutex     // held by the base fault that signals a host
	leaving   sync.WaitGroup // upstreams that leave

	mu       sync.Mutex // guards the fields below
	version  int
	keys     []string
	changed  []*server // upstreams that are started and leave during the run
	retired  []retiredKey
	restores []time.Time // of the store
}

// server is an upstream behind a proxy.
type server struct {
	*platformtest.Upstream
	proxy      *proxy
	readyAt    time.Time
	leavingAt  time.Time // zero if it does not leave
	unlistedAt time.Time // when the store no longer listed it as ready; zero before
	announced  bool      // the store lists it as leaving
	removed    bool      // it left without being listed as leaving
}

// newEnvironment starts the store, the upstreams and the hosts.
func newEnvironment(binary, dir string) (*environment, error) {
	e := &environment{store: platformtest.NewStore(), keys: []string{"key-0", keptKey}}
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
	e.configure()
	var seeds []netip.AddrPort
	for i := range hostCount {
		storeProxy := platformtest.NewFaultProxy(e.store.Addr())
		s := platformtest.HostSettings{
			Name: fmt.Sprint("entry-", i), CallerAddr: freeAddr(), ReadinessAddr: freeAddr(), PeerAddr: freeAddr(),
			Seeds: seeds, Store: storeProxy.Addr(), GraceS: graceSeconds,
		}
		seeds = append(seeds, s.PeerAddr)
		h, err := newHost(binary, dir, s, freeAddr().Port(), storeProxy)
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

// The ports that hosts listen on are below the range from which the system takes
// ports for other listeners and connections, so that none of these takes a port
// before its host has started, or while the host restarts.
const (
	firstHostPort = 10000
	hostPortCount = 20000
	portTries     = 50
)

// freeAddr finds a loopback address that is free for TCP and UDP. It returns the
// zero address if it finds none; the host rejects that in its settings.
func freeAddr() netip.AddrPort {
	for range portTries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstHostPort+rand.IntN(hostPortCount)))
		l, err := net.Listen("tcp4", addr.String())
		if err != nil {
			continue // the port is in use
		}
		_ = l.Close()
		if u, err := net.ListenPacket("udp4", addr.String()); err == nil {
			_ = u.Close()
			return addr
		}
	}
	return netip.AddrPort{}
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
	}
	for _, u := range e.servers() {
		u.QueueFaults()
		u.QueueSilences()
		u.proxy.setState(proxyState{})
	}
}

// close ends the hosts and everything else.
func (e *environment) close() {
	for _, h := range e.hosts {
		h.mu.Lock()
		if h.command.Process != nil {
			_ = h.command.Process.Kill() // it may have ended
		}
		h.mu.Unlock()
		h.wait(5 * time.Second)
		_ = h.log.Close()
		h.storeProxy.Close()
	}
	e.leaving.Wait()
	for _, u := range e.servers() {
		u.proxy.close()
		u.Close()
	}
	e.store.Close()
}
