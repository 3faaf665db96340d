package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
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
	upstreams []*platformtest.Upstream
	proxies   []*proxy
	hosts     []*hostProcess
	signals   sync.Mutex // held by the base fault that signals a host

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
	for _, s := range []struct {
		service string
		servers int
	}{{"plain", plainServers}, {"events", engineServers}, {platformtest.StageService, stageServers}} {
		for i := range s.servers {
			u := &platformtest.Upstream{ID: fmt.Sprintf("%s-%d", s.service, i), Service: s.service, Zone: "riga-a", Work: 5 * time.Millisecond}
			if s.service == "events" {
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
		u.QueueSilences()
		e.proxies[i].setState(proxyState{})
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
	for i, u := range e.upstreams {
		e.proxies[i].close()
		u.Close()
	}
	e.store.Close()
}
